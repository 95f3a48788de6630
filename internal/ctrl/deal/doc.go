// Package deal splits the slots of all upstreams among the hosts by their demand. It is pure: hosts that know the
// same deal the same.
package deal

// Package deal lends upstreams between regions by their demand. It is pure: the same input gives the same deal.
package deal

// Package roster holds what a host knows of the other hosts and the upstreams, and the changes that it learns.
package roster

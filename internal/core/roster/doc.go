// Package roster holds a host's view of the other hosts and the upstreams, and the changes that update it.
package roster

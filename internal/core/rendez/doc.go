// Package rendez selects among weighted sites by rendezvous (highest random weight) hashing.
package rendez

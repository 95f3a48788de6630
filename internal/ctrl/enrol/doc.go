// Package enrol keeps this host's entry in the store alive, under a lease.
package enrol

// Package lease registers this host in the store under a lease and keeps the lease alive.
package lease

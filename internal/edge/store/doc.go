// Package store is a client for the platform's HTTP API, which is compatible with Consul's: a key-value store with
// compare-and-swap, sessions and blocking queries, and a catalog of upstreams.
package store

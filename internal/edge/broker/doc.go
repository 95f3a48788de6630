// Package broker lets the hosts of a region place their jobs through one of them, and regions lend upstreams to
// one another, over JSON-RPC between the hosts.
package broker

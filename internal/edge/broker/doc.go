// Package broker lets the hosts of a region place their jobs through one of them, and lets regions lend upstreams to
// each other, over JSON-RPC between hosts.
package broker

// Package consul is a fake of the platform: an in-memory implementation of the parts of Consul's HTTP API that
// boragelane uses, with fault injection through control calls.
package consul

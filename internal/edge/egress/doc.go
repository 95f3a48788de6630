// Package egress sends jobs to upstreams over HTTP/1.1 and validates their responses.
package egress

// Package dialer sends jobs to upstreams over HTTP/1.1, one at a time on a connection, and never sends one twice.
package dialer

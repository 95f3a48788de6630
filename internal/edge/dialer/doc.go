// Package dialer sends jobs to upstreams over pooled HTTP/1.1 connections, without pipelining and without retries.
package dialer

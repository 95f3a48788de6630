// Package serve sends a job to upstreams, one after another, until one answers or the deadline or the shared retry
// budget ends the attempts.
package serve

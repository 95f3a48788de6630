// Package serve takes a job to upstreams, one after the other, within its time and the shared retry budget.
package serve

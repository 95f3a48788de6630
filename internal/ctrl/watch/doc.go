// Package watch keeps a replica of the platform store: a single goroutine applies store changes and publishes
// immutable views that request handling reads.
package watch

// Package loop runs the single goroutine that owns an entry host's control state.
package loop

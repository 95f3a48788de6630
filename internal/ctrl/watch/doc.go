// Package watch follows the platform's store: one goroutine folds what it hears and publishes a view for traffic.
package watch

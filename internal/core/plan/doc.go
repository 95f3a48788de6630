// Package plan defines the immutable snapshot that the control goroutine publishes and traffic goroutines read.
package plan

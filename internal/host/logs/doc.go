// Package logs provides a JSON logger that bounds its volume and never blocks the goroutine that logs.
package logs

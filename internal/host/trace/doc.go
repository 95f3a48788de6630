// Package trace records an OpenTelemetry span for each hop of a job and propagates the trace context.
package trace

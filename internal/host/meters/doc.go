// Package meters counts what a host does, as counters and latency histograms in the Prometheus text format.
package meters

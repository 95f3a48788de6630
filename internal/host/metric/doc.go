// Package metric exposes the metrics of a host in the Prometheus text format.
package metric

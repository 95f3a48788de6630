// Package meters exposes the metrics of a host in the Prometheus text format.
package meters

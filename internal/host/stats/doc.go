// Package stats publishes the metrics of an entry host with expvar.
package stats

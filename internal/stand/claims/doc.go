// Package claims benchmarks at-most-once execution: tickets in host memory against claims written to the platform.
package claims

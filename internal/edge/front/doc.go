// Package front implements the HTTP interface for callers: host look-ups, tickets and requests.
package front

// Package front implements the HTTP interface for callers: host lookups, tickets and requests.
package front

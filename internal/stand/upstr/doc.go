// Package upstr is a fake upstream with slots, a cold start, load shedding, drains, crashes, health and load endpoints
// that always report a healthy and idle upstream, and a log of the jobs it ran.
package upstr

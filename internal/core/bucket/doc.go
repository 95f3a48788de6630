// Package bucket implements a token bucket rate limiter that is passed the time on each call.
package bucket

// Package fairq orders waiting jobs of several flows by start-time fair queueing.
package fairq

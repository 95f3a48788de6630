// Package tally counts what is in progress, for those who wait until nothing is.
package tally

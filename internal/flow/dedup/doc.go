// Package dedup runs each job that has a ticket at most once.
package dedup

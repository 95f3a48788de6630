// Package credit schedules a resource among ranks by strict priority with a guaranteed minimum for each rank.
package credit

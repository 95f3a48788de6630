// Package route selects the failure domains that may serve a job.
package route

// Package match finds the route of a job, the service of its traffic split, and the time that it has.
package match

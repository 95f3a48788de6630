// Package match assigns a job its route, a service according to the route's traffic split, and its deadline.
package match

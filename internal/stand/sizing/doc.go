// Package sizing measures the CPU, traffic and memory of an entry host at growing system sizes, and projects them onto
// the users' two-year plan.
package sizing

// Package accept validates a job against the plan and fills in its defaults.
package accept

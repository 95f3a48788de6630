// Package carry sends a job to its targets and retries within a budget.
package carry

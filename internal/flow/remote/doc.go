// Package remote sends a job to its targets and retries within a budget.
package remote

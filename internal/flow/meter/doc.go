// Package meter keeps the jobs that a host places within the quotas of their workspaces. It wraps the scheduler, which knows no quotas.
package meter

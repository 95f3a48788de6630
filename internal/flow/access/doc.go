// Package access finds the workspace that a job's key belongs to, and refuses jobs without a valid key.
package access

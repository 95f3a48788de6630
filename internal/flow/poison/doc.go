// Package poison refuses jobs that repeatedly crash upstreams.
package poison

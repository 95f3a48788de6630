// Package guard refuses jobs that repeatedly crash upstreams.
package guard

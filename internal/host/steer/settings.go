package steer

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/serve"
)

// Settings is what a host is told at its start.
type Settings struct {
	Host      roster.Host
	Ready     string            // Address for the platform's readiness checks; empty for none.
	Directory string            // Address for callers that ask which host to use; empty for none.
	Metrics   string            // Address for metrics; empty for none.
	Regions   map[string]string // Region by failure domain.
	Store     string            // Address of the platform's store.
	Retry     serve.Terms
	Shift     float64       // The part of a region's callers that may be moved between regions within two seconds; 0 for any.
	Grace     time.Duration // From the signal to stop until the process is killed.
	Memory    int64         // Bytes; 0 for no bound.
}

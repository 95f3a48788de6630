package steer

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/access"
	"github.com/boragelane/boragelane/internal/flow/serve"
)

// Settings holds the settings of one host.
type Settings struct {
	Host      roster.Host
	Ready     string            // Address for the platform's readiness checks; empty for none.
	Directory string            // Address for callers' directory requests; empty for none.
	Metrics   string            // Address for metrics; empty for none.
	Regions   map[string]string // Region by failure domain.
	Store     string            // Address of the platform's store.
	Retry     serve.BudgetConfig
	Keys      access.Config
	Quota     quota.Settings
	MaxShift  float64       // Maximum fraction of a region's callers moved to other regions, or back, within two seconds; 0 for no limit.
	Grace     time.Duration // Time from the stop signal until the platform kills the process.
	Memory    int64         // Memory limit in bytes; 0 for none.
}

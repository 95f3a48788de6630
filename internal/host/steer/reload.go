package steer

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// checkPeriod is how often the settings are looked at though no signal came: a stat of one file.
const checkPeriod = 2 * time.Second

// Loader reads the settings anew.
type Loader interface {
	// Load returns the settings, and whether they differ from those that it returned before.
	Load() (Settings, bool, error)
}

// follow takes new settings when a signal comes, or when they have changed without one.
func (h *Host) follow(ctx context.Context, signal <-chan os.Signal) {
	t := time.NewTicker(checkPeriod)
	defer t.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-signal:
			asked = true
		case <-t.C:
		}
		s, changed, err := h.Loader.Load()
		switch {
		case err != nil:
			h.Log.Error("settings refused; the old ones stay in force", cause(err))
		case changed:
			h.adopt(s)
		case asked:
			h.Log.Info("settings unchanged")
		}
	}
}

// adopt takes over what may change while the host runs; the addresses take a new start.
func (h *Host) adopt(s Settings) {
	h.budget.SetTerms(s.Retry)
	h.table.SetShift(s.Shift)
	h.grace.Store(int64(s.Grace))
	h.Log.Info("settings in force", zap.Duration("grace", s.Grace), zap.Float64("retries", s.Retry.Ratio))
}

package steer

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// settingsCheckPeriod is the interval at which the settings are checked without a signal; each check costs a stat of one file.
const settingsCheckPeriod = 2 * time.Second

// Loader loads the settings and detects changes to them.
type Loader interface {
	// Load returns whether the settings have changed since the last call and, if so, the new ones.
	Load() (Settings, bool, error)
}

// watchSettings reloads the settings on a signal and at regular intervals, and applies them if they have changed.
func (h *Host) watchSettings(ctx context.Context, hangup <-chan os.Signal) {
	t := time.NewTicker(settingsCheckPeriod)
	defer t.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			requested = true
		case <-t.C:
		}
		s, changed, err := h.Loader.Load()
		switch {
		case err != nil:
			h.Log.Error("settings refused; the old ones stay in force", errorField(err))
		case changed:
			h.applySettings(ctx, s)
		case requested:
			h.Log.Info("settings unchanged")
		}
	}
}

// applySettings applies the settings that can change at run time; new addresses need a restart.
func (h *Host) applySettings(ctx context.Context, s Settings) {
	h.budget.SetConfig(s.Retry)
	h.access.SetConfig(s.Keys)
	h.scheduler.SetMaxShift(s.MaxShift)
	h.stopGrace.Store(int64(s.Grace))
	h.applyQuota(ctx, &s)
	h.Log.Info("settings in force", zap.Duration("grace", s.Grace), zap.Float64("retries", s.Retry.Ratio))
}

package steer

import (
	"context"
	"time"
)

// runMaintenance periodically retries waiting jobs and closes connections to upstreams that have been idle for too long.
func (h *Host) runMaintenance(ctx context.Context) {
	t := time.NewTimer(idleMaintenancePeriod)
	defer t.Stop()
	lastSummary := h.Clock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.scheduler.Enqueued():
		case <-t.C:
			now := h.Clock()
			h.scheduler.Tick(now)
			h.sender.CloseExpired(now)
			if now.Sub(lastSummary) >= summaryPeriod {
				lastSummary = now
				h.logSummaries(now)
				h.recordQuota(now)
			}
		}
		if h.scheduler.Waiting() > 0 {
			t.Reset(maintenancePeriod)
		} else {
			t.Reset(idleMaintenancePeriod)
		}
	}
}

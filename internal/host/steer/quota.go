package steer

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/flow/meter"
)

// QuotaRefused logs jobs above a quota.
func (l *eventLog) QuotaRefused(r *meter.Refused) {
	l.log.Info("over quota", zap.String("workspace", r.Workspace), zap.String("service", r.Service), zap.String("from", r.Host),
		zap.Uint64("policy", r.State.Version), zap.Int("reserve", r.State.Balance), zap.Duration("age", r.State.Age),
		zap.Bool("isolated", r.Isolated), zap.Duration("retry", r.RetryAfter), zap.Int("count", r.Count))
}

// QuotaContact logs that the wallet of a service begins or ceases to use its own share of the quotas.
func (l *eventLog) QuotaContact(service string, lost bool) {
	if lost {
		l.log.Warn("quota floor began", zap.String("service", service))
		return
	}
	l.log.Info("quota floor ended", zap.String("service", service))
}

// logQuotaFailure logs that the owner of the quotas did not answer.
func (l *eventLog) logQuotaFailure(host string, err error) {
	l.log.Warn("quota not granted", zap.String("host", host), errorField(err))
}

// applyQuota applies the tolerance of quotas in the settings.
func (h *Host) applyQuota(ctx context.Context, s *Settings) {
	h.meter.SetSettings(s.Quota)
	h.loop.Send(ctx, watch.QuotaSettingsChanged{Settings: s.Quota, Domains: slices.Sorted(maps.Keys(s.Regions))})
}

// recordQuota updates the metrics of quotas.
func (h *Host) recordQuota(now time.Time) {
	usage := h.meter.TakeUsage(now)
	names := make([]string, len(usage))
	for i, u := range usage {
		names[i] = u.Workspace
		h.Metrics.ObserveQuota(u.Workspace, u.Admitted, u.Refused, u.Debt)
	}
	h.Metrics.KeepQuota(names)
}

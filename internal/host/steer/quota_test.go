package steer

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/edge/dialer"
	"github.com/boragelane/boragelane/internal/flow/place"
	"github.com/boragelane/boragelane/internal/host/metric"
)

// Guards against a host in which the parts of quotas are not connected: a single host owns the quotas, enforces them before its scheduler, and
// follows changed settings.
func TestAHostEnforcesQuotas(t *testing.T) {
	self := roster.Host{Name: "h", Domain: "a", Region: "east"}
	s := Settings{Host: self, Grace: testGrace, Quota: quota.Settings{Window: 5 * time.Second}}
	h := New(s, nil, noFrontend{}, dialer.HeaderNames{}, time.Now, zap.NewNop(), metric.New())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.loop.Run(ctx)
	h.applyQuota(ctx, &s)
	const rate, slots = 20, 10_000
	assert.Assert(t, h.loop.Send(ctx, watch.StoreRead{Batch: roster.Batch{Snapshot: true, Changes: []roster.Change{
		{Kind: roster.PolicyKind, Name: "policy", Policy: &policy.Policy{
			Version: 1, Services: map[string]policy.Service{"s": {Name: "s"}}, Workspaces: map[string]policy.Workspace{"w": {Name: "w", Rate: rate, Burst: rate}},
		}},
		{Kind: roster.HostKind, Name: "h", Host: self},
		{Kind: roster.UpstreamKind, Name: "u", Upstream: roster.Upstream{ID: "u", Service: "s", Address: "x", Domain: "a", Region: "east", Slots: slots}},
	}}}))
	go h.quotaPoller.Run(ctx)
	counts := map[bool]int{}
	const period = 3 * time.Second
	for begin := time.Now(); time.Since(begin) < period; time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		req := place.Request{Host: self, Service: "s", Workspace: "w", Objective: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second)}
		g, refusal := h.placer.Acquire(ctx, now, req)
		if g == nil && !refusal.OverQuota {
			continue // Before the view has the upstream.
		}
		counts[g != nil]++
		if g != nil {
			h.placer.Release(now, g, place.Result{Duration: time.Millisecond, Succeeded: true})
		}
	}
	most := rate*int(period/time.Second) + rate + 2
	assert.Assert(t, counts[true] <= most && counts[true] > rate, "%v", counts)
	assert.Assert(t, counts[false] > 100, "%v", counts)
	h.recordQuota(time.Now())

	s.Quota.Slack = 1000
	h.applySettings(ctx, s)
	now := time.Now()
	for range 100 {
		g, _ := h.placer.Acquire(ctx, now, place.Request{Host: self, Service: "s", Workspace: "w", Objective: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second)})
		assert.Assert(t, g != nil, "the new tolerance must be in force at once")
	}
}

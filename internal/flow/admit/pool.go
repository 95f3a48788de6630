package admit

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/credit"
	"github.com/boragelane/boragelane/internal/core/plan"
)

// serviceState holds the queues and the upstreams of one service.
type serviceState struct {
	name         string
	queues       []queue
	upstreams    map[string]*upstreamState
	sorted       []*upstreamState
	credits      credit.RankSelector
	serviceTimes serviceTimes
}

func (svc *serviceState) update(ups []plan.Upstream, minimum []float64) {
	svc.credits.SetMinimums(minimum)
	svc.serviceTimes.resize(len(minimum))
	for len(svc.queues) < len(minimum) {
		svc.queues = append(svc.queues, queue{})
	}
	for _, up := range svc.upstreams {
		up.removed = true
	}
	for _, u := range ups {
		up := svc.upstreams[u.ID]
		if up == nil {
			up = newUpstreamState(u)
			svc.upstreams[u.ID] = up
		}
		up.Upstream, up.removed = u, false
	}
	svc.sorted = svc.sorted[:0]
	for id, up := range svc.upstreams {
		switch {
		case !up.removed:
			svc.sorted = append(svc.sorted, up)
		case up.inFlight == 0:
			delete(svc.upstreams, id)
		}
	}
	slices.SortFunc(svc.sorted, func(a, b *upstreamState) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func (svc *serviceState) proposeRank(now time.Time) int {
	if !svc.hasWaiting() || svc.bestUpstream(now) == nil {
		return -1
	}
	svc.refuseLate(now)
	return svc.credits.Pick(func(l int) bool { return svc.queues[l].peek() != nil }, svc.serviceTimes.seconds)
}

// lateFactor is the multiple of the mean service time that must remain until a job's deadline for its admission.
const lateFactor = 2

// refuseLate refuses the waiters at the heads of the queues that can no longer finish before their deadline.
func (svc *serviceState) refuseLate(now time.Time) {
	for l := range svc.queues {
		q := &svc.queues[l]
		for w := q.peek(); w != nil && !now.Add(lateFactor*svc.serviceTimes[l].mean).Before(w.Deadline); w = q.peek() {
			q.pop()
			w.done = true
			w.Ready <- Decision{Refusal: TooLate}
		}
	}
}

func (svc *serviceState) hasWaiting() bool {
	for l := range svc.queues {
		if svc.queues[l].len() > 0 {
			return true
		}
	}
	return false
}

// availableBefore reports whether any upstream accepts jobs before a deadline.
func (svc *serviceState) availableBefore(now, deadline time.Time) bool {
	for _, up := range svc.sorted {
		if up.Slots.At(now) > 0 && !up.down && up.pausedUntil.Before(deadline) {
			return true
		}
	}
	return false
}

// bestUpstream returns the upstream with a free slot that should finish first, or nil.
func (svc *serviceState) bestUpstream(now time.Time) *upstreamState {
	var best *upstreamState
	for _, up := range svc.sorted {
		if up.hasRoom(now) && (best == nil || up.finishEstimate() < best.finishEstimate()) {
			best = up
		}
	}
	return best
}

// estimateWait returns the expected wait of a new job of a rank: from the mean time between admissions if
// the queue has a backlog, otherwise from the mean service times of the jobs ahead of it.
func (svc *serviceState) estimateWait(now time.Time, level int) time.Duration {
	q := &svc.queues[level]
	if n := q.len(); n > 0 && q.admitInterval > 0 {
		return time.Duration(n+1) * q.admitInterval
	}
	var ahead time.Duration
	for l := 0; l <= level; l++ {
		ahead += time.Duration(svc.queues[l].len()) * svc.serviceTimes[l].mean
	}
	width := int64(0)
	for _, up := range svc.sorted {
		width += min(up.Slots.At(now), max(1, int64(up.limit)))
	}
	return ahead / time.Duration(max(1, width))
}

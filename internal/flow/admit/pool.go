package admit

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/credit"
	"github.com/boragelane/boragelane/internal/core/plan"
)

// pool holds the queues and the upstreams of one service.
type pool struct {
	name      string
	queues    []queue
	upstreams map[string]*upstreamState
	sorted    []*upstreamState
	credits   credit.RankSelector
	costs     costs
}

func (po *pool) update(ups []plan.Upstream, minimum []float64) {
	po.credits.SetMinimums(minimum)
	po.costs.resize(len(minimum))
	for len(po.queues) < len(minimum) {
		po.queues = append(po.queues, queue{})
	}
	for _, up := range po.upstreams {
		up.removed = true
	}
	for _, u := range ups {
		up := po.upstreams[u.ID]
		if up == nil {
			up = newUpstreamState(u)
			po.upstreams[u.ID] = up
		}
		up.Upstream, up.removed = u, false
	}
	po.sorted = po.sorted[:0]
	for id, up := range po.upstreams {
		switch {
		case !up.removed:
			po.sorted = append(po.sorted, up)
		case up.inFlight == 0:
			delete(po.upstreams, id)
		}
	}
	slices.SortFunc(po.sorted, func(a, b *upstreamState) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func (po *pool) proposeRank(now time.Time) int {
	if !po.hasWaiting() || po.bestUpstream(now) == nil {
		return -1
	}
	po.refuseLate(now)
	return po.credits.Pick(func(l int) bool { return po.queues[l].peek() != nil }, po.costs.seconds)
}

// lateFactor is the multiple of the mean service time that must remain until a job's deadline for its admission.
const lateFactor = 2

// refuseLate refuses the waiters at the heads of the queues that can no longer finish before their deadline.
func (po *pool) refuseLate(now time.Time) {
	for l := range po.queues {
		q := &po.queues[l]
		for w := q.peek(); w != nil && !now.Add(lateFactor*po.costs[l].mean).Before(w.Deadline); w = q.peek() {
			q.pop()
			w.done = true
			w.Ready <- Decision{Refusal: TooLate}
		}
	}
}

func (po *pool) hasWaiting() bool {
	for l := range po.queues {
		if po.queues[l].len() > 0 {
			return true
		}
	}
	return false
}

// availableBefore reports whether any upstream accepts jobs before a deadline.
func (po *pool) availableBefore(now, deadline time.Time) bool {
	for _, up := range po.sorted {
		if up.Slots.At(now) > 0 && !up.down && up.pausedUntil.Before(deadline) {
			return true
		}
	}
	return false
}

// bestUpstream returns the upstream with a free slot that should finish first, or nil.
func (po *pool) bestUpstream(now time.Time) *upstreamState {
	var best *upstreamState
	for _, up := range po.sorted {
		if up.hasRoom(now) && (best == nil || up.finishEstimate() < best.finishEstimate()) {
			best = up
		}
	}
	return best
}

// estimateWait returns the expected wait of a new job of a rank: from the mean time between admissions if
// the queue has a backlog, otherwise from the mean service times of the jobs ahead of it.
func (po *pool) estimateWait(now time.Time, level int) time.Duration {
	q := &po.queues[level]
	if n := q.len(); n > 0 && q.admitInterval > 0 {
		return time.Duration(n+1) * q.admitInterval
	}
	var ahead time.Duration
	for l := 0; l <= level; l++ {
		ahead += time.Duration(po.queues[l].len()) * po.costs[l].mean
	}
	width := int64(0)
	for _, up := range po.sorted {
		width += min(up.Slots.At(now), max(1, int64(up.limit)))
	}
	return ahead / time.Duration(max(1, width))
}

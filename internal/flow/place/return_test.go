package place

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Callers that are refused in sustained overload and return when they were told to must mostly be served then. Before their
// returns were spread, 0.69 and 0.81 of those of the least urgent rank were refused a second time.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ peak, served, again float64 }{{peak: 1.3, served: 0.87, again: 0.6}, {peak: 1.6, served: 0.72, again: 0.82}} {
		load := func(share float64) func(time.Duration) float64 {
			return func(t time.Duration) float64 {
				if t >= 4*time.Second && t < 12*time.Second {
					return c.peak * share * 216 / 1.1
				}
				return 0.8 * share * 216 / 1.1
			}
		}
		var all, bulk replayCount
		for seed := range uint64(3) {
			r := newLoadReplay(seed, 54, 4,
				replayCaller{Workspace: "w", Rank: 0, Rate: load(0.2)}, replayCaller{Workspace: "w", Rank: 1, Rate: load(0.5)},
				replayCaller{Workspace: "w", Rank: 2, Rate: load(0.3)})
			r.objective = func(*rand.Rand) time.Duration { return 1500 * time.Millisecond }
			r.end, r.after = 12*time.Second, 8*time.Second
			r.run()
			for i, c := range r.counts {
				all.add(c)
				assert.Check(t, i == 0 || r.counts[i-1].share() >= c.share(), "rank %d is served more often than rank %d", i, i-1)
			}
			bulk.add(r.counts[2])
		}
		again := float64(bulk.lost) / float64(bulk.returned)
		t.Logf("load %.1f: served %.3f, of the least urgent rank %.3f; refused again %.2f", c.peak, all.share(), bulk.share(), again)
		assert.Check(t, bulk.returned > 100, "the loadReplay must refuse jobs")
		assert.Check(t, all.share() >= c.served && again <= c.again, "served %.3f, refused again %.2f", all.share(), again)
	}
}

// Callers that are refused at the same time must be told to return one after another, and the first of them not later than a
// slot is expected to be free. The times are bounded, and forgotten once they have passed.
func TestCallersRefusedTogetherReturnOneAfterAnother(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	now := at(0)
	for range 20 {
		sched.Release(now, try(sched, now, newRequest(now)), good(100*time.Millisecond))
	}
	for range 2 {
		assert.Assert(t, try(sched, now, newRequest(now)) != nil)
	}
	workspace := "w"
	refuse := func() time.Duration {
		req := newRequest(now)
		req.Workspace = workspace
		req.Objective, req.Deadline = now, now.Add(110*time.Millisecond)
		g, refusal := sched.Acquire(context.Background(), now, req)
		assert.Assert(t, g == nil)
		return refusal.RetryAfter
	}
	first := refuse()
	assert.Assert(t, first <= 50*time.Millisecond, "%s", first) // Two slots of 100 ms.
	last := first
	for range 30 {
		next := refuse()
		assert.Assert(t, next > last+100*time.Millisecond || next == maxReturn, "%s after %s", next, last)
		last = next
	}
	assert.Equal(t, last, maxReturn)
	workspace = "" // A job without a workspace is told when a slot is expected to be free, as before.
	assert.Equal(t, refuse(), first)
	assert.Equal(t, len(sched.returns), 1)
	sched.Tick(at(maxReturn + time.Second))
	assert.Equal(t, len(sched.returns), 0)
}

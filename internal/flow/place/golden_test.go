package place

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// oldOrder inserts a waiter where the queue did before it knew workspaces: jobs that can still meet their objective first, then
// by rank, then by arrival.
func oldOrder(list []*waiter, w *waiter) []*waiter {
	at, _ := slices.BinarySearchFunc(list, w, func(a, b *waiter) int {
		switch {
		case a.late != b.late && b.late:
			return -1
		case a.late != b.late:
			return 1
		case a.req.Rank != b.req.Rank:
			return a.req.Rank - b.req.Rank
		}
		return int(int64(a.seq) - int64(b.seq))
	})
	return slices.Insert(list, at, w)
}

// goldenReplay plays a drawn load of two services and three ranks, with objects, bursts and returning callers, at one and a half
// times the capacity. It compares the queue with the old order after each step, and returns a digest of all decisions.
func goldenReplay(t *testing.T, seed uint64, workspace string) (string, int) {
	burst := func(rate float64) func(time.Duration) float64 {
		return func(t time.Duration) float64 {
			if t%(3*time.Second) < 900*time.Millisecond {
				return 3 * rate
			}
			return rate
		}
	}
	r := newLoadReplay(seed, 8, 3,
		replayCaller{Rank: 0, Rate: constant(4), Objects: 40}, replayCaller{Rank: 1, Rate: burst(8), Objects: 40, RetryNow: true},
		replayCaller{Rank: 1, Rate: constant(5)}, replayCaller{Rank: 2, Rate: burst(4), Objects: 15},
		replayCaller{Service: "other", Rank: 1, Rate: constant(3)}, replayCaller{Service: "other", Rank: 2, Rate: burst(2)})
	r.from, r.end, r.after = 0, 7*time.Second, 0
	v := view(r.sched.view.Upstreams["s"]...)
	other := upstream("o", "a", "east")
	other.Service = "other"
	v.Upstreams[other.Service] = []*roster.Upstream{other}
	r.sched.Update(at(0), v)
	for i := range r.callers {
		r.callers[i].Workspace, r.callers[i].RetryNow = workspace, true
	}
	digest, refusals := fnv.New64a(), 0
	var expected []*waiter
	r.observe = func(now time.Time, what string, j *replayJob, value any) {
		if what == "refused" {
			value = "" // Only callers with a workspace are told to return one after another.
		}
		_, _ = fmt.Fprintln(digest, now.UnixNano(), what, j.caller, j.w.seq, value)
		if what == "waits" {
			expected = oldOrder(expected, j.w)
			return
		}
		if what == "refused" {
			refusals++
		}
		expected = slices.DeleteFunc(expected, func(w *waiter) bool { return w == j.w })
	}
	r.onStep = func(time.Time) {
		if !slices.Equal(expected, r.sched.waiters) {
			t.Fatal("the order of the queue differs from the old one")
		}
		for _, w := range r.sched.waiters {
			if r.sched.overtaken(w) != 0 || r.sched.overtaken(&waiter{req: w.req, late: w.late}) != 0 || r.sched.tagWait(w) != 0 {
				t.Fatal("the expected wait differs from the old one")
			}
		}
	}
	r.run()
	return fmt.Sprintf("%016x", digest.Sum64()), refusals
}

// Without workspaces, and with only one, a scheduler must decide as it did before it knew them: who waits, in which order, who
// gets which upstream when, and who is refused.
func TestWithoutWorkspacesDecisionsAreAsBefore(t *testing.T) {
	t.Parallel()
	total := 0
	for seed := range uint64(10) {
		without, refusals := goldenReplay(t, seed, "")
		with, _ := goldenReplay(t, seed, "only")
		if without != with {
			t.Fatal("decisions differ with one workspace and without")
		}
		total += refusals
	}
	assert.Assert(t, total > 1000, "the replays must overload the pool: %d refusals", total)
}

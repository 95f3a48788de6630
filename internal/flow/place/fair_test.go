package place

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
)

// zipf returns the usual demands of n workspaces, which sum up to the total.
func zipf(n int, total, exponent float64) []float64 {
	out, sum := make([]float64, n), 0.0
	for i := range out {
		out[i] = math.Pow(float64(i+1), -exponent)
		sum += out[i]
	}
	for i := range out {
		out[i] *= total / sum
	}
	return out
}

// fairReplay returns a loadReplay of a pool of 216 slots, which serve about 196 jobs a second, for workspaces with the given usual
// demands. One of them sends several times its usual demand from 4 s to 12 s. Its rate limit is not enforced.
func fairReplay(seed uint64, usual []float64, hot int, factor float64) *loadReplay {
	workspaces := map[string]policy.Workspace{}
	var callers []replayCaller
	for i, rate := range usual {
		name := fmt.Sprint("w", i)
		workspaces[name] = policy.Workspace{Name: name, Rate: 1.6 * rate}
		load := constant(rate)
		if i == hot {
			load = func(t time.Duration) float64 {
				if t >= 4*time.Second && t < 12*time.Second {
					return factor * rate
				}
				return rate
			}
		}
		callers = append(callers, replayCaller{Workspace: name, Rank: 1, Rate: load})
	}
	r := newLoadReplay(seed, 54, 4, callers...)
	v := view(r.sched.view.Upstreams["s"]...)
	v.Policy.Workspaces = workspaces
	r.sched.Update(at(0), v)
	r.end = 12 * time.Second
	r.observe = func(_ time.Time, what string, _ *replayJob, _ any) {
		for _, l := range r.sched.loads {
			if what == "refused" && l.running < l.upstream.Slots {
				r.wasted++
			}
		}
	}
	return r
}

// fairness returns the share of jobs served of the worst tenth of the workspaces but the hot one, weighted by their jobs, of all
// workspaces, and of the hot one.
func (r *loadReplay) fairness(hot int) (worst, mean, ofHot float64) {
	var others []replayCount
	var all replayCount
	for i, c := range r.counts {
		all.offered, all.served = all.offered+c.offered, all.served+c.served
		if i != hot && c.offered > 0 {
			others = append(others, c)
		}
	}
	slices.SortFunc(others, func(a, b replayCount) int { return int(math.Copysign(1, a.share()-b.share())) })
	var tenth replayCount
	for _, c := range others[:(len(others)+9)/10] {
		tenth.offered, tenth.served = tenth.offered+c.offered, tenth.served+c.served
	}
	return tenth.share(), all.share(), r.counts[hot].share()
}

// One workspace at 7 times its usual demand must not cost the others their jobs: the worst tenth of them is served at least 0.85
// times as often as all together, with equal and with very unequal workspaces. No job is refused while a slot is free.
func TestAHotWorkspaceDoesNotMakeOthersBeRefused(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		usual []float64
		hot   int
		worst float64
	}{
		{usual: zipf(80, 170, 0), hot: 3, worst: 0.95},
		{usual: zipf(80, 150, 1.2), hot: 0, worst: 0.9},
		{usual: zipf(80, 170, 1.2), hot: 1, worst: 0.9},
		{usual: zipf(80, 190, 1.2), hot: 10, worst: 0.9},
	} {
		r := fairReplay(1, c.usual, c.hot, 7)
		r.run()
		worst, mean, ofHot := r.fairness(c.hot)
		t.Logf("hot workspace %d: worst tenth %.3f, all %.3f, hot %.3f, slots used %.3f", c.hot, worst, mean, ofHot, r.utilization())
		assert.Check(t, worst >= 0.85*mean && worst >= c.worst, "hot workspace %d: worst tenth %.3f, all %.3f, hot %.3f", c.hot, worst, mean, ofHot)
		assert.Check(t, ofHot >= mean/4, "the hot workspace is starved: %.3f of its jobs are served, %.3f of all", ofHot, mean)
		assert.Check(t, r.wasted == 0, "%d times, an upstream had a free slot while a job was refused", r.wasted)
	}
}

// If capacity is short without a hot workspace, large and small workspaces must be served about as often, since their rates
// are their shares.
func TestAShortageIsSharedByRate(t *testing.T) {
	t.Parallel()
	r := fairReplay(1, zipf(80, 260, 1.2), 0, 1)
	r.run()
	var large, small, all replayCount
	for i, c := range r.counts {
		part := &small
		if i < 8 {
			part = &large
		}
		for _, sum := range []*replayCount{part, &all} {
			sum.offered, sum.served = sum.offered+c.offered, sum.served+c.served
		}
	}
	t.Logf("large %.3f, small %.3f, all %.3f, slots used %.3f", large.share(), small.share(), all.share(), r.utilization())
	assert.Check(t, all.share() < 0.95, "the loadReplay must exceed the capacity")
	assert.Check(t, large.share() >= 0.85*all.share() && small.share() >= 0.85*all.share(), "large %.3f, small %.3f, all %.3f", large.share(), small.share(), all.share())
	assert.Check(t, r.wasted == 0, "%d times, an upstream had a free slot while a job was refused", r.wasted)
	assert.Check(t, r.utilization() > 0.97, "slots stay free: %.3f used", r.utilization())
}

// Callers of a hot workspace that return at once after a refusal must not take the slots of the others.
func TestCallersThatReturnAtOnceGainNothingFromOthers(t *testing.T) {
	t.Parallel()
	for _, now := range []bool{false, true} {
		r := fairReplay(2, zipf(80, 180, 1.2), 0, 7)
		r.callers[0].RetryNow = now
		r.run()
		worst, mean, ofHot := r.fairness(0)
		t.Logf("return at once: %v: worst tenth %.3f, all %.3f, hot %.3f", now, worst, mean, ofHot)
		assert.Check(t, worst >= 0.85, "worst tenth %.3f, all %.3f, hot %.3f", worst, mean, ofHot)
	}
}

// Guards against a queue whose order contradicts the tickets after arrivals, services, cancellations and displacements, and
// against state that outlives the waiting jobs.
func TestTheQueueFollowsTheTickets(t *testing.T) {
	t.Parallel()
	r := fairReplay(4, zipf(20, 260, 1.2), 0, 7)
	r.from, r.end, r.after = 0, 6*time.Second, 0
	r.onStep = func(time.Time) {
		last := map[fairClass]*waiter{}
		for _, w := range r.sched.waiters {
			if before := last[w.class]; before != nil && !before.ticket.Before(w.ticket) {
				t.Fatalf("job %d waits before job %d, with start tags %v and %v", before.seq, w.seq, before.ticket.Start, w.ticket.Start)
			}
			last[w.class] = w
		}
		for class, q := range r.sched.classes {
			if q.Length == 0 || last[class] == nil {
				t.Fatalf("state of the class %v without waiting jobs", class)
			}
		}
	}
	r.run()
	assert.Equal(t, len(r.sched.classes), 0)
	assert.Equal(t, len(r.sched.waiters), 0)
}

// Guards against a cost of placing that grows with the number of workspaces: state exists for those whose jobs wait or have
// waited just before.
func TestStateIsKeptForActiveWorkspacesOnly(t *testing.T) {
	t.Parallel()
	for _, workspaces := range []int{80, 8000} {
		r := fairReplay(5, zipf(workspaces, 260, 0), 0, 1)
		r.from, r.end, r.after = 0, 3*time.Second, 0
		for i := range r.callers {
			if i >= 50 {
				r.callers[i].Rate = nil
			} else {
				r.callers[i].Rate = constant(260.0 / 50)
			}
		}
		r.callers = r.callers[:50]
		most := 0
		r.onStep = func(time.Time) {
			for _, q := range r.sched.classes {
				most = max(most, len(q.Flows))
			}
		}
		r.run()
		assert.Assert(t, most > 10 && most <= 50, "state of %d workspaces", most)
	}
}

// A job that arrives at a full queue must take the place of a heavy workspace's job that can't be served in time any more, and
// that one must be told at once.
func TestAJobDisplacesOneThatIsTooLateAnyway(t *testing.T) {
	t.Parallel()
	u, v := upstream("u", "a", "east"), upstream("v", "a", "east")
	sched, now := newTestScheduler(u, v), at(0)
	for range 40 {
		sched.Release(now, try(sched, now, newRequest(now)), good(100*time.Millisecond))
	}
	for range 4 {
		assert.Assert(t, try(sched, now, newRequest(now)) != nil)
	}
	arrive := func(workspace string, patience time.Duration) (*waiter, bool) {
		req := newRequest(now)
		req.Workspace, req.Objective = workspace, now.Add(100*time.Millisecond+patience)
		w := &waiter{req: req, ready: make(chan *Grant, 1)}
		_, _, until := sched.reserveOrEnqueue(now, w)
		return w, until.After(now)
	}
	var heavy []*waiter
	for range 4 {
		w, waits := arrive("heavy", 150*time.Millisecond)
		assert.Assert(t, waits)
		heavy = append(heavy, w)
	}
	_, waits := arrive("light", 20*time.Millisecond) // Four jobs are ahead, and all of them can be served in time.
	assert.Assert(t, !waits)
	assert.Equal(t, sched.Waiting(), 4)
	sched.Update(now, view(u)) // Half of the slots are gone.
	_, waits = arrive("light", 210*time.Millisecond)
	assert.Assert(t, waits)
	assert.Equal(t, sched.Waiting(), 4)
	select {
	case g := <-heavy[3].ready:
		assert.Assert(t, g == nil && heavy[3].refusal.RetryAfter > 0)
	default:
		t.Fatal("the last job of the heavy workspace still waits")
	}
}

// recordedWaits collects the errors of predicted waits.
type recordedWaits struct {
	served  []float64
	refused int
}

// RecordWait records a wait.
func (r *recordedWaits) RecordWait(_ string, expected, actual time.Duration, served bool) {
	if served {
		r.served = append(r.served, (actual - expected).Seconds())
	} else {
		r.refused++
	}
}

// Guards against predictions that are far off, since jobs are refused by them: in overload by a hot workspace, half of the jobs
// that wait must wait within 0.15 s of what was expected, nine of ten within 0.6 s, and few may be refused after they waited.
func TestPredictedWaitsAreCloseToActualOnes(t *testing.T) {
	t.Parallel()
	r := fairReplay(1, zipf(80, 170, 1.2), 1, 7)
	waits := &recordedWaits{}
	r.sched.Waits = waits
	r.run()
	var off []float64
	for _, e := range waits.served {
		off = append(off, math.Abs(e))
	}
	slices.Sort(off)
	t.Logf("%d served, half within %.3f s, nine of ten within %.3f s; %d refused after they waited", len(off), off[len(off)/2], off[len(off)*9/10], waits.refused)
	assert.Check(t, len(off) > 500 && off[len(off)/2] < 0.15 && off[len(off)*9/10] < 0.6 && waits.refused < len(off)/20)
}

// The summary must name the workspace that waits most and the one that is refused most, since others don't tell whose load it is.
func TestTheSummaryNamesTheHeavyWorkspace(t *testing.T) {
	t.Parallel()
	r := fairReplay(1, zipf(80, 190, 1.2), 0, 7)
	seen := 0
	r.onStep = func(now time.Time) {
		if now.Sub(at(0)) < 8*time.Second || now.Sub(at(0)) > 12*time.Second || seen > 0 {
			return
		}
		for _, sum := range r.sched.Summaries(now) {
			seen++
			assert.Check(t, sum.Workspaces > 1 && sum.HeaviestWaiting > 0 && sum.MostRefused == "w0" && sum.MostRefusedNumber > 0, "%+v", sum)
		}
	}
	r.run()
	assert.Assert(t, seen > 0)
}

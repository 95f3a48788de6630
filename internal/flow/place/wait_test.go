package place

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// A job whose expected wait exceeds the time that it may wait must be refused at once and told when to come back.
func TestAJobThatWouldWaitTooLongIsRefusedAtOnce(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	now := at(0)
	for range 20 {
		sched.Release(now, try(sched, now, newRequest(now)), good(100*time.Millisecond))
	}
	for range 2 {
		assert.Assert(t, try(sched, now, newRequest(now)) != nil)
	}
	request := func() Request {
		req := newRequest(now)
		req.Objective, req.Deadline = now.Add(2*time.Second), now.Add(9*time.Second)
		return req
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	waiting := 0
	for ; waiting < 100; waiting++ {
		refused := make(chan Refusal, 1)
		go func() {
			if g, refusal := sched.Acquire(ctx, now, request()); g == nil {
				refused <- refusal
			}
		}()
		for sched.Waiting() == waiting && len(refused) == 0 {
			time.Sleep(time.Millisecond)
		}
		if len(refused) > 0 {
			refusal := <-refused
			assert.Assert(t, refusal.RetryAfter > time.Second && refusal.RetryAfter < 3*time.Second, "%s", refusal.RetryAfter)
			break
		}
	}
	// Two slots of 100 ms serve about 38 jobs in the 1.9 s after which a job would be late.
	assert.Assert(t, waiting >= 30 && waiting <= 45, "%d jobs wait", waiting)
	urgent := request()
	urgent.Rank = 0
	done := make(chan struct{})
	go func() { _, _ = sched.Acquire(ctx, now, urgent); close(done) }()
	for sched.Waiting() == waiting {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}

// The backlog must agree with the queue after any sequence of arrivals, grants and given up waits.
func TestTheBacklogCountsTheQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sched := newTestScheduler(upstream("u", "a", "east"), upstream("v", "a", "east"))
		var running []*Grant
		var waiting []*waiter
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				req := newRequest(now)
				req.Rank = rapid.IntRange(0, 12).Draw(t, "rank")
				sched.mu.Lock()
				sched.lastSeq++
				w := &waiter{req: req, seq: sched.lastSeq, ready: make(chan *Grant, 1)}
				if g, _ := sched.reserve(now, w); g != nil {
					running = append(running, g)
				} else {
					sched.enqueue(w)
					waiting = append(waiting, w)
				}
				sched.mu.Unlock()
			case 2:
				if len(running) > 0 {
					sched.Release(now, running[0], good(100*time.Millisecond))
					running = running[1:]
				}
			case 3:
				if len(waiting) > 0 {
					if g, _ := sched.cancelWait(time.Time{}, waiting[0]); g != nil {
						running = append(running, g)
					}
					waiting = waiting[1:]
				}
			}
			total := 0
			if counts := sched.backlog["s"]; counts != nil {
				for _, byRank := range counts {
					for _, n := range byRank {
						if n < 0 {
							t.Fatal("a negative count")
						}
						total += n
					}
				}
			}
			if total != sched.Waiting() {
				t.Fatalf("the backlog counts %d of %d waiting jobs", total, sched.Waiting())
			}
		}
	})
}

// An upstream that announces that it leaves gets no further job, not even after other jobs succeed there, and one that
// asks a host to wait gets none from that host for so long.
func TestAnUpstreamThatAsksForNoJobsGetsNone(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"), upstream("v", "a", "east"))
	other := func(now time.Time) Request {
		req := newRequest(now)
		req.Host.Name = "h2"
		return req
	}
	used := func(now time.Time, request func(time.Time) Request) string {
		seen := map[string]bool{}
		var grants []*Grant
		for range 4 {
			if g := try(sched, now, request(now)); g != nil {
				seen[g.Upstream.ID] = true
				grants = append(grants, g)
			}
		}
		for _, g := range grants {
			sched.Release(now, g, good(time.Millisecond))
		}
		return fmt.Sprint(seen)
	}
	g := try(sched, at(0), newRequest(at(0)))
	first, second := g.Upstream.ID, map[string]string{"u": "v", "v": "u"}[g.Upstream.ID]
	sched.Release(at(0), g, Result{Shed: true, RetryAfter: 2 * time.Second})
	assert.Equal(t, used(at(time.Second), newRequest), fmt.Sprint(map[string]bool{second: true}))
	assert.Equal(t, used(at(time.Second), other), fmt.Sprint(map[string]bool{"u": true, "v": true}))
	assert.Equal(t, used(at(2*time.Second), newRequest), fmt.Sprint(map[string]bool{"u": true, "v": true}))
	for g = try(sched, at(3*time.Second), newRequest(at(3*time.Second))); g.Upstream.ID != first; {
		g = try(sched, at(3*time.Second), newRequest(at(3*time.Second)))
	}
	sched.Release(at(3*time.Second), g, Result{Duration: time.Millisecond, Succeeded: true, Leaving: true})
	for _, now := range []time.Duration{3 * time.Second, time.Minute} {
		assert.Equal(t, used(at(now), newRequest), fmt.Sprint(map[string]bool{second: true}))
	}
	assert.Assert(t, !sched.Accepts(at(time.Minute), g.Upstream))
}

// If all upstreams of a pool lose answers, ejecting them all would leave none; an upstream that is down is always ejected.
func TestFailuresOfAllUpstreamsEjectFewOfThem(t *testing.T) {
	for _, n := range []int{1, 3, 170} {
		var list []*roster.Upstream
		for i := range n {
			list = append(list, upstream(fmt.Sprint("u", i), "a", "east"))
		}
		sched := newTestScheduler(list...)
		ejected := func() (n int) {
			for _, l := range sched.loads {
				if l.ejected(at(0)) {
					n++
				}
			}
			return n
		}
		for i := range 40 * n {
			g := try(sched, at(0), newRequest(at(0)))
			if g == nil {
				break
			}
			r := Result{Duration: time.Millisecond, Succeeded: true}
			if i%5 < 2 {
				r = Result{Duration: time.Millisecond}
			}
			sched.Release(at(0), g, r)
		}
		assert.Assert(t, ejected() <= max(1, 3*n/10), "%d of %d upstreams are ejected", ejected(), n)
		for _, u := range list {
			sched.mu.Lock()
			g := sched.grant(at(0), sched.loads[u.ID], &waiter{req: newRequest(at(0)), seq: sched.lastSeq + 1})
			sched.lastSeq++
			sched.mu.Unlock()
			sched.Release(at(0), g, Result{Unreachable: true})
		}
		assert.Equal(t, ejected(), n)
	}
}

// While the upstream that has a job's object is busy for too long, a free one must run the job.
func TestABusyOwnerDoesNotKeepAJobFromAFreeSlot(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"), upstream("v", "a", "east"), upstream("w", "a", "east"))
	now := at(0)
	request := func() Request {
		req := newRequest(now)
		req.Object = "x"
		return req
	}
	first := try(sched, now, request())
	sched.Release(now, first, good(1700*time.Millisecond))
	for range 5 {
		g := try(sched, now, request())
		assert.Assert(t, g != nil, "refused with free slots")
	}
}

// The first jobs of a day may be much shorter than those that follow. All upstreams then seem slow, and the pool must go on
// starting jobs.
func TestAPoolThatSeemsSlowAsAWholeGoesOn(t *testing.T) {
	var list []*roster.Upstream
	for i := range 20 {
		list = append(list, upstream(fmt.Sprint("u", i), "a", "east"))
	}
	sched := newTestScheduler(list...)
	now, refused := at(0), 0
	for i := range 600 {
		req := newRequest(now)
		req.Object, req.Deadline = fmt.Sprint(i), now.Add(2*time.Second)
		g := try(sched, now, req)
		took := 1600 * time.Millisecond
		if i < 3 {
			took = 40 * time.Millisecond
		}
		if g == nil {
			refused++
		} else {
			sched.Release(now, g, good(took))
		}
		now = now.Add(20 * time.Millisecond)
		sched.Tick(now)
	}
	assert.Assert(t, refused < 60, "%d of 600 jobs refused with free slots", refused)
}

// While nothing is known of a service's work, it is taken for as long as the objective. A job that has less time than that must
// be started all the same, or nothing ever becomes known.
func TestAServiceWithoutSamplesStartsJobsThatHaveLessTimeThanTheirObjective(t *testing.T) {
	sched := newTestScheduler(upstream("idle", "a", "east"))
	for i := range 20 {
		now := at(time.Duration(i) * time.Second)
		req := newRequest(now)
		req.Objective, req.Deadline = now.Add(6*time.Second), now.Add(3*time.Second)
		if g := try(sched, now, req); g != nil {
			return
		}
	}
	t.Fatal("no job was started in 20 s on an idle upstream")
}

package place

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// second requests a slot for a second attempt.
func second(s *Scheduler, now time.Time, change func(req *Request)) *Grant {
	req := newRequest(now)
	req.NoWait = true
	change(&req)
	g, _ := s.Acquire(context.Background(), now, req)
	return g
}

func unchanged(*Request) {}

// Guards against second attempts that take a slot from, or wait with, the first attempts of other jobs.
func TestASecondAttemptGetsOnlyASlotThatIsFreeNow(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"), upstream("v", "a", "east"))
	grants := []*Grant{}
	for range 3 {
		grants = append(grants, try(sched, at(0), newRequest(at(0))))
	}
	g := second(sched, at(0), unchanged)
	assert.Assert(t, g != nil)
	assert.Assert(t, second(sched, at(0), unchanged) == nil, "all slots are taken")
	assert.Equal(t, sched.Waiting(), 0)
	waiting := make(chan *Grant)
	go func() {
		g, _ := sched.Acquire(context.Background(), at(0), newRequest(at(0)))
		waiting <- g
	}()
	for sched.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	sched.loads["u"].ejectedUntil, sched.loads["v"].ejectedUntil = at(time.Hour), at(time.Hour)
	sched.Release(at(0), grants[0], good(time.Millisecond))
	sched.loads["u"].ejectedUntil, sched.loads["v"].ejectedUntil = time.Time{}, time.Time{}
	assert.Assert(t, second(sched, at(0), unchanged) == nil, "another job waits for the free slot")
	sched.Tick(at(time.Millisecond))
	sched.Release(at(0), <-waiting, good(time.Millisecond))
}

// Guards against second attempts that can't end in time, that are not coordinated, or that wake a cold upstream.
func TestASecondAttemptIsRefusedWhereItMakesNoSense(t *testing.T) {
	for name, c := range map[string]struct {
		cold   time.Duration
		change func(req *Request)
	}{
		"too late":      {0, func(req *Request) { req.Deadline = at(10 * time.Millisecond) }},
		"isolated host": {0, func(req *Request) { req.Isolated = true }},
		"tried before":  {0, func(req *Request) { req.Tried = []string{"u"} }},
		"cold upstream": {time.Hour, unchanged},
	} {
		t.Run(name, func(t *testing.T) {
			u := upstream("u", "a", "east")
			u.Cold, u.Reported = c.cold, at(0)
			sched := newTestScheduler(u)
			assert.Assert(t, second(sched, at(0), c.change) == nil)
			assert.Equal(t, sched.loads["u"].running, 0)
			assert.Equal(t, sched.loads["u"].queued, 0)
		})
	}
}

// Replays a long tail: 3 in 100 runs take 7 times as long. Guards against grants without the time after which a second attempt
// pays off, and against one where there is no tail.
func TestGrantsTellWhenASecondAttemptPaysOff(t *testing.T) {
	for _, tail := range []int{0, 3} {
		sched := newTestScheduler(upstream("u", "a", "east"), upstream("v", "a", "east"))
		now := at(0)
		for i := range 400 {
			g := try(sched, now, newRequest(now))
			assert.Assert(t, g != nil)
			if i < 90 {
				assert.Equal(t, g.HedgeAfter, time.Duration(0))
			}
			took := time.Duration(200+i%17) * time.Millisecond
			r := good(took)
			if i%100 < tail {
				r = Result{Duration: 1500 * time.Millisecond, Inconclusive: true} // The deadline cut it off.
			}
			now = now.Add(10 * time.Millisecond)
			sched.Release(now, g, r)
		}
		g := try(sched, now, newRequest(now))
		if tail == 0 {
			assert.Equal(t, g.HedgeAfter, time.Duration(0))
			continue
		}
		assert.Assert(t, g.HedgeAfter > 200*time.Millisecond && g.HedgeAfter < 300*time.Millisecond, fmt.Sprint(g.HedgeAfter))
	}
}

// Guards against results of canceled attempts, or of grants that were not used, that make an upstream seem slow or failed.
func TestACanceledAttemptSaysNothingAboutItsUpstream(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	for range 20 {
		g := try(sched, at(0), newRequest(at(0)))
		sched.Release(at(0), g, Result{Duration: time.Second, Inconclusive: true})
		sched.Release(at(0), g, Result{Duration: time.Second, Inconclusive: true}) // A second release has no effect.
	}
	l := sched.loads["u"]
	assert.Equal(t, l.running, 0)
	assert.Equal(t, l.slowdown, 1.0)
	assert.Equal(t, l.failureRate, 0.0)
	assert.Assert(t, !l.ejected(at(0)))
	assert.Equal(t, sched.estimate("s").samples.all, 0)
}

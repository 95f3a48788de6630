package place

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays a pool of which one upstream takes three jobs at a time instead of six for four seconds, and none in the second of them. Guards
// against rejecting a job of each caller meanwhile, and against leaving the upstream without jobs afterwards.
func TestAnUpstreamThatShedsGetsFewerJobsUntilItTakesThem(t *testing.T) {
	sched := newTestScheduler(upstream("sheds", "a", "east"), upstream("other", "b", "east"))
	for _, l := range sched.loads {
		l.upstream.Slots = 6
	}
	takes := func(d time.Duration) int {
		switch {
		case d > 2*time.Second && d < 3*time.Second:
			return 0
		case d > time.Second && d < 5*time.Second:
			return 3
		}
		return 6
	}
	type running struct {
		g    *Grant
		ends time.Duration
	}
	var jobs []running
	shed, most := 0, map[time.Duration]int{}
	for d := time.Duration(0); d < 8*time.Second; d += 5 * ms {
		jobs = slices.DeleteFunc(jobs, func(j running) bool {
			if j.ends <= d {
				sched.Release(at(d), j.g, good(100*ms))
			}
			return j.ends <= d
		})
		if d%(250*ms) == 0 {
			sched.Tick(at(d))
		}
		g := try(sched, at(d), newRequest(at(d)))
		if g == nil {
			continue
		}
		on := 0
		for _, j := range jobs {
			if j.g.Upstream == g.Upstream {
				on++
			}
		}
		if g.Upstream.ID == "sheds" && on >= takes(d) {
			shed++
			sched.Release(at(d), g, Result{Duration: ms, Shed: true})
			continue
		}
		if g.Upstream.ID == "sheds" {
			most[d/time.Second] = max(most[d/time.Second], on+1)
		}
		jobs = append(jobs, running{g, d + 100*ms})
	}
	// Without a limit 200 jobs a second come while twelve slots are free for 120.
	assert.Assert(t, shed < 60, "%d jobs were rejected", shed)
	assert.Equal(t, most[4], 3)
	assert.Equal(t, most[7], 6)
}

// Guards against an upstream that gets no job at all since it reports a queue that others fill.
func TestAReportedQueueLowersTheLimitWithoutClosingTheUpstream(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	l := sched.loads["u"]
	l.upstream.Slots = 6
	release := func(queue int) {
		g := try(sched, at(0), newRequest(at(0)))
		assert.Assert(t, g != nil)
		sched.Release(at(0), g, Result{Duration: 100 * ms, Succeeded: true, QueueLength: queue})
	}
	release(9)
	assert.Equal(t, l.slots(), 3)
	for range 20 {
		release(0)
	}
	assert.Equal(t, l.slots(), 6)
}

package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A cold upstream must not get more requests in any second than its rate, but must get some to warm up.
func TestAColdUpstreamGetsLessThanItsRate(t *testing.T) {
	cold := upstream("cold", "a", "east")
	cold.Cold, cold.Reported = 3*time.Second, at(0)
	sched := newTestScheduler(cold, upstream("warm", "a", "east"))
	var times []time.Duration
	for d := time.Duration(0); d < 3*time.Second; d += 5 * time.Millisecond {
		now := at(d)
		req := newRequest(now)
		if g := try(sched, now, req); g != nil {
			if g.Upstream.ID == "cold" {
				times = append(times, d)
			}
			sched.Release(now, g, good(time.Millisecond))
		}
	}
	assert.Assert(t, len(times) > 2, "%d warm-up requests", len(times))
	for i := range times {
		n := 0
		for _, d := range times[i:] {
			if d-times[i] < time.Second {
				n++
			}
		}
		assert.Assert(t, n <= 8, "%d requests within a second at a rate of 8", n)
	}
}

// Three hosts may act as the region's placing host at once: one that has lost the store and whose entry was taken
// over, its successor, and one that can reach neither. Together they must stay below 1.5 times the rate plus 5.
func TestThreePlacingHostsTogetherKeepAColdUpstreamsBound(t *testing.T) {
	cold := upstream("cold", "a", "east")
	cold.Slots, cold.Cold, cold.Reported = 9, 3*time.Second, at(0)
	tabs := []*Scheduler{newTestScheduler(cold), newTestScheduler(cold), newTestScheduler(cold)}
	var times []time.Duration
	for d := time.Duration(0); d < 3*time.Second; d += 5 * time.Millisecond {
		for _, sched := range tabs {
			if g := try(sched, at(d), newRequest(at(d))); g != nil {
				times = append(times, d)
				sched.Release(at(d), g, good(time.Millisecond))
			}
		}
	}
	for i := range times {
		n := 0
		for _, d := range times[i:] {
			if d-times[i] < time.Second {
				n++
			}
		}
		assert.Assert(t, n <= 17, "%d requests within a second at a rate of 8", n)
	}
}

func TestAnIsolatedHostSendsNothingToAColdUpstream(t *testing.T) {
	cold := upstream("cold", "a", "east")
	cold.Cold, cold.Reported = 3*time.Second, at(0)
	sched := newTestScheduler(cold)
	req := newRequest(at(time.Second))
	req.Isolated = true
	assert.Assert(t, try(sched, at(time.Second), req) == nil)
	req.Isolated = false
	assert.Assert(t, try(sched, at(time.Second), req) != nil)
}

// Guards against a panic of a host that is asked to place before it knows a policy: it doesn't know how many requests a cold
// upstream takes.
func TestAHostWithoutAPolicySendsNothingToAColdUpstream(t *testing.T) {
	cold := upstream("cold", "a", "east")
	cold.Cold, cold.Reported = 3*time.Second, at(0)
	v := view(cold, upstream("warm", "a", "east"))
	v.Policy = nil
	sched := NewScheduler()
	sched.Update(at(0), v)
	g := try(sched, at(time.Second), newRequest(at(time.Second)))
	assert.Assert(t, g != nil)
	assert.Equal(t, g.Upstream.ID, "warm")
}

// Guards against a panic that leaves the scheduler locked, so that its host hangs for good.
func TestAPanicLeavesTheSchedulerUnlocked(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	sched.demands = nil // Recording the demand of a job panics.
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		try(sched, at(0), newRequest(at(0)))
	}()
	unlocked := make(chan struct{})
	go func() {
		sched.Waiting()
		close(unlocked)
	}()
	select {
	case <-unlocked:
	case <-time.After(5 * time.Second):
		t.Fatal("the scheduler is locked")
	}
}

// Guards against sending jobs to an upstream that crashes, or that fails most requests while it reports itself
// healthy.
func TestABrokenUpstreamIsEjectedAndRetriedLater(t *testing.T) {
	sched := newTestScheduler(upstream("bad", "a", "east"), upstream("other", "b", "east"))
	now := at(0)
	g := try(sched, now, newRequest(now))
	assert.Equal(t, g.Upstream.ID, "bad")
	sched.Release(now, g, Result{Unreachable: true})
	for range 2 {
		assert.Equal(t, try(sched, now, newRequest(now)).Upstream.ID, "other")
	}
	assert.Assert(t, try(sched, now, newRequest(now)) == nil) // The other upstream is full.
	now = at(minEjection + time.Millisecond)
	assert.Equal(t, try(sched, now, newRequest(now)).Upstream.ID, "bad")
}

// After a power failure in a failure domain, its upstreams return cold and accept connections before their reports say
// that they are cold. They must not get the full load in between.
func TestAnUpstreamThatComesBackCountsAsColdUntilItsReport(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	now := at(0)
	for range 4 {
		var g *Grant
		for g == nil {
			now = now.Add(50 * time.Millisecond)
			g = try(sched, now, newRequest(now))
		}
		sched.Release(now, g, Result{Unreachable: true})
	}
	now = now.Add(maxEjection)
	n := 0
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if g := try(sched, now, newRequest(now)); g != nil {
			n++
			sched.Release(now, g, good(5*time.Millisecond))
		}
	}
	assert.Assert(t, n > 0 && n <= 16, "%d requests in the first 2 s, at a rate of 8", n)
}

func TestAnUpstreamThatFailsMostOfItsJobsIsEjected(t *testing.T) {
	sched := newTestScheduler(upstream("grey", "a", "east"))
	now := at(0)
	for i := range 12 {
		g := try(sched, now, newRequest(now))
		if g == nil {
			return
		}
		sched.Release(now, g, Result{Duration: time.Millisecond, Succeeded: i%2 == 0})
	}
	t.Fatal("half of its jobs failed, but it was not ejected")
}

func TestANewIncarnationIsNotEjected(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	sched.Release(at(0), try(sched, at(0), newRequest(at(0))), Result{Unreachable: true})
	assert.Assert(t, try(sched, at(0), newRequest(at(0))) == nil)
	again := upstream("u", "a", "east")
	again.Born = 2
	sched.Update(at(time.Millisecond), view(again))
	assert.Assert(t, try(sched, at(time.Millisecond), newRequest(at(0))) != nil)
}

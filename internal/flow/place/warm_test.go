package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays a fleet that starts with empty caches, as it has the first service of deployment L in its largest region: 631 jobs a second of 323
// objects. Guards against computing each object several times over while its first job still runs.
func TestAColdFleetComputesFewObjectsTwice(t *testing.T) {
	for name, cachedAtStart := range map[string]bool{"cached at the end of a job": false, "cached at its start": true} {
		c := deploymentL()
		c.length, c.cachedAtStart = 8*time.Second, cachedAtStart
		r := newReplay(c)
		r.run()
		first, steady := r.figures(0, 2*time.Second), r.figures(4*time.Second, c.length)
		t.Logf("%s: first two seconds: %v; then %v", name, first, steady)
		assert.Check(t, first.hits > 0.42 && first.inTime > 0.34, "%s: %v", name, first)
		assert.Check(t, steady.hits > 0.95 && steady.inTime > 0.88, "%s: %v", name, steady)
	}
}

// Replays a region with 16 upstreams, whose caches together hold 400 objects of 323. Guards against an estimate of their size that stays too
// small, since objects that should have been dropped go to any upstream and nothing shows that they were not.
func TestTheHitsAreWhatTheCachesAllow(t *testing.T) {
	for name, report := range map[string]func(*replay, time.Duration, *simulated) float64{"reports": truePace, "no reports": noPace} {
		c := deploymentL()
		c.perSecond, c.upstreams, c.report, c.length = c.perSecond*16/float64(c.upstreams), 16, report, 16*time.Second
		r := newReplay(c)
		r.run()
		f := r.figures(8*time.Second, c.length)
		t.Logf("%s: %v, %.1f objects", name, f, r.sched.estimate("s").cacheSize)
		assert.Check(t, f.hits > 0.88 && r.sched.estimate("s").cacheSize > 20, "%s: %v", name, f)
	}
}

// warmingScheduler returns a scheduler whose only upstream runs the first job with an object since the start, and knows that a miss takes
// 800 ms, a hit 240 ms, and that upstreams cache an object when its first job ends.
func warmingScheduler() (*Scheduler, *Grant) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	w := sched.estimate("s")
	w.hit, w.miss, w.all, w.samples = 240*ms, 800*ms, 300*ms, sampleCounts{hit: 20, miss: 20, all: 40}
	w.overtakes = 0
	return sched, try(sched, at(0), objectRequest(at(0)))
}

func objectRequest(now time.Time) Request {
	req := newRequest(now)
	req.Object, req.Deadline = "o", now.Add(5*time.Second)
	return req
}

// Guards against a job that computes its object a second time although the first is about to end, and against one that waits on when the
// object is cached.
func TestAJobWaitsForTheFirstOneWithItsObject(t *testing.T) {
	sched, first := warmingScheduler()
	now := at(400 * ms)
	w := &waiter{req: objectRequest(now), ready: make(chan *Grant, 1)}
	g, _, until := sched.reserveOrEnqueue(now, w)
	assert.Assert(t, g == nil && until.After(at(1200*ms)), "not held: %v, %v", g, until)
	sched.Tick(at(700 * ms))
	assert.Equal(t, len(w.ready), 0)
	sched.Release(at(800*ms), first, good(800*ms))
	assert.Equal(t, len(w.ready), 1)
	assert.Assert(t, (<-w.ready).expectHit)
}

// Guards against waiting before any sample shows that it pays off.
func TestWithoutSamplesNoJobWaitsForTheFirstOne(t *testing.T) {
	sched, _ := warmingScheduler()
	sched.estimate("s").overtakes = assumedOvertakes
	assert.Assert(t, try(sched, at(400*ms), objectRequest(at(400*ms))) != nil)
}

// Guards against an average that the first samples, bounded by it, can't correct: hits of 100 ms come first, then misses of 360 ms.
func TestTheFirstMissesAreNotBoundedByTheHits(t *testing.T) {
	w := workEstimate{}
	for range 5 {
		w.record(certainHit, 100*ms, 0)
	}
	for range 3 {
		w.record(certainMiss, 360*ms, 0)
	}
	assert.Equal(t, w.miss, 360*ms)
	assert.Assert(t, w.distinct())
}

// Guards against waiting where it does not pay off: for a job that has just begun, for a long run, for one that failed, on upstreams that
// cache an object as soon as its first job starts or not at all, and for a job that has no time for it.
func TestAJobDoesNotWaitForTheFirstOneInVain(t *testing.T) {
	starts := func(sched *Scheduler, d time.Duration) bool { return try(sched, at(d), objectRequest(at(d))) != nil }
	sched, _ := warmingScheduler()
	assert.Assert(t, starts(sched, 50*ms))
	sched, _ = warmingScheduler()
	assert.Assert(t, !starts(sched, 400*ms))
	assert.Assert(t, starts(sched, 1300*ms))
	sched, first := warmingScheduler()
	sched.Release(at(300*ms), first, Result{Duration: 300 * ms})
	assert.Assert(t, starts(sched, 400*ms))
	sched, _ = warmingScheduler()
	for range 10 {
		sched.estimate("s").noteOvertake(true)
	}
	assert.Assert(t, starts(sched, 400*ms))
	sched, _ = warmingScheduler()
	sched.estimate("s").hit = 500 * ms
	assert.Assert(t, starts(sched, 400*ms), "hits take nearly as long as misses")
	for name, limit := range map[string]func(*Request){
		"its deadline would pass":     func(r *Request) { r.Deadline = at(1400 * ms) },
		"it would miss its objective": func(r *Request) { r.Objective = at(980 * ms) },
	} {
		sched, _ = warmingScheduler()
		req := objectRequest(at(150 * ms))
		limit(&req)
		assert.Assert(t, try(sched, at(150*ms), req) != nil, name)
	}
}

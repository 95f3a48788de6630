package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cachingScheduler returns a scheduler with one upstream that has run 40 jobs of three objects: 300 ms at first, 100 ms when cached.
func cachingScheduler() (*Scheduler, time.Time) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	now := at(0)
	for i := range 40 {
		now = runObject(sched, now, fmt.Sprint(i%3), map[bool]time.Duration{true: 300 * ms, false: 100 * ms}[i < 3])
	}
	return sched, now
}

// runObject runs a job with an object and returns the time of its end.
func runObject(s *Scheduler, now time.Time, object string, took time.Duration) time.Time {
	req := newRequest(now)
	req.Object, req.Deadline = object, now.Add(time.Minute)
	g := try(s, now, req)
	s.Release(now.Add(took), g, good(took))
	return now.Add(took)
}

// Replays the long tail: a few jobs in a hundred take seven times as long. Guards against forgetting what an upstream caches since two such
// jobs in a row look like misses.
func TestLongJobsDoNotLookLikeALostCache(t *testing.T) {
	sched, now := cachingScheduler()
	l := sched.loads["u"]
	for i := range 2 {
		now = runObject(sched, now, fmt.Sprint(i), 700*ms)
	}
	assert.Equal(t, len(l.recent), 3)
	sched, now = cachingScheduler()
	l = sched.loads["u"]
	for i := range 2 {
		now = runObject(sched, now, fmt.Sprint(i), 300*ms)
	}
	assert.Equal(t, len(l.recent), 2, "two misses of cached objects are a lost cache; what was sent since is cached again")
}

// Replays the long tail. Guards against averages of the work that one long job moves by a third.
func TestALongJobMovesNoAverageMuch(t *testing.T) {
	sched, now := cachingScheduler()
	w := *sched.estimate("s")
	runObject(sched, now, "0", 2*time.Second)
	after := sched.estimate("s")
	for name, pair := range map[string][2]time.Duration{"hit": {w.hit, after.hit}, "all": {w.all, after.all}} {
		assert.Check(t, pair[1] < pair[0]*115/100, "%s: %v, then %v", name, pair[0], pair[1])
	}
	for i := range 60 {
		now = runObject(sched, now, fmt.Sprint(i%3), time.Second)
	}
	assert.Assert(t, after.all > 800*ms, "all jobs take 1 s, but the average is %v", after.all)
}

// Guards against a shrinking estimate of the size of all caches when upstreams have lost theirs.
func TestLostCachesDoNotShrinkTheEstimate(t *testing.T) {
	w := &workEstimate{cacheSize: initialCacheSize, hit: 100 * ms, miss: 300 * ms}
	for range 3 {
		w.noteSureMiss(true)
	}
	for range 100 {
		w.noteSureMiss(true)
		w.adjustCacheSize(9, 300*ms, 300*ms)
	}
	assert.Equal(t, w.cacheSize, float64(initialCacheSize))
}

// Replays the long tail. Guards against avoiding an upstream, and computing its objects elsewhere, after one long job; and against taking
// an upstream that has become slow for one with a long job.
func TestOneLongJobMakesNoUpstreamSlow(t *testing.T) {
	sched, now := cachingScheduler()
	l := sched.loads["u"]
	before := l.slowdown
	now = runObject(sched, now, "0", 700*ms)
	assert.Assert(t, l.slowdown < 1.1*before && !l.ejected(now), "slowdown %.2f, then %.2f", before, l.slowdown)
	for i := range 6 {
		now = runObject(sched, now, fmt.Sprint(i%3), 400*ms)
	}
	assert.Assert(t, l.slowdown > 2, "slowdown %.2f after six jobs that took four times as long", l.slowdown)
}

// Replays an upstream that stops answering: each job ends at its deadline. Guards against sending it jobs for good, and against taking
// callers that leave early for a sign of a slow upstream.
func TestJobsCutOffAtTheirDeadlineMakeAnUpstreamSlow(t *testing.T) {
	for took, slow := range map[time.Duration]bool{2 * time.Second: true, 20 * ms: false} {
		sched, now := cachingScheduler()
		for i := range 4 {
			req := newRequest(now)
			req.Object = fmt.Sprint(i % 3)
			g := try(sched, now, req)
			now = now.Add(took)
			sched.Release(now, g, Result{Duration: took, Inconclusive: true})
		}
		got := sched.loads["u"].slowdown
		assert.Assert(t, slow == (got > 2), "slowdown %.2f after four jobs that were cut off after %v", got, took)
	}
}

// Guards against an estimate of the caches' size that grows since misses look like hits on an upstream that is wrongly taken for slow.
func TestOnlyClearHitsMakeCachesLarger(t *testing.T) {
	w := &workEstimate{cacheSize: initialCacheSize, hit: 100 * ms, miss: 300 * ms}
	for range 100 {
		w.adjustCacheSize(20, 120*ms, 300*ms)
	}
	assert.Equal(t, w.cacheSize, float64(initialCacheSize))
	for range 20 {
		w.adjustCacheSize(20, 100*ms, 110*ms)
	}
	assert.Assert(t, w.cacheSize > 19, "%.1f", w.cacheSize)
}

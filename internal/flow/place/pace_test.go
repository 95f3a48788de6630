package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// paced returns the result of a job on an upstream that reports its pace.
func paced(took time.Duration, pace float64) Result {
	return Result{Duration: took, Succeeded: true, Pace: pace}
}

// runJobs runs jobs one after another on the only upstream of a pool, from a time on, and returns the time after the last.
func runJobs(s *Scheduler, from time.Time, n int, result func(i int) Result) time.Time {
	for i := range n {
		g, r := try(s, from, newRequest(from)), result(i)
		from = from.Add(r.Duration)
		s.Release(from, g, r)
	}
	return from
}

// Guards against sending jobs to an upstream that just reported that its work takes longer.
func TestAReportedPaceMovesTheNextJob(t *testing.T) {
	sched := newTestScheduler(upstream("near", "a", "east"), upstream("next", "b", "east"))
	g := try(sched, at(0), newRequest(at(0)))
	assert.Equal(t, g.Upstream.ID, "near")
	sched.Release(at(100*ms), g, paced(100*ms, 2.5))
	now := at(101 * ms)
	assert.Equal(t, try(sched, now, newRequest(now)).Upstream.ID, "next")
}

// Guards against an upstream that is never tried again since its last report, of a slow moment, is held to be true for good.
func TestASlowUpstreamWithoutJobsIsTriedAgain(t *testing.T) {
	sched := newTestScheduler(upstream("near", "a", "east"), upstream("next", "b", "east"))
	g := try(sched, at(0), newRequest(at(0)))
	sched.Release(at(100*ms), g, paced(100*ms, 2.5))
	for d := 110 * ms; d < 10*time.Second; d += 50 * ms {
		g := try(sched, at(d), newRequest(at(d)))
		if g.Upstream.ID == "near" {
			assert.Assert(t, d > 250*ms && d < 3*time.Second, "tried again after %v", d)
			return
		}
		sched.Release(at(d+40*ms), g, paced(100*ms, 1))
	}
	t.Fatal("not tried again in 10 s")
}

// Replays upstreams that are drawn as slow anew every 600 ms. Guards against taking a report for true long after, and against ignoring
// one that is fresh.
func TestTheValidityOfReportsFollowsTheRateOfChange(t *testing.T) {
	c := deploymentL()
	c.length = 6 * time.Second
	r := newReplay(c)
	r.run()
	m := r.sched.paceModel("s")
	assert.Assert(t, m.validity(50*ms) > 0.75, "%.2f after 50 ms", m.validity(50*ms))
	assert.Assert(t, m.validity(350*ms) > 0.2 && m.validity(350*ms) < 0.7, "%.2f after 350 ms", m.validity(350*ms))
	assert.Assert(t, m.validity(900*ms) < 0.2, "%.2f after 900 ms", m.validity(900*ms))
	assert.Assert(t, m.usual > 1.1 && m.usual < 1.35, "usual pace %.2f", m.usual)
}

// Replays the same load. Guards against reports that cost more hits than they save time.
func TestReportsKeepJobsFromSlowUpstreams(t *testing.T) {
	play := func(report func(*replay, time.Duration, *simulated) float64) figures {
		c := deploymentL()
		c.report = report
		r := newReplay(c)
		r.run()
		return r.figures(4*time.Second, c.length)
	}
	with, without := play(truePace), play(noPace)
	assert.Assert(t, with.slow < 0.8*without.slow, "with reports: %v; without: %v", with, without)
	assert.Assert(t, with.inTime >= without.inTime, "with reports: %v; without: %v", with, without)
	assert.Assert(t, with.hits > without.hits-0.02, "with reports: %v; without: %v", with, without)
}

// Guards against sending a whole burst to the one upstream that just reported well.
func TestABurstDoesNotFollowOneGoodReport(t *testing.T) {
	sched := newTestScheduler(upstream("good", "a", "east"), upstream("u1", "a", "east"), upstream("u2", "a", "east"), upstream("u3", "a", "east"))
	for id, l := range sched.loads {
		l.upstream.Slots = 12
		l.pace.record(sched.paceModel("s"), map[bool]float64{true: 0.5, false: 1}[id == "good"], at(100*ms))
	}
	got := map[string]int{}
	for range 16 {
		got[try(sched, at(101*ms), newRequest(at(101*ms))).Upstream.ID]++
	}
	assert.Assert(t, got["good"] >= 4 && got["good"] <= 7, "%v", got)
}

// Guards against a report that another host passes on late and that replaces a newer one.
func TestALateReportDoesNotReplaceANewerOne(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	first, second := try(sched, at(0), newRequest(at(0))), try(sched, at(0), newRequest(at(0)))
	sched.Release(at(400*ms), second, paced(350*ms, 1))
	sched.Release(at(450*ms), first, paced(100*ms, 2.5))
	assert.Equal(t, sched.loads["u"].pace.last, paceReport{pace: 1, at: at(350 * ms)})
}

// Guards against a report of an earlier incarnation, whose machine may have been another.
func TestAReportOfAnOlderIncarnationIsIgnored(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	g := try(sched, at(0), newRequest(at(0)))
	again := upstream("u", "a", "east")
	again.Born = 2
	sched.Update(at(10*ms), view(again))
	sched.Release(at(100*ms), g, paced(100*ms, 2.5))
	assert.Equal(t, sched.loads["u"].pace.last.pace, 0.0)
}

// Guards against believing reports that the upstream's own responses contradict: one that is always wrong by the same factor, and one
// that says nothing about the work.
func TestResponsesTakePrecedenceOverReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name     string
		pace     func() float64
		took     float64 // Times the usual work.
		from, to float64 // The expected slowdown afterwards.
	}{
		{"claims the usual pace, but is slow", func() float64 { return 1 }, 2.5, 2.0, 3.0},
		{"claims to be slow, but is not", func() float64 { return 2.5 }, 1, 0.8, 1.3},
		{"reports at random", func() float64 { return 0.5 + 6*random.Float64() }, 1, 0.8, 1.3},
		{"tells the truth", func() float64 { return 2.5 }, 2.5, 2.3, 2.7},
	} {
		sched := newTestScheduler(upstream("u", "a", "east"), upstream("usual", "a", "east"))
		l, now := sched.loads["u"], at(0)
		for range 60 {
			now = now.Add(50 * ms)
			pace := c.pace()
			l.pace.record(sched.paceModel("s"), pace, now)
			l.recordSlowdown(c.took, paceSpan{from: l.pace.forecast(now, sched.paceModel("s"), 6), to: pace})
		}
		l.updateFactor(now, newPaceModel())
		got := l.currentSlowdown()
		assert.Check(t, got >= c.from && got <= c.to, "%s: slowdown %.2f", c.name, got)
	}
}

// Guards against any change of decisions where upstreams report no pace.
func TestWithoutReportsTheLearnedSlowdownDecides(t *testing.T) {
	c := deploymentL()
	c.length, c.report = 2*time.Second, noPace
	r := newReplay(c)
	r.run()
	for _, l := range r.sched.loads {
		assert.Equal(t, l.currentSlowdown(), l.slowdown)
		assert.Equal(t, l.pace, newPaceState())
	}
}

// Guards against training the estimate of the work with the time of slow moments, which would count the pace twice.
func TestTheWorkEstimateLeavesOutThePace(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	runJobs(sched, at(0), 40, func(i int) Result {
		if i%8 >= 4 {
			return paced(250*ms, 2.5)
		}
		return paced(100*ms, 1)
	})
	work, l := sched.estimate("s").expected(false), sched.loads["u"]
	assert.Assert(t, work > 85*ms && work < 125*ms, "work %v", work)
	assert.Assert(t, l.pace.residual > 0.8 && l.pace.residual < 1.2, "residual %.2f", l.pace.residual)
}

// Guards against a successor that takes a temporary pace for a lasting slowdown.
func TestCopiesOfKnowledgeLeaveOutThePace(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	now := at(0)
	for range 10 {
		req := newRequest(now)
		req.Object = "o"
		g := try(sched, now, req)
		now = now.Add(250 * ms)
		sched.Release(now, g, paced(250*ms, 2.5))
	}
	k := sched.Knowledge("s")
	assert.Assert(t, k.Upstreams[0].Slowdown < 1.2, "slowdown %.2f", k.Upstreams[0].Slowdown)
}

// Guards against a log line from which operators can't tell a slow moment from a lasting slowdown, or from reports that are not true.
func TestTheSummaryTellsReportedFromLearned(t *testing.T) {
	sched := newTestScheduler(upstream("slow", "a", "east"), upstream("usual", "a", "east"), upstream("silent", "a", "east"), upstream("wrong", "a", "east"))
	m := sched.paceModel("s")
	for id, pace := range map[string]float64{"slow": 2.5, "usual": 1, "wrong": 1.5} {
		sched.loads[id].pace.record(m, pace, at(0))
	}
	sched.loads["wrong"].pace.errPace = 1
	sched.loads["silent"].slowdown = 3
	sched.counts("s").placed++
	got := sched.Summaries(at(time.Second))[0]
	assert.Equal(t, got.Reporting, 3)
	assert.Assert(t, got.Pace > 1.66 && got.Pace < 1.67, "%v", got.Pace)
	assert.Equal(t, got.Slow, 2)
	assert.Equal(t, got.Doubted, 1)
	assert.Equal(t, got.Slowdown, 1.5)
	sched.counts("s").placed++
	assert.Equal(t, sched.Summaries(at(4 * time.Second))[0].Reporting, 0)
}

package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// remoteJobs places a region's jobs for a while and returns the number of all jobs and of those that left the region,
// per 100 ms. The first job of an object takes longer on each upstream, and jobs in other regions take a round trip
// longer.
func remoteJobs(sched *Scheduler, until time.Duration) map[time.Duration][2]int {
	type running struct {
		g           *Grant
		began, ends time.Duration
	}
	var active []running
	sent := map[string]bool{}
	out := map[time.Duration][2]int{}
	for d := time.Duration(0); d < until; d += 4 * time.Millisecond {
		unfinished := active[:0]
		for _, r := range active {
			if r.ends <= d {
				sched.Release(at(d), r.g, good(r.ends-r.began))
				continue
			}
			unfinished = append(unfinished, r)
		}
		active = unfinished
		req := newRequest(at(d))
		req.Object = fmt.Sprint(int(d/(4*time.Millisecond)) * 7 % 120)
		g := try(sched, at(d), req)
		if g == nil {
			continue
		}
		remote := g.Upstream.Region != "east"
		n := out[d.Truncate(100*time.Millisecond)]
		n[0]++
		if remote {
			n[1]++
		}
		out[d.Truncate(100*time.Millisecond)] = n
		lasts := 100 * time.Millisecond
		if pair := g.Upstream.ID + "/" + req.Object; !sent[pair] {
			sent[pair], lasts = true, 400*time.Millisecond
		}
		if remote {
			lasts += 110 * time.Millisecond
		}
		active = append(active, running{g: g, began: d, ends: d + lasts})
	}
	return out
}

// maxShift returns the greatest change, from one two-second window to the next, of the share of jobs that left the
// region.
func maxShift(parts map[time.Duration][2]int, from, until time.Duration) float64 {
	most := 0.0
	part := func(begin time.Duration) float64 {
		all, far := 0, 0
		for d := begin; d < begin+2*time.Second; d += 100 * time.Millisecond {
			all, far = all+parts[d][0], far+parts[d][1]
		}
		return float64(far) / float64(max(1, all))
	}
	for d := from; d+4*time.Second <= until; d += 100 * time.Millisecond {
		most = max(most, part(d+2*time.Second)-part(d), part(d)-part(d+2*time.Second))
	}
	return most
}

// At startup, jobs leave the region while no upstream has their objects cached, and would all return once the near
// upstreams do. The share that leaves must change slowly.
func TestShiftBetweenRegionsStaysUnderTheLimit(t *testing.T) {
	var remoteIDs []string
	list := view().Upstreams["s"]
	for i := range 12 {
		list = append(list, upstream(fmt.Sprint("near", i), "a", "east"))
	}
	for i := range 30 {
		remoteIDs = append(remoteIDs, fmt.Sprint("far", i))
		list = append(list, upstream(remoteIDs[i], "c", "west"))
	}
	v := view(list...)
	v.Loans = map[string]string{}
	for _, id := range remoteIDs {
		v.Loans[id] = "east"
	}
	sched := NewScheduler()
	sched.SetMaxShift(0.15)
	sched.Update(at(0), v)
	parts := remoteJobs(sched, 8*time.Second)
	moved := maxShift(parts, 0, 8*time.Second)
	assert.Assert(t, moved <= 0.15, "the share of jobs that left the region changed by %.2f", moved)
}

// A region that loses its upstreams must be able to move its callers at once.
func TestAnOutageLiftsTheShiftLimit(t *testing.T) {
	s := &shiftLimiter{}
	for d := time.Duration(0); d < 4*time.Second; d += 10 * time.Millisecond {
		s.record(at(d), false)
	}
	now := at(4 * time.Second)
	here, away := s.allowed(now, 0.15)
	assert.Assert(t, here && away)
	for range 90 {
		s.record(now, true)
	}
	_, away = s.allowed(now, 0.15)
	assert.Assert(t, !away)
	s.setUnusable(now, 0.5)
	_, away = s.allowed(now, 0.15)
	assert.Assert(t, away)
}

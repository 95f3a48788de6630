package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// foreignRequest is a request of a host in another region whose job may only run in this one.
func foreignRequest(now time.Time) Request {
	req := newRequest(now)
	req.Host, req.Homes = roster.Host{Name: "w1", Domain: "w", Region: "west"}, []string{"east"}
	return req
}

func TestJobsOfAnotherRegionUseAllSlotsOfTheirHomeOnly(t *testing.T) {
	v := view(upstream("own", "a", "east"), upstream("ours", "w", "west"))
	v.Loans = map[string]string{"ours": "east"} // A borrowed upstream that isn't at the jobs' home.
	v.Hosts = append(v.Hosts, foreignRequest(at(0)).Host)
	sched := NewScheduler()
	sched.Update(at(0), v)
	for range 2 {
		assert.Equal(t, try(sched, at(0), foreignRequest(at(0))).Upstream.ID, "own")
	}
	assert.Assert(t, try(sched, at(0), foreignRequest(at(0))) == nil)
	assert.Equal(t, try(sched, at(0), newRequest(at(0))).Upstream.ID, "ours")
	req := foreignRequest(at(0))
	req.Tried = []string{"own"}
	sched = NewScheduler()
	sched.Update(at(0), v)
	assert.Assert(t, try(sched, at(0), req) == nil, "an upstream that was tried is used again")
}

// Guards against a region whose callers may change their region faster because jobs from elsewhere, which may not, are counted
// with theirs.
func TestJobsOfAnotherRegionDoNotCountAgainstTheShiftLimit(t *testing.T) {
	sched := newTestScheduler(upstream("own", "a", "east"))
	for i := range 2 * minShiftSamples {
		now := at(time.Duration(i) * 20 * time.Millisecond)
		sched.Release(now, try(sched, now, foreignRequest(now)), good(time.Millisecond))
	}
	total := 0
	for _, b := range sched.limiter("s").buckets {
		total += b.total
	}
	assert.Equal(t, total, 0)
	sched.Release(at(time.Second), try(sched, at(time.Second), newRequest(at(time.Second))), good(time.Millisecond))
	assert.Equal(t, sched.limiter("s").buckets[int(bucketIndex(at(time.Second))%int64(shiftBuckets))].total, 1)
}

// Guards against a host of another region that is cut off from this region's upstreams, but not from its placing host, and ejects one
// upstream after another by its reports.
func TestAHostElsewhereCannotEjectAnUpstreamAtOnce(t *testing.T) {
	list := []*roster.Upstream{}
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		list = append(list, upstream(id, "a", "east"))
	}
	sched := newTestScheduler(list...)
	for i := range 40 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		if g := try(sched, now, foreignRequest(now)); g != nil {
			sched.Release(now, g, Result{Unreachable: true})
		}
	}
	ejected := 0
	for _, l := range sched.loads {
		if l.ejected(at(400 * time.Millisecond)) {
			ejected++
		}
	}
	assert.Assert(t, ejected <= 1, "%d of 4 upstreams are ejected", ejected)
	sched = newTestScheduler(list...)
	g := try(sched, at(0), newRequest(at(0)))
	sched.Release(at(0), g, Result{Unreachable: true})
	assert.Assert(t, sched.loads[g.Upstream.ID].ejected(at(0)), "this region's hosts eject an upstream that they can't reach")
}

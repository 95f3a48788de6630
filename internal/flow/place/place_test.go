package place

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var self = roster.Host{Name: "h1", Domain: "a", Region: "east"}

func upstream(id, domain, region string) *roster.Upstream {
	return &roster.Upstream{ID: id, Service: "s", Address: id, Domain: domain, Region: region, Slots: 2, Born: 1}
}

func view(list ...*roster.Upstream) *roster.View {
	return &roster.View{
		Self: self, Hosts: []roster.Host{self}, Upstreams: map[string][]*roster.Upstream{"s": list},
		Policy: &policy.Policy{Services: map[string]policy.Service{"s": {ColdRate: 8, ColdLife: 3 * time.Second}}},
	}
}

func newTestScheduler(list ...*roster.Upstream) *Scheduler {
	s := NewScheduler()
	s.Update(at(0), view(list...))
	return s
}

func newRequest(now time.Time) Request {
	return Request{Host: self, Service: "s", Rank: 1, Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(2 * time.Second)}
}

// try requests a slot without waiting.
func try(s *Scheduler, now time.Time, req Request) *Grant {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g, _ := s.Acquire(ctx, now, req)
	return g
}

func good(took time.Duration) Result { return Result{Duration: took, Succeeded: true} }

func TestSlotsAreNeverExceededAndSameDomainGoesFirst(t *testing.T) {
	sched := newTestScheduler(upstream("near", "a", "east"), upstream("next", "b", "east"), upstream("far", "c", "west"))
	got := map[string]int{}
	for range 6 {
		if g := try(sched, at(0), newRequest(at(0))); g != nil {
			got[g.Upstream.ID]++
		}
	}
	assert.DeepEqual(t, got, map[string]int{"near": 2, "next": 2}) // Upstreams of the other region are not loaned to this one.
}

func TestABorrowedUpstreamIsUsedByTheBorrowerAlone(t *testing.T) {
	v := view(upstream("own", "a", "east"), upstream("lent", "a", "east"), upstream("ours", "c", "west"))
	v.Loans = map[string]string{"lent": "west", "ours": "east"}
	sched := NewScheduler()
	sched.Update(at(0), v)
	got := map[string]int{}
	for range 8 {
		if g := try(sched, at(0), newRequest(at(0))); g != nil {
			got[g.Upstream.ID]++
		}
	}
	assert.DeepEqual(t, got, map[string]int{"own": 2, "ours": 2})
}

// With many callers and few objects, each object must stay on few upstreams, where it is cached.
func TestAnObjectStaysOnTheUpstreamThatCachesIt(t *testing.T) {
	sched := newTestScheduler(upstream("u1", "a", "east"), upstream("u2", "a", "east"), upstream("u3", "a", "east"))
	placements := map[string]map[string]bool{}
	now := at(0)
	for i := range 120 {
		req := newRequest(now)
		req.Object = fmt.Sprint(i % 12)
		g := try(sched, now, req)
		took := 300 * time.Millisecond
		if placements[req.Object][g.Upstream.ID] {
			took = 90 * time.Millisecond
		}
		if placements[req.Object] == nil {
			placements[req.Object] = map[string]bool{}
		}
		placements[req.Object][g.Upstream.ID] = true
		now = now.Add(20 * time.Millisecond)
		sched.Release(now, g, good(took))
	}
	for object, on := range placements {
		assert.Equal(t, len(on), 1, "object %s ran on several upstreams: %v", object, on)
	}
}

// Before any job has finished, the second job of an object must follow the first, even to another failure domain.
func TestAnObjectIsNotSpreadBeforeTheFirstAnswer(t *testing.T) {
	sched := newTestScheduler(upstream("u1", "a", "east"), upstream("u2", "b", "east"))
	first, second := newRequest(at(0)), newRequest(at(0))
	first.Host.Domain = "b"
	for first.Object = ""; rendez.Score(rendez.Hash(first.Object), rendez.NewSite("u2", 1)) < rendez.Score(rendez.Hash(first.Object), rendez.NewSite("u1", 1)); {
		first.Object += "x"
	}
	second.Object = first.Object
	assert.Equal(t, try(sched, at(0), first).Upstream.ID, "u2")
	assert.Equal(t, try(sched, at(0), second).Upstream.ID, "u2")
}

// After a restart of all hosts, the new placing host knows no cached objects. It must still send most objects where
// the previous one sent them, whichever host asks first and in whatever order.
func TestObjectsReturnToTheirOwnersAfterARestart(t *testing.T) {
	list := []*roster.Upstream{}
	for i := range 24 {
		list = append(list, upstream(fmt.Sprint("u", i), string(rune('a'+i%3)), "east"))
	}
	place := func(shift int) map[string]string {
		sched, placements := newTestScheduler(list...), map[string]string{}
		for i := range 20 {
			req := newRequest(at(0))
			req.Object = fmt.Sprint((i + shift) % 20)
			req.Host.Domain = string(rune('a' + (i+2*shift)%3))
			g := try(sched, at(0), req)
			placements[req.Object] = g.Upstream.ID
		}
		return placements
	}
	before, after, same := place(0), place(7), 0
	for object, on := range before {
		if after[object] == on {
			same++
		}
	}
	assert.Assert(t, same >= 14, "only %d of 20 objects returned", same)
}

// Guards against urgent jobs waiting behind a burst of less urgent ones.
func TestUrgentJobsAreServedFirstAndLateOnesLast(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	now := at(0)
	running := []*Grant{try(sched, now, newRequest(now)), try(sched, now, newRequest(now))}
	ends := make(chan string, 4)
	wait := func(name string, rank int, objective time.Duration) {
		req := newRequest(now)
		req.Rank, req.Objective = rank, now.Add(objective)
		before := sched.Waiting()
		go func() {
			if g, _ := sched.Acquire(context.Background(), now, req); g != nil {
				ends <- name
			}
		}()
		for sched.Waiting() == before {
			time.Sleep(time.Millisecond)
		}
	}
	wait("late", 0, -time.Second)
	wait("bulk", 2, 30*time.Second)
	wait("normal", 1, 30*time.Second)
	wait("urgent", 0, 30*time.Second)
	order := []string{}
	for _, g := range running {
		sched.Release(now, g, good(time.Millisecond))
		order = append(order, <-ends)
	}
	assert.DeepEqual(t, order, []string{"urgent", "normal"})
}

// An upstream that drains or is lent to another region must not be granted to the jobs queued for it.
func TestWaitersDoNotGetAnUpstreamThatIsGoneOrLent(t *testing.T) {
	u, other := upstream("u", "a", "east"), upstream("other", "a", "east")
	lent := view(u, other)
	lent.Loans = map[string]string{"u": "west"}
	for name, after := range map[string]*roster.View{"leaves": view(other), "is lent": lent} {
		sched := newTestScheduler(u, other)
		running := []*Grant{}
		for range 4 {
			if g := try(sched, at(0), newRequest(at(0))); g.Upstream == u {
				running = append(running, g)
			}
		}
		got := make(chan *Grant, 2*maxWakeRetries)
		ctx, cancel := context.WithCancel(context.Background())
		for range cap(got) {
			go func() {
				req := newRequest(at(0)) // With time for the whole queue, so that no job is refused at once.
				req.Objective, req.Deadline = at(30*time.Second), at(time.Minute)
				g, _ := sched.Acquire(ctx, at(0), req)
				got <- g
			}()
		}
		for sched.Waiting() < cap(got) {
			time.Sleep(time.Millisecond)
		}
		sched.Update(at(0), after)
		for _, g := range running {
			sched.Release(at(0), g, good(time.Millisecond))
		}
		cancel()
		for range cap(got) {
			assert.Assert(t, <-got == nil, "a waiter got the upstream after it %s", name)
		}
	}
}

func TestAJobIsRefusedAtOnceWhenNothingCanServeIt(t *testing.T) {
	sched := newTestScheduler()
	begin := time.Now()
	req := newRequest(at(0))
	req.Objective = at(0)
	g, _ := sched.Acquire(context.Background(), at(0), req)
	assert.Assert(t, g == nil)
	assert.Assert(t, time.Since(begin) < time.Second)
}

// A job must not start if less than minTimeShare of its expected duration is left before its deadline.
func TestAJobThatCannotMeetItsDeadlineIsNotStarted(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	now := at(0)
	for range 20 {
		g := try(sched, now, newRequest(now))
		sched.Release(now, g, good(time.Second))
	}
	req := newRequest(now)
	req.Deadline = now.Add(400 * time.Millisecond)
	assert.Assert(t, try(sched, now, req) == nil)
	req.Deadline = now.Add(900 * time.Millisecond)
	assert.Assert(t, try(sched, now, req) != nil)
}

func TestGrantsOfADepartedHostAreReleased(t *testing.T) {
	u := upstream("u", "a", "east")
	v := view(u)
	other := roster.Host{Name: "h2", Domain: "b", Region: "east"}
	v.Hosts = append(v.Hosts, other)
	sched := NewScheduler()
	sched.Update(at(0), v)
	req := newRequest(at(0))
	req.Host = other
	for range 2 {
		assert.Assert(t, try(sched, at(0), req) != nil)
	}
	assert.Assert(t, try(sched, at(0), newRequest(at(0))) == nil)
	sched.Update(at(time.Second), view(u))
	assert.Assert(t, try(sched, at(time.Second), newRequest(at(time.Second))) != nil)
}

func TestAnUnreleasedGrantExpires(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	first := try(sched, at(0), newRequest(at(0)))
	assert.Assert(t, first != nil && try(sched, at(0), newRequest(at(0))) != nil)
	later := at(2*time.Second + grantGracePeriod + time.Millisecond)
	sched.Tick(later)
	assert.Assert(t, try(sched, later, newRequest(later)) != nil)
	sched.Release(later, first, good(time.Second)) // Releasing an expired grant frees no slot a second time.
	assert.Assert(t, try(sched, later, newRequest(later)) != nil)
	assert.Assert(t, try(sched, later, newRequest(later)) == nil)
}

func TestCacheSizeEstimateConverges(t *testing.T) {
	w := &workEstimate{cacheSize: initialCacheSize, hit: 100 * time.Millisecond, miss: 300 * time.Millisecond}
	for range 200 {
		w.adjustCacheSize(12, 300*time.Millisecond, 300*time.Millisecond) // A miss after twelve other objects.
		w.adjustCacheSize(6, 100*time.Millisecond, 100*time.Millisecond)  // A hit after six.
	}
	assert.Assert(t, w.cacheSize > 6 && w.cacheSize <= 12.1, "%.1f", w.cacheSize)
}

// Counts of running and queued jobs must stay within their limits under any order of grants, releases, losses and
// views.
func TestJobCountsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ups := []*roster.Upstream{upstream("u1", "a", "east"), upstream("u2", "b", "east"), upstream("u3", "c", "west")}
		sched := newTestScheduler(ups...)
		now := at(0)
		grants := []*Grant{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				req := newRequest(now)
				req.Object = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "object")
				req.Isolated = rapid.IntRange(0, 4).Draw(t, "alone") == 0
				if g := try(sched, now, req); g != nil {
					grants = append(grants, g)
				}
			case 2:
				if len(grants) > 0 {
					i := rapid.IntRange(0, len(grants)-1).Draw(t, "which")
					r := Result{Duration: 50 * time.Millisecond, Succeeded: rapid.Bool().Draw(t, "good"), Unreachable: rapid.IntRange(0, 5).Draw(t, "broken") == 0}
					sched.Release(now, grants[i], r)
					grants = append(grants[:i], grants[i+1:]...)
				}
			case 3:
				sched.Tick(now)
			case 4:
				keep := rapid.IntRange(1, 3).Draw(t, "keep")
				sched.Update(now, view(ups[:keep]...))
			}
			for id, l := range sched.loads {
				if l.running < 0 || l.running > l.upstream.Slots+uncoordinatedJobLimit || l.queued != 0 {
					t.Fatalf("%s: %d jobs running on %d slots, %d queued", id, l.running, l.upstream.Slots, l.queued)
				}
			}
		}
	})
}

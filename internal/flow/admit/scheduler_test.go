package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
)

func testPlan(capacity, slots int64, until time.Time) *plan.Plan {
	p := &plan.Plan{
		Doc:      &spec.Document{Ranks: []spec.Rank{{Name: "a", Queue: 5}, {Name: "b", Queue: 5, Minimum: 0.3}}},
		Capacity: share.Quota{Floor: capacity}, Services: map[string]*plan.Service{},
	}
	for _, name := range []string{"s", "t"} {
		svc := &plan.Service{Service: spec.Service{Name: name}}
		for i := range 2 {
			svc.Upstreams = append(svc.Upstreams, plan.Upstream{
				ID: fmt.Sprint(name, i), Slots: share.Quota{Floor: 1, Lent: slots, Until: until},
			})
		}
		p.Services[name] = svc
	}
	return p
}

// TestSchedulerKeepsLimitsAndLosesNoJob runs random sequences of new jobs, results, cancellations, plans and
// time steps. It checks that no limit is exceeded and that each job is waiting, running or ended.
func TestSchedulerKeepsLimitsAndLosesNoJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := NewScheduler()
		p := testPlan(3, 1, now.Add(time.Minute))
		s.Update(now, p)
		type running struct {
			w  *Waiter
			up string
		}
		var waiting []*Waiter
		var jobs []running
		collect := func() {
			left := waiting[:0]
			for _, w := range waiting {
				select {
				case d := <-w.Ready:
					if d.Admitted {
						assert.Assert(t, now.Before(w.Deadline), "admitted after its deadline")
						jobs = append(jobs, running{w, d.Upstream})
						n := 0
						for _, j := range jobs {
							if j.up == d.Upstream {
								n++
							}
						}
						assert.Assert(t, int64(n) <= p.Services[w.Service].Upstreams[0].Slots.At(now), "%d on %s", n, d.Upstream)
						assert.Assert(t, int64(len(jobs)) <= p.Capacity.At(now), "%d in all", len(jobs))
					}
				default:
					left = append(left, w)
				}
			}
			waiting = left
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				w := &Waiter{
					Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"), Level: rapid.IntRange(0, 1).Draw(t, "level"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond), Ready: make(chan Decision, 1),
				}
				if s.Enqueue(now, w) == NotRefused {
					waiting = append(waiting, w)
				}
				collect()
			},
			"end": func(t *rapid.T) {
				if len(jobs) == 0 {
					return
				}
				i := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
				j := jobs[i]
				jobs = append(jobs[:i], jobs[i+1:]...)
				r := rapid.SampledFrom([]Result{Done, Done, Done, Overload, Failed, Aborted, Draining}).Draw(t, "result")
				s.Release(now, j.w.Service, j.up, j.w.Level, 5*time.Millisecond, r)
				collect()
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "waiter")
					assert.Assert(t, s.Cancel(waiting[i]))
					waiting = append(waiting[:i], waiting[i+1:]...)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				for _, u := range s.DueProbes(now) {
					s.MarkUp(now, u.ID)
				}
				s.Tick(now)
				collect()
			},
			"plan": func(t *rapid.T) {
				p = testPlan(rapid.Int64Range(0, 4).Draw(t, "capacity"), rapid.Int64Range(0, 2).Draw(t, "slots"), now.Add(time.Second))
				s.Update(now, p)
				collect()
			},
			"": func(t *rapid.T) {
				assert.Equal(t, s.inFlight, int64(len(jobs)))
				queued := 0
				for _, svc := range s.services {
					for l := range svc.queues {
						queued += svc.queues[l].len()
						assert.Assert(t, svc.queues[l].len() <= 5)
					}
				}
				assert.Equal(t, queued, len(waiting))
			},
		})
	})
}

func TestDownUpstreamGetsNoJobUntilProbed(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewScheduler()
	p := testPlan(10, 0, now)
	s.Update(now, p)
	offer := func() string {
		w := &Waiter{Service: "s", Deadline: now.Add(time.Minute), Ready: make(chan Decision, 1)}
		assert.Equal(t, s.Enqueue(now, w), NotRefused)
		return (<-w.Ready).Upstream
	}
	first := offer()
	s.Release(now, "s", first, 0, time.Millisecond, Failed)
	now = now.Add(time.Hour)
	second := offer()
	assert.Assert(t, second != first)
	s.Release(now, "s", second, 0, time.Millisecond, Done)
	due := s.DueProbes(now)
	assert.Equal(t, len(due), 1)
	s.MarkUp(now, due[0].ID)
	got := map[string]bool{offer(): true, offer(): true}
	assert.Equal(t, len(got), 2)
}

func TestJobIsRefusedIfAllUpstreamsPausePastItsDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewScheduler()
	s.Update(now, testPlan(10, 0, now))
	for range 2 {
		w := &Waiter{Service: "s", Deadline: now.Add(time.Second), Ready: make(chan Decision, 1)}
		assert.Equal(t, s.Enqueue(now, w), NotRefused)
		s.Release(now, "s", (<-w.Ready).Upstream, 0, time.Millisecond, Draining)
	}
	w := &Waiter{Service: "s", Deadline: now.Add(time.Second), Ready: make(chan Decision, 1)}
	assert.Equal(t, s.Enqueue(now, w), NoUpstream)
}

// A mean service time that stays high after a slow period would refuse jobs with short deadlines, none of
// which could then lower it.
func TestMeanServiceTimeDecaysWithoutFinishedJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewScheduler()
	s.Update(now, testPlan(10, 0, now))
	offer := func() (*Waiter, Refusal) {
		w := &Waiter{Service: "s", Deadline: now.Add(300 * time.Millisecond), Ready: make(chan Decision, 1)}
		return w, s.Enqueue(now, w)
	}
	for range 20 {
		w := &Waiter{Service: "s", Deadline: now.Add(time.Minute), Ready: make(chan Decision, 1)}
		assert.Equal(t, s.Enqueue(now, w), NotRefused)
		d := <-w.Ready
		now = now.Add(2 * time.Second)
		s.Release(now, "s", d.Upstream, 0, 2*time.Second, Done)
	}
	_, r := offer()
	assert.Equal(t, r, TooLate, "the job can't finish before its deadline")
	for range 300 { // 30 s without a finished job.
		now = now.Add(100 * time.Millisecond)
		s.Tick(now)
	}
	w, r := offer()
	assert.Equal(t, r, NotRefused)
	assert.Assert(t, (<-w.Ready).Upstream != "")
	assert.Assert(t, s.Load(now)["s"].Latency < 20*time.Millisecond, "%s", s.Load(now)["s"].Latency)
}

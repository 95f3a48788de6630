package place

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// BenchmarkHerd measures a placing host after a restart of all hosts: all slots are taken, 400 jobs wait, and a new
// job arrives for each slot that becomes free.
func BenchmarkHerd(b *testing.B) {
	list := []*roster.Upstream{}
	for i := range 170 {
		u := upstream(fmt.Sprint("u", i), string(rune('a'+i%3)), "east")
		u.Slots = 5
		list = append(list, u)
	}
	sched := newTestScheduler(list...)
	now := at(0)
	job := func(i int) Request {
		req := newRequest(now)
		req.Object, req.Rank, req.Objective, req.Deadline = fmt.Sprint(i%230), i%3, now.Add(time.Hour), now.Add(2*time.Hour)
		return req
	}
	grants := make(chan *Grant, 2000)
	for i := range 170 * 5 {
		if g := try(sched, now, job(i)); g != nil {
			grants <- g
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 400 {
		go func() {
			if g, _ := sched.Acquire(ctx, now, job(i)); g != nil {
				grants <- g
			}
		}()
	}
	for sched.Waiting() < 300 {
		time.Sleep(time.Millisecond)
	}
	b.ResetTimer()
	for i := range b.N {
		sched.Release(now, <-grants, good(200*time.Millisecond))
		go func() {
			if g, _ := sched.Acquire(ctx, now, job(i)); g != nil {
				grants <- g
			}
		}()
		if i%25 == 0 {
			sched.Tick(now)
		}
	}
}

// BenchmarkPlace measures the decision on one job in the largest pool of deployment L, with upstreams that report their pace and without.
func BenchmarkPlace(b *testing.B) {
	for name, report := range map[string]func(*replay, time.Duration, *simulated) float64{"pace": truePace, "none": noPace} {
		b.Run(name, func(b *testing.B) {
			c := deploymentL()
			c.report, c.length = report, 3*time.Second
			r := newReplay(c)
			r.run()
			now := at(c.length)
			b.ResetTimer()
			for i := range b.N {
				req := newRequest(now)
				req.Object = fmt.Sprint("o", i%c.objects)
				if g := try(r.sched, now, req); g != nil {
					r.sched.Release(now, g, Result{Duration: 100 * ms, Succeeded: true, Pace: report(r, c.length, r.ups[g.Upstream.ID])})
				}
			}
		})
	}
}

package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
)

// BenchmarkWorkspaces measures an arrival, a release and a refusal of jobs of 50 active workspaces in a full pool, where 80 or
// 8,000 workspaces are configured. The times must not differ.
func BenchmarkWorkspaces(b *testing.B) {
	for _, workspaces := range []int{0, 1, 80, 8000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			r := newLoadReplay(1, 54, 4)
			v := view(r.sched.view.Upstreams["s"]...)
			v.Policy.Workspaces = map[string]policy.Workspace{}
			for i := range workspaces {
				name := fmt.Sprint("w", i)
				v.Policy.Workspaces[name] = policy.Workspace{Name: name, Rate: 10}
			}
			r.sched.Update(at(0), v)
			now := at(0)
			depth := 0
			var running []*Grant
			var waiting []*waiter
			for i := range b.N + 1000 {
				if i == 1000 {
					b.ResetTimer()
				}
				now = now.Add(5 * time.Millisecond)
				req := newRequest(now)
				req.Objective, req.Deadline = now.Add(2500*time.Millisecond), now.Add(8*time.Second)
				if workspaces > 0 {
					req.Workspace = fmt.Sprint("w", i%min(50, workspaces))
				}
				w := &waiter{req: req, ready: make(chan *Grant, 1)}
				g, _, until := r.sched.reserveOrEnqueue(now, w)
				switch {
				case g != nil:
					running = append(running, g)
				case until.After(now):
					waiting = append(waiting, w)
				}
				if len(waiting) > 150 {
					if g, _ := r.sched.cancelWait(now, waiting[0]); g != nil {
						running = append(running, g)
					}
					waiting = waiting[1:]
				}
				if len(running) == 216 && i%8 > 0 { // More jobs arrive than end.
					r.sched.Release(now, running[0], good(1100*time.Millisecond))
					running = running[1:]
				}
				waiting = slices.DeleteFunc(waiting, func(w *waiter) bool {
					select {
					case g := <-w.ready:
						if g != nil {
							running = append(running, g)
						}
						return true
					default:
						return false
					}
				})
				depth += len(waiting)
			}
			b.ReportMetric(float64(depth)/float64(b.N+1000), "waiting")
		})
	}
}

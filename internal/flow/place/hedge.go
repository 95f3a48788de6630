package place

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/flow/hedge"
)

// runTimesOf returns the recent times of a service's runs.
func (s *Scheduler) runTimesOf(service string) *hedge.Times {
	t := s.runTimes[service]
	if t == nil {
		t = &hedge.Times{}
		s.runTimes[service] = t
	}
	return t
}

// hedgeAfter returns the time after which a second attempt of a job pays off, or 0.
func (s *Scheduler) hedgeAfter(now time.Time, g *Grant) time.Duration {
	d, ok := s.runTimesOf(g.Upstream.Service).Delay(now, g.expectedTime)
	if !ok {
		return 0
	}
	return d + g.rtt
}

// recordRun records the time of a job that succeeded, or that was canceled or ran into its deadline. Other failures say nothing
// about how long a run takes.
func (s *Scheduler) recordRun(now time.Time, g *Grant, r *Result) {
	if r.Succeeded || r.Inconclusive {
		s.runTimesOf(g.Upstream.Service).Record(now, r.Duration-g.rtt, g.expectedTime, r.Inconclusive)
	}
}

// reserveFree grants a second attempt a slot that is free now, or returns nil. It answers a long tail of run times without
// taking anything from first attempts: none of the service's jobs may wait, cold upstreams and those that this host doesn't
// coordinate are left out, and the attempt must be expected to end in time.
func (s *Scheduler) reserveFree(now time.Time, w *waiter) *Grant {
	req := &w.req
	if req.Isolated || slices.ContainsFunc(s.waiters, func(o *waiter) bool { return o.req.Service == req.Service }) {
		return nil
	}
	list := slices.DeleteFunc(s.candidates(now, req), func(c Candidate) bool {
		return c.Free <= 0 || c.load.cold(now) || now.Add(s.expectedDuration(c.load, req)).After(req.Deadline)
	})
	at := Choose(list)
	if at < 0 {
		return nil
	}
	return s.grant(now, list[at].load, w)
}

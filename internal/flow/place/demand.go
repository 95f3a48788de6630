package place

import (
	"maps"
	"math"
	"time"

	"github.com/boragelane/boragelane/internal/ctrl/loans"
)

// demandTimeConstant is the time constant of the demand average: long compared with a job, short compared with a
// change in traffic.
const demandTimeConstant = 1500 * time.Millisecond

// demand estimates the load that the region's callers offer to one service.
type demand struct {
	offered     time.Duration // Expected work of the jobs since the last report.
	slots       float64       // Exponential moving average of the slots that the jobs keep busy.
	initialized bool
	lastOffered time.Time // When a report last found new jobs.
}

// recordDemand adds a job's expected work to the demand. Until a job has finished, the first job's objective is the
// best estimate of the service's work.
func (t *Scheduler) recordDemand(now time.Time, req *Request) {
	d := t.demands[req.Service]
	if d == nil {
		d = &demand{}
		t.demands[req.Service] = d
	}
	w := t.estimate(req.Service)
	if w.initial == initialWork && req.Objective.After(now) {
		w.initial = req.Objective.Sub(now)
	}
	d.offered += w.mean()
}

// LoanRequest returns this host's request for loaned upstreams: the demand of the services that it places jobs for, the
// current loans and the region's ejected upstreams.
func (t *Scheduler) LoanRequest(now time.Time) loans.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := loans.Request{Region: t.view.Self.Region, Demand: loans.Demand{}, Loans: maps.Clone(t.view.Loans)}
	elapsed := now.Sub(t.lastDemandReport)
	t.lastDemandReport = now
	for service, d := range t.demands {
		if d.offered > 0 {
			d.lastOffered = now
		}
		if now.Sub(d.lastOffered) > demandTimeConstant {
			delete(t.demands, service)
			continue
		}
		sample := float64(d.offered) / float64(max(elapsed, time.Millisecond))
		retain := math.Exp(-float64(elapsed) / float64(demandTimeConstant))
		if !d.initialized {
			retain = 0
		}
		d.slots, d.offered, d.initialized = retain*d.slots+(1-retain)*sample, 0, true
		a.Demand[service] = math.Round(d.slots*100) / 100
	}
	for id, l := range t.loads {
		if l.ejected(now) && t.view.UsedBy(l.upstream) == a.Region {
			a.Unavailable = append(a.Unavailable, id)
		}
	}
	return a
}

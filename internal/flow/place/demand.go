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

// demand estimates the load that a pool's callers offer to one service.
type demand struct {
	offered     time.Duration // Expected work of the jobs since the last loan request.
	slots       float64       // Exponential moving average of the slots that the jobs keep busy.
	initialized bool
	lastOffered time.Time // Time of the last loan request before which new jobs had arrived.
}

// recordDemand adds a job's expected work to the demand. Until a job has finished, the first job's objective is the
// best estimate of the service's work.
func (s *Scheduler) recordDemand(now time.Time, req *Request) {
	d := s.demands[req.Service]
	if d == nil {
		d = &demand{}
		s.demands[req.Service] = d
	}
	w := s.estimate(req.Service)
	if w.initial == initialWork && req.Objective.After(now) {
		w.initial = req.Objective.Sub(now)
	}
	d.offered += w.mean()
}

// LoanRequest returns this host's request for loaned upstreams: the demand of the services that it places jobs for, the
// current loans and the ejected upstreams of its pools.
func (s *Scheduler) LoanRequest(now time.Time) loans.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := loans.Request{Region: s.view.Self.Region, Domain: s.view.Self.Domain, Demand: loans.Demand{}, Loans: maps.Clone(s.view.Loans)}
	elapsed := now.Sub(s.lastLoanRequest)
	s.lastLoanRequest = now
	for service, d := range s.demands {
		if d.offered > 0 {
			d.lastOffered = now
		}
		if now.Sub(d.lastOffered) > demandTimeConstant {
			delete(s.demands, service)
			continue
		}
		sample := float64(d.offered) / float64(max(elapsed, time.Millisecond))
		retain := math.Exp(-float64(elapsed) / float64(demandTimeConstant))
		if !d.initialized {
			retain = 0
		}
		d.slots, d.offered, d.initialized = retain*d.slots+(1-retain)*sample, 0, true
		req.Demand[service] = math.Round(d.slots*100) / 100
	}
	for id, l := range s.loads {
		if l.ejected(now) && l.assigned {
			req.Unavailable = append(req.Unavailable, id)
		}
	}
	return req
}

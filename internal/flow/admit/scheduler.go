package admit

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/credit"
	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Scheduler assigns the slots of upstreams to waiting jobs. It reads no clock and does no I/O.
type Scheduler struct {
	capacity     share.Quota
	inFlight     int64
	credits      credit.RankSelector
	serviceTimes serviceTimes
	queueLimits  []int
	services     map[string]*serviceState
	serviceNames []string
}

// NewScheduler returns a scheduler without services; Update adds them.
func NewScheduler() *Scheduler { return &Scheduler{services: map[string]*serviceState{}} }

// Update applies a plan's ranks, capacity and upstreams; waiting and running jobs are kept.
func (s *Scheduler) Update(now time.Time, p *plan.Plan) {
	s.capacity = p.Capacity
	minimum := make([]float64, len(p.Doc.Ranks))
	s.queueLimits = make([]int, len(p.Doc.Ranks))
	for i, r := range p.Doc.Ranks {
		minimum[i], s.queueLimits[i] = r.Minimum, r.Queue
	}
	s.credits.SetMinimums(minimum)
	s.serviceTimes.resize(len(minimum))
	for name, svc := range p.Services {
		s.ensureService(name).update(svc.Upstreams, minimum)
	}
	for name, svc := range s.services {
		if p.Services[name] == nil {
			svc.update(nil, minimum)
		}
	}
	s.dispatch(now)
}

func (s *Scheduler) ensureService(name string) *serviceState {
	svc := s.services[name]
	if svc == nil {
		svc = &serviceState{name: name, upstreams: map[string]*upstreamState{}}
		s.services[name] = svc
		s.serviceNames = append(s.serviceNames, name)
		slices.Sort(s.serviceNames)
	}
	return svc
}

// Enqueue queues a job, or refuses it at once if its queue is full or it can't be served in time.
func (s *Scheduler) Enqueue(now time.Time, w *Waiter) Refusal {
	svc := s.services[w.Service]
	if svc == nil || !svc.availableBefore(now, w.Deadline) {
		return NoUpstream
	}
	q := &svc.queues[w.Level]
	if q.len() >= s.queueLimits[w.Level] {
		return QueueFull
	}
	if wait := svc.estimateWait(now, w.Level); wait > time.Duration(pipe.MaxWaitFraction*float64(w.Deadline.Sub(now)-svc.serviceTimes[w.Level].mean)) {
		return TooLate
	}
	w.Since = now
	q.push(w)
	s.dispatch(now)
	return NotRefused
}

// Cancel removes a waiter; it reports false if the waiter was already admitted or refused.
func (s *Scheduler) Cancel(w *Waiter) bool {
	if w.done {
		return false
	}
	w.done = true
	s.services[w.Service].queues[w.Level].canceled++
	return true
}

// Release frees the slot of an admitted job and admits the next ones.
func (s *Scheduler) Release(now time.Time, service, upstream string, level int, took time.Duration, r Result) {
	svc := s.services[service]
	s.inFlight--
	up := svc.upstreams[upstream]
	if up != nil {
		up.release(now, took, r)
		if up.removed && up.inFlight == 0 {
			delete(svc.upstreams, upstream)
		}
	}
	if r == Done {
		svc.serviceTimes.observe(level, took, now)
		s.serviceTimes.observe(level, took, now)
	}
	s.dispatch(now)
}

// Tick does the time-driven work: it decays the mean service times and admits jobs to upstreams whose pause
// has ended.
func (s *Scheduler) Tick(now time.Time) {
	s.serviceTimes.decay(now)
	for _, svc := range s.services {
		svc.serviceTimes.decay(now)
	}
	s.dispatch(now)
}

// dispatch admits jobs while there is a waiter, a free slot and host capacity.
func (s *Scheduler) dispatch(now time.Time) {
	for s.inFlight < s.capacity.At(now) {
		svc, level := s.selectNext(now)
		if svc == nil {
			return
		}
		s.admit(now, svc, level)
	}
}

// selectNext returns the service and the rank to serve. Each service proposes a rank by its own credits. Among
// proposals of the same rank the oldest waiter wins; among ranks the credits of the whole host decide.
func (s *Scheduler) selectNext(now time.Time) (*serviceState, int) {
	var proposed [16]*serviceState
	ready := func(l int) bool { return l < len(proposed) && proposed[l] != nil }
	for _, name := range s.serviceNames {
		svc := s.services[name]
		level := svc.proposeRank(now)
		if level < 0 || level >= len(proposed) {
			continue
		}
		if o := proposed[level]; o == nil || svc.queues[level].peek().Since.Before(o.queues[level].peek().Since) {
			proposed[level] = svc
		}
	}
	level := s.credits.Pick(ready, s.serviceTimes.seconds)
	if level < 0 {
		return nil, -1
	}
	return proposed[level], level
}

func (s *Scheduler) admit(now time.Time, svc *serviceState, level int) {
	q := &svc.queues[level]
	w := q.peek()
	q.pop()
	up := svc.bestUpstream(now)
	up.inFlight++
	s.inFlight++
	w.done = true
	q.recordAdmission(now, q.len() > 0)
	svc.credits.Charge(level, func(l int) bool { return svc.queues[l].len() > 0 }, svc.serviceTimes.seconds)
	s.credits.Charge(level, s.hasWaiting, s.serviceTimes.seconds)
	w.Ready <- Decision{Admitted: true, Upstream: up.ID}
}

func (s *Scheduler) hasWaiting(level int) bool {
	for _, name := range s.serviceNames {
		if s.services[name].queues[level].len() > 0 {
			return true
		}
	}
	return false
}

// EstimateWait returns the expected wait of a new job, 0 if it can be admitted at once.
func (s *Scheduler) EstimateWait(now time.Time, service string, level int) time.Duration {
	svc := s.services[service]
	if svc == nil || level >= len(svc.queues) {
		return 0
	}
	if s.inFlight < s.capacity.At(now) && svc.bestUpstream(now) != nil {
		return 0
	}
	return max(time.Millisecond, svc.estimateWait(now, level))
}

// DueProbes returns the down upstreams whose next probe is due, and schedules the probe after it.
func (s *Scheduler) DueProbes(now time.Time) []plan.Upstream {
	var out []plan.Upstream
	for _, name := range s.serviceNames {
		for _, up := range s.services[name].sorted {
			if up.down && !now.Before(up.pausedUntil) {
				up.pausedUntil = now.Add(maxProbeInterval)
				out = append(out, up.Upstream)
			}
		}
	}
	return out
}

// MarkUp makes an upstream that a probe has reached available again.
func (s *Scheduler) MarkUp(now time.Time, id string) {
	for _, svc := range s.services {
		if up := svc.upstreams[id]; up != nil && up.down {
			up.down, up.pausedUntil = false, now
		}
	}
	s.dispatch(now)
}

// Load returns the load of each service.
func (s *Scheduler) Load(now time.Time) map[string]plan.Load {
	out := make(map[string]plan.Load, len(s.services))
	for name, svc := range s.services {
		l := plan.Load{}
		for _, up := range svc.sorted {
			if !now.Before(up.pausedUntil) && !up.down {
				l.Slots += up.Slots.At(now)
			}
			l.Busy += up.inFlight
		}
		for i := range svc.queues {
			l.Queued += int64(svc.queues[i].len())
			l.Latency = max(l.Latency, svc.serviceTimes[i].mean)
		}
		out[name] = l
	}
	return out
}

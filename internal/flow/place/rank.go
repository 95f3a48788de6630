package place

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// path holds the network costs between a job's host and the upstreams of one failure domain.
type path struct {
	rtt      time.Duration
	penalty  time.Duration // Cost of traffic that leaves the failure domain.
	locality Locality
}

// paths returns the paths from a host to each failure domain, in the order of Scheduler.domains.
func (s *Scheduler) paths(from *roster.Host) []path {
	out := make([]path, len(s.domains))
	for i, u := range s.domains {
		loc := localityOf(from, u)
		out[i] = path{rtt: s.rtts.expected(from, u), penalty: crossingPenalty[loc], locality: loc}
	}
	return out
}

// expectedDuration returns the expected round trip and service time of a job on an upstream, without queueing.
func (s *Scheduler) expectedDuration(l *load, req *Request) time.Duration {
	w := s.estimate(l.upstream.Service)
	return s.rtts.expected(&req.Host, l.upstream) + l.serviceTime(l.expectedWork(w, req.objectHash()))
}

// serviceTime scales expected work by the upstream's slowdown.
func (l *load) serviceTime(work time.Duration) time.Duration {
	return time.Duration(l.currentSlowdown() * float64(work))
}

// currentSlowdown returns the ratio of actual to expected work that a job is likely to see: by the pace that the upstream reports, or the
// learned one if it reports none or its responses contradict the reports.
func (l *load) currentSlowdown() float64 {
	if l.pace.trusted() {
		return l.factor
	}
	return l.slowdown
}

// lastingSlowdown returns the learned slowdown without the reported pace.
func (l *load) lastingSlowdown() float64 {
	if l.pace.trusted() {
		return l.pace.residual
	}
	return l.slowdown
}

// updateFactor computes the factor of an upstream that reports its pace.
func (l *load) updateFactor(now time.Time, m *paceModel) {
	if l.pace.last.pace > 0 {
		l.factor = l.pace.residual * l.pace.forecast(now, m, l.upstream.Slots)
	}
}

// cost returns the value by which upstreams are compared: round trip, service time, queueing and penalties.
func (l *load) cost(p *path, service, mean time.Duration) time.Duration {
	d := p.rtt + p.penalty
	if p.locality == OtherRegion && l.assigned {
		// Half the round trip and no penalty, so that borrowed upstreams get nearly the same load as the region's own: the
		// share of jobs that leave the region must change slowly.
		d = p.rtt / 2
	}
	return d + time.Duration((1+failurePenalty*l.failureRate)*float64(service)+l.queueFactor()*l.currentSlowdown()*float64(mean))
}

// failurePenalty is the additional cost, as a multiple of the service time, of an upstream that always fails.
const failurePenalty = 4

// candidates returns the upstreams that a job may be sent to, including those without a free slot. The list is valid
// until the next call.
func (s *Scheduler) candidates(now time.Time, req *Request) []Candidate {
	list := s.poolByService[req.Service]
	out := s.scratch[:0]
	key, owner := req.objectHash(), -1
	failover := s.failover(now, req, list)
	if failover {
		list = s.loadsByService[req.Service]
	}
	paths := s.paths(&req.Host)
	w := s.estimate(req.Service)
	meanWork := w.mean()
	remaining := req.Deadline.Sub(now)
	scarcity := 1 + scarcityPenalty*s.scarcity(now, list, req, failover)
	for _, l := range list {
		if !s.eligible(now, l, req) {
			continue
		}
		c := Candidate{Upstream: l.upstream, Free: l.limit - l.running, load: l}
		c.Warming = l.cold(now) && now.Sub(l.lastWarmup) > warmupInterval && req.Rank > 0
		distance, sent := l.recent.reuseDistance(key)
		cached := sent && float64(distance) < w.cacheSize
		service := l.serviceTime(w.expected(cached))
		p := &paths[l.domainIndex]
		if !w.hasTime(remaining, p.rtt+service) {
			continue // The deadline would probably interrupt the job.
		}
		c.Cost = l.cost(p, time.Duration(scarcity*float64(service)), meanWork) + s.holdTime(now, l, req)
		if sent && !cached {
			c.Cost -= l.serviceTime(w.returnDiscount(distance))
		}
		if key != 0 {
			c.Score = rendez.UnweightedScore(key, l.hash)
			if owner < 0 || c.Score > out[owner].Score {
				owner = len(out)
			}
		}
		out = append(out, c)
	}
	if owner >= 0 {
		l := out[owner].load
		out[owner].Cost -= l.serviceTime(w.ownerDiscount(l.recent, key))
	}
	s.scratch = out
	mayStay, mayLeave := s.limiter(req.Service).allowed(now, s.maxShift)
	return restrict(out, paths, mayStay, mayLeave)
}

const (
	// scarceUtilization is the share of taken slots above which slots are scarce.
	scarceUtilization = 0.75
	// scarcityPenalty is the additional cost of a slot's time while all slots are taken, as a multiple of that time.
	scarcityPenalty = 4
)

// scarcity returns how scarce the free slots of the listed upstreams are, from 0 to 1, and sets the limit and factor of each. It answers
// overload after a loss of caches: while slots are scarce, a job waits longer for an upstream that has its object cached,
// instead of taking a slot for several times as long elsewhere, where it also displaces another object.
func (s *Scheduler) scarcity(now time.Time, list []*load, req *Request, failover bool) float64 {
	slots, taken := 0, 0
	m := s.paceModel(req.Service)
	for _, l := range list {
		l.limit = l.jobLimit(req, failover)
		l.updateFactor(now, m)
		if l.limit == 0 || l.ejected(now) || l.leaving || l.cold(now) {
			continue
		}
		slots += l.limit
		taken += min(l.limit, l.running+l.queued)
	}
	if slots == 0 {
		return 0
	}
	return max(0, float64(taken)/float64(slots)-scarceUtilization) / (1 - scarceUtilization)
}

// eligible reports whether a job may be sent to an upstream once it has a free slot.
func (s *Scheduler) eligible(now time.Time, l *load, req *Request) bool {
	if l.limit == 0 || l.ejected(now) || !l.accepts(now, req.Host.Name) || !req.allows(l.upstream.Region) || slices.Contains(req.Tried, l.upstream.ID) {
		return false
	}
	return !l.cold(now) || !req.Isolated && s.canWarm(now, l)
}

// minTimeShare is the share of a job's expected duration that must remain before its deadline for the job to start. It
// is below 1 because expected durations are averages. A job that has waited longer would only take slots from others.
const minTimeShare = 0.6

// hasTime reports whether a job with the given remaining time should start if it is expected to take the given duration. While nothing is
// known of the service's work, any job may start, since only a job that has run makes it known.
func (w *workEstimate) hasTime(remaining, expected time.Duration) bool {
	return w.samples.all == 0 && remaining > 0 || float64(remaining) >= minTimeShare*float64(expected)
}

// uncoordinatedJobLimit is the number of jobs that a host may run on an upstream whose jobs it does not coordinate.
const uncoordinatedJobLimit = 1

// jobLimit returns how many jobs may run on an upstream: all of its slots if this host's pool uses it.
func (l *load) jobLimit(req *Request, failover bool) int {
	switch {
	case l.assigned && !req.Isolated:
		return l.upstream.Slots
	case l.assigned || failover:
		return uncoordinatedJobLimit
	}
	return 0
}

// failover reports whether none of the pool's upstreams can be used, so that its jobs may run on those of other pools.
func (s *Scheduler) failover(now time.Time, req *Request, pool []*load) bool {
	for _, l := range pool {
		if !l.ejected(now) && !l.cold(now) && req.allows(l.upstream.Region) {
			return false
		}
	}
	return true
}

// canWarm reports whether a cold upstream's token bucket has a token. Only the pool that uses the upstream may warm
// it, because the rate is too small to be split. A host that has no policy yet doesn't know the rate.
func (s *Scheduler) canWarm(now time.Time, l *load) bool {
	if !l.assigned || s.view.Policy == nil {
		return false
	}
	l.refillTokens(now, s.view.Policy.Services[l.upstream.Service].ColdRate)
	return l.tokens >= 1
}

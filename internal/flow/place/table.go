package place

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/fairq"
	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/hedge"
)

// Scheduler places the jobs of a region's hosts on upstreams and tracks which jobs run and wait there.
type Scheduler struct {
	mu              sync.Mutex
	view            *roster.View
	loads           map[string]*load
	loadsByService  map[string][]*load // The upstreams of the current view, by service.
	poolByService   map[string][]*load // Those of them that this host's pool uses.
	domains         []*roster.Upstream // One upstream of each known failure domain.
	estimates       map[string]*workEstimate
	paces           map[string]*paceModel // By service.
	rtts            rttEstimates
	demands         map[string]*demand
	limiters        map[string]*shiftLimiter // By service.
	maxShift        float64                  // The fraction of a region's callers that may change region within shiftWindow; 0 for no limit.
	lastLoanRequest time.Time                // Time of the last call of LoanRequest.
	waiters         []*waiter
	backlog         backlog
	classes         map[fairClass]*fairq.Queue // The classes with waiting jobs.
	weights         workspaceWeights
	returns         map[returnKey]time.Time  // When the next refused caller should return.
	Waits           WaitRecorder             // Records how long jobs waited; may be nil. Set it before the first job.
	placed          map[string]*placedCounts // By service, since the last summary.
	lastPlaced      map[string]time.Time     // By service.
	runTimes        map[string]*hedge.Times  // By service.
	enqueued        chan struct{}            // Signals that a job waits while none did before.
	scratch         []Candidate
	lastSeq         uint64
	grants          map[uint64]*Grant
	lastSweep       time.Time
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler() *Scheduler {
	return &Scheduler{
		view: &roster.View{}, loads: map[string]*load{}, estimates: map[string]*workEstimate{}, rtts: rttEstimates{}, paces: map[string]*paceModel{},
		demands: map[string]*demand{}, limiters: map[string]*shiftLimiter{}, grants: map[uint64]*Grant{}, enqueued: make(chan struct{}, 1),
		backlog: backlog{}, classes: map[fairClass]*fairq.Queue{}, returns: map[returnKey]time.Time{}, placed: map[string]*placedCounts{},
		lastPlaced: map[string]time.Time{}, runTimes: map[string]*hedge.Times{},
	}
}

// SetMaxShift sets the maximum fraction of a region's callers that may change region within two seconds; 0 means no limit.
func (s *Scheduler) SetMaxShift(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxShift = fraction
}

// Update applies a new view and retries the waiters.
func (s *Scheduler) Update(now time.Time, v *roster.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Version != 0 && v.Version == s.view.Version && maps.Equal(v.Loans, s.view.Loans) {
		s.view = v
		return
	}
	old := s.view
	s.view = v
	if v.Policy != old.Policy {
		s.weights = newWorkspaceWeights(v.Policy)
	}
	loansChanged := !maps.Equal(v.Loans, old.Loans)
	byService, pools := make(map[string][]*load, len(v.Upstreams)), make(map[string][]*load, len(v.Upstreams))
	seen := make(map[string]bool, len(s.loads))
	for service, list := range v.Upstreams {
		if !loansChanged && sameList(list, old.Upstreams[service]) && v.DomainPools[service] == old.DomainPools[service] {
			byService[service], pools[service] = s.loadsByService[service], s.poolByService[service]
			for _, u := range list {
				seen[u.ID] = true
			}
			continue
		}
		loads, pool := make([]*load, 0, len(list)), []*load(nil)
		ownPool := v.OwnPool(service)
		for _, u := range list {
			seen[u.ID] = true
			l := s.updateLoad(now, u)
			l.assigned = v.UsedBy(u) == ownPool
			loads = append(loads, l)
			if l.assigned {
				pool = append(pool, l)
			}
		}
		byService[service], pools[service] = loads, pool
	}
	s.loadsByService, s.poolByService = byService, pools
	for id, l := range s.loads {
		l.inView = seen[id]
		if !l.inView && l.running == 0 {
			delete(s.loads, id)
		}
	}
	s.sweep(now)
	s.wake(now)
}

// sameList reports whether two views share the upstreams of a service.
func sameList(a, b []*roster.Upstream) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// updateLoad applies a report of an upstream; a new incarnation starts with empty statistics.
func (s *Scheduler) updateLoad(now time.Time, u *roster.Upstream) *load {
	l := s.loads[u.ID]
	if l == nil || l.upstream.Born != u.Born {
		running := 0
		if l != nil {
			running = l.running
		}
		l = &load{running: running, slowdown: 1, pace: newPaceState(), hash: rendez.Hash(u.ID), domainIndex: s.domainIndex(u)}
		s.loads[u.ID] = l
	}
	l.upstream = u
	if u.Cold > 0 {
		l.markCold(now, u.ColdUntil())
	}
	return l
}

// domainIndex returns the index of an upstream's failure domain in s.domains, adding it if necessary.
func (s *Scheduler) domainIndex(u *roster.Upstream) int {
	at := slices.IndexFunc(s.domains, func(o *roster.Upstream) bool { return o.Domain == u.Domain })
	if at < 0 {
		at = len(s.domains)
		s.domains = append(s.domains, u)
	}
	return at
}

// sweep ends the grants of hosts that have left and those past their expiry, and lets the statistics of idle upstreams
// decay.
func (s *Scheduler) sweep(now time.Time) {
	s.lastSweep = now
	s.sweepReturns(now)
	for _, l := range s.loads {
		l.decay()
	}
	for _, pool := range s.poolByService {
		normalizeSlowdowns(pool)
	}
	for service, lim := range s.limiters {
		lim.setUnusable(now, s.unusableShare(now, service))
	}
	live := map[string]bool{s.view.Self.Name: true}
	for i := range s.view.Hosts {
		live[s.view.Hosts[i].Name] = true
	}
	for _, g := range s.grants {
		if !live[g.host] || now.After(g.expires) {
			if l := s.endGrant(g); l != nil && g.warms && l.upstream.Born == g.Upstream.Born {
				l.endWarming(g.object, false)
			}
		}
	}
}

// unusableShare returns the share of the slots of this host's pool whose upstreams are ejected or cold.
func (s *Scheduler) unusableShare(now time.Time, service string) float64 {
	total, unusable := 0, 0
	for _, l := range s.poolByService[service] {
		total += l.upstream.Slots
		if l.ejected(now) || l.cold(now) {
			unusable += l.upstream.Slots
		}
	}
	return float64(unusable) / float64(max(1, total))
}

// mayEject reports whether one more upstream of the pool may be ejected for failures.
func (s *Scheduler) mayEject(now time.Time, service string) bool {
	pool, ejected := s.poolByService[service], 0
	for _, l := range pool {
		if l.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, maxEjectedShare*float64(len(pool)))
}

// limiter returns the shift limiter of a service, creating it if necessary.
func (s *Scheduler) limiter(service string) *shiftLimiter {
	lim := s.limiters[service]
	if lim == nil {
		lim = &shiftLimiter{}
		s.limiters[service] = lim
	}
	return lim
}

func (s *Scheduler) estimate(service string) *workEstimate {
	w := s.estimates[service]
	if w == nil {
		w = &workEstimate{cacheSize: initialCacheSize, initial: initialWork, overtakes: assumedOvertakes}
		s.estimates[service] = w
	}
	return w
}

func (s *Scheduler) paceModel(service string) *paceModel {
	m := s.paces[service]
	if m == nil {
		m = newPaceModel()
		s.paces[service] = m
	}
	return m
}

// Waiting returns the number of jobs that wait for a slot.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}

// Enqueued returns a channel that is signaled when a job starts to wait while no other job does.
func (s *Scheduler) Enqueued() <-chan struct{} { return s.enqueued }

// sweepInterval is the time between sweeps for expired grants.
const sweepInterval = 500 * time.Millisecond

// Tick releases expired grants at intervals and retries the waiters, since ejections end and cold upstreams earn tokens
// over time.
func (s *Scheduler) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastSweep) > sweepInterval {
		s.sweep(now)
	}
	s.wake(now)
}

package place

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
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
	rtts            rttEstimates
	demands         map[string]*demand
	limiters        map[string]*shiftLimiter // By service.
	maxShift        float64                  // The fraction of a region's callers that may change region within shiftWindow; 0 for no limit.
	lastLoanRequest time.Time                // Time of the last call of LoanRequest.
	waiters         []*waiter
	backlog         backlog
	placed          map[string]*placedCounts // By service, since the last summary.
	lastPlaced      map[string]time.Time     // By service.
	enqueued        chan struct{}            // Signals that a job waits while none did before.
	scratch         []Candidate
	lastSeq         uint64
	grants          map[uint64]*Grant
	lastSweep       time.Time
}

// Grant is a slot of an upstream that is assigned to a job.
type Grant struct {
	ID       uint64
	Upstream *roster.Upstream
	Digest   uint64 // The job's.

	host          string
	fromDomain    string // The host's failure domain.
	expires       time.Time
	reuseDistance int           // The number of other objects sent to the upstream since the job's object.
	reused        bool          // The object was sent to the upstream recently.
	object        uint64        // Hash of the job's object; 0 if it has none.
	warms         bool          // The job is the first with its object on the upstream.
	uncertain     bool          // The job started while another one warmed the object, so it may be a hit or a miss.
	expectHit     bool          // The upstream is expected to have the object cached.
	expectedWork  time.Duration // The expected work of the job there; 0 if there are no samples.
	rtt           time.Duration
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler() *Scheduler {
	return &Scheduler{
		view: &roster.View{}, loads: map[string]*load{}, estimates: map[string]*workEstimate{}, rtts: rttEstimates{},
		demands: map[string]*demand{}, limiters: map[string]*shiftLimiter{}, grants: map[uint64]*Grant{}, enqueued: make(chan struct{}, 1),
		backlog: backlog{}, placed: map[string]*placedCounts{}, lastPlaced: map[string]time.Time{},
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
		l = &load{running: running, slowdown: 1, hash: rendez.Hash(u.ID), domainIndex: s.domainIndex(u)}
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

// endGrant removes a grant and returns the load of its upstream, or nil if the grant or upstream is no longer known.
func (s *Scheduler) endGrant(g *Grant) *load {
	if s.grants[g.ID] != g {
		return nil
	}
	delete(s.grants, g.ID)
	l := s.loads[g.Upstream.ID]
	if l != nil {
		l.running--
	}
	return l
}

// grantGracePeriod is the time after a job's deadline at which a grant that was not released expires.
const grantGracePeriod = time.Second

func (s *Scheduler) grant(now time.Time, l *load, w *waiter) *Grant {
	l.running++
	if l.cold(now) {
		l.tokens--
		l.lastWarmup = now
	}
	u, req := l.upstream, &w.req
	s.limiter(u.Service).record(now, u.Region != s.view.Self.Region)
	g := &Grant{
		ID: w.seq, Upstream: u, Digest: req.Digest, host: req.Host.Name, fromDomain: req.Host.Domain, expires: req.Deadline.Add(grantGracePeriod),
		rtt: s.rtts.expected(&req.Host, u),
	}
	estimate := s.estimate(u.Service)
	g.reuseDistance, g.reused = l.recent.reuseDistance(req.objectHash())
	g.object = req.objectHash()
	cached := estimate.likelyCached(l.recent, g.object)
	switch {
	case cached && l.warming[g.object] > 0:
		g.uncertain = true
	case !cached && g.object != 0:
		g.warms = true
		l.startWarming(g.object)
	}
	g.expectHit = cached && !g.uncertain
	if !g.uncertain && estimate.hasSamples(g.expectHit) {
		g.expectedWork = estimate.expected(g.expectHit)
	}
	l.recent = l.recent.add(g.object)
	s.lastPlaced[u.Service] = now
	counts := s.counts(u.Service)
	counts.placed++
	if g.expectHit {
		counts.hits++
	}
	s.grants[g.ID] = g
	return g
}

func (s *Scheduler) estimate(service string) *workEstimate {
	w := s.estimates[service]
	if w == nil {
		w = &workEstimate{cacheSize: initialCacheSize, initial: initialWork}
		s.estimates[service] = w
	}
	return w
}

// Release ends a grant, records the job's result and assigns the freed slot.
func (s *Scheduler) Release(now time.Time, g *Grant, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.endGrant(g)
	if l == nil {
		return
	}
	r.ExpectedWork, r.RTT = g.expectedWork, g.rtt
	if l.upstream.Born == g.Upstream.Born {
		if g.warms {
			l.endWarming(g.object, r.Succeeded)
		}
		l.recordRequest(now, g.host, &r)
		l.recordResult(now, r, s.mayEject(now, l.upstream.Service))
		s.rtts.record(g.fromDomain, g.Upstream.Domain, r.DialTime)
		if r.Succeeded && r.QueueLength == 0 && !g.uncertain {
			s.recordWork(g, r.Duration-g.rtt)
		}
	}
	s.assignFreedSlot(now, l)
}

// Observe records what an upstream asked of this host in a reply, if another host places the jobs.
func (s *Scheduler) Observe(now time.Time, u *roster.Upstream, r *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[u.ID]; l != nil && l.upstream.Born == u.Born {
		l.recordRequest(now, s.view.Self.Name, r)
	}
}

// Accepts reports whether an upstream takes requests from this host: it has not announced that it leaves, and has not
// asked this host to wait.
func (s *Scheduler) Accepts(now time.Time, u *roster.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[u.ID]
	return l == nil || l.upstream.Born != u.Born || l.accepts(now, s.view.Self.Name)
}

// recordWork records the time of a job that was not queued by its upstream, without the round trip.
func (s *Scheduler) recordWork(g *Grant, took time.Duration) {
	w, l := s.estimate(g.Upstream.Service), s.loads[g.Upstream.ID]
	normal := time.Duration(float64(took) / max(1, l.slowdown)) // What it would have taken on an average upstream.
	missed := w.looksLikeMiss(normal)
	if c := certaintyOf(g.reuseDistance, g.reused); c != certainHit || !missed {
		w.record(c, took)
	}
	if !g.reused {
		return
	}
	w.adjustCacheSize(g.reuseDistance, normal)
	if w.surelyCached(g.reuseDistance) {
		l.noteCached(g.object, missed)
	}
}

// Find returns the grant with the given ID, or nil.
func (s *Scheduler) Find(id uint64) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grants[id]
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

package place

import (
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Scheduler places the jobs of a region's hosts on upstreams and tracks which jobs run and wait there.
type Scheduler struct {
	mu               sync.Mutex
	view             *roster.View
	loads            map[string]*load
	loadsByService   map[string][]*load // The upstreams of the current view, by service.
	domains          []*roster.Upstream // One upstream of each known failure domain.
	estimates        map[string]*workEstimate
	rtts             rttEstimates
	demands          map[string]*demand
	limiters         map[string]*shiftLimiter // By service.
	maxShift         float64                  // The share of a region's callers that may change region within shiftWindow; 0 for no limit.
	lastDemandReport time.Time                // When the demand was last reported.
	waiters          []*waiter
	scratch          []Candidate
	lastSeq          uint64
	grants           map[uint64]*Grant
	lastSweep        time.Time
}

// Grant is a slot of an upstream that is assigned to a job.
type Grant struct {
	ID       uint64
	Upstream *roster.Upstream

	host          string
	fromDomain    string // The host's failure domain.
	expires       time.Time
	reuseDistance int           // The number of other objects sent to the upstream since the job's object.
	reused        bool          // The object was sent to the upstream recently.
	expectHit     bool          // The upstream is expected to have the object cached.
	expectedWork  time.Duration // The expected work of the job there; 0 if there are no samples.
	rtt           time.Duration
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler() *Scheduler {
	return &Scheduler{
		view: &roster.View{}, loads: map[string]*load{}, estimates: map[string]*workEstimate{}, rtts: rttEstimates{},
		demands: map[string]*demand{}, limiters: map[string]*shiftLimiter{}, grants: map[uint64]*Grant{},
	}
}

// SetMaxShift sets the maximum share of a region's callers that may change region within two seconds; 0 means no limit.
func (t *Scheduler) SetMaxShift(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxShift = share
}

// Update applies a new view and retries the waiters.
func (t *Scheduler) Update(now time.Time, v *roster.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
	t.loadsByService = make(map[string][]*load, len(v.Upstreams))
	seen := map[string]bool{}
	for service, list := range v.Upstreams {
		for _, u := range list {
			seen[u.ID] = true
			t.loadsByService[service] = append(t.loadsByService[service], t.updateLoad(now, u))
		}
	}
	for id, l := range t.loads {
		l.inView = seen[id]
		if !l.inView && l.running == 0 {
			delete(t.loads, id)
		}
	}
	t.sweep(now)
	t.wake(now)
}

// updateLoad applies a report of an upstream; a new incarnation starts with empty statistics.
func (t *Scheduler) updateLoad(now time.Time, u *roster.Upstream) *load {
	l := t.loads[u.ID]
	if l == nil || l.upstream.Born != u.Born {
		running := 0
		if l != nil {
			running = l.running
		}
		l = &load{running: running, slowdown: 1, hash: rendez.Hash(u.ID), domainIndex: t.domainIndex(u)}
		t.loads[u.ID] = l
	}
	l.upstream, l.assigned = u, t.view.UsedBy(u) == t.view.Self.Region
	if u.Cold > 0 {
		l.markCold(now, u.ColdUntil())
	}
	return l
}

// domainIndex returns the index of an upstream's failure domain in t.domains, adding it if necessary.
func (t *Scheduler) domainIndex(u *roster.Upstream) int {
	at := slices.IndexFunc(t.domains, func(o *roster.Upstream) bool { return o.Domain == u.Domain })
	if at < 0 {
		at = len(t.domains)
		t.domains = append(t.domains, u)
	}
	return at
}

// sweep ends the grants of hosts that have left and those past their expiry, and lets the statistics of idle upstreams
// decay.
func (t *Scheduler) sweep(now time.Time) {
	t.lastSweep = now
	for _, l := range t.loads {
		l.decay()
	}
	for service, s := range t.limiters {
		s.setUnusable(now, t.unusableShare(now, service))
	}
	live := map[string]bool{t.view.Self.Name: true}
	for i := range t.view.Hosts {
		live[t.view.Hosts[i].Name] = true
	}
	for _, g := range t.grants {
		if !live[g.host] || now.After(g.expires) {
			t.endGrant(g)
		}
	}
}

// unusableShare returns the share of the slots used by this region whose upstreams are ejected or cold.
func (t *Scheduler) unusableShare(now time.Time, service string) float64 {
	total, unusable := 0, 0
	for _, l := range t.loadsByService[service] {
		if !l.assigned {
			continue
		}
		total += l.upstream.Slots
		if l.ejected(now) || l.cold(now) {
			unusable += l.upstream.Slots
		}
	}
	return float64(unusable) / float64(max(1, total))
}

// limiter returns the shift limiter of a service, creating it if necessary.
func (t *Scheduler) limiter(service string) *shiftLimiter {
	s := t.limiters[service]
	if s == nil {
		s = &shiftLimiter{}
		t.limiters[service] = s
	}
	return s
}

// endGrant removes a grant and returns the load of its upstream, or nil if the grant or upstream is no longer known.
func (t *Scheduler) endGrant(g *Grant) *load {
	if t.grants[g.ID] != g {
		return nil
	}
	delete(t.grants, g.ID)
	l := t.loads[g.Upstream.ID]
	if l != nil {
		l.running--
	}
	return l
}

// grantGracePeriod is the time after a job's deadline at which a grant that was not released expires.
const grantGracePeriod = time.Second

func (t *Scheduler) grant(now time.Time, l *load, w *waiter) *Grant {
	l.running++
	if l.cold(now) {
		l.tokens--
		l.lastWarmup = now
	}
	u, req := l.upstream, &w.req
	t.limiter(u.Service).record(now, u.Region != t.view.Self.Region)
	g := &Grant{
		ID: w.seq, Upstream: u, host: req.Host.Name, fromDomain: req.Host.Domain, expires: req.Deadline.Add(grantGracePeriod),
		rtt: t.rtts.expected(&req.Host, u),
	}
	estimate := t.estimate(u.Service)
	g.reuseDistance, g.reused = l.recent.reuseDistance(req.objectHash())
	g.expectHit = estimate.likelyCached(l.recent, req.objectHash())
	if estimate.hasSamples(g.expectHit) {
		g.expectedWork = estimate.expected(g.expectHit)
	}
	l.recent = l.recent.add(req.objectHash())
	t.grants[g.ID] = g
	return g
}

func (t *Scheduler) estimate(service string) *workEstimate {
	w := t.estimates[service]
	if w == nil {
		w = &workEstimate{cacheSize: initialCacheSize, initial: initialWork}
		t.estimates[service] = w
	}
	return w
}

// Release ends a grant, records the job's result and assigns the freed slot.
func (t *Scheduler) Release(now time.Time, g *Grant, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.endGrant(g)
	if l == nil {
		return
	}
	r.ExpectedWork, r.RTT = g.expectedWork, g.rtt
	if l.upstream.Born == g.Upstream.Born {
		l.recordResult(now, r)
		t.rtts.record(g.fromDomain, g.Upstream.Domain, r.DialTime)
		if r.Succeeded && r.QueueLength == 0 {
			t.recordWork(g, r.Duration-g.rtt)
		}
	}
	t.assignFreedSlot(now, l)
}

// recordWork records the time of a job that was not queued by its upstream.
func (t *Scheduler) recordWork(g *Grant, took time.Duration) {
	w := t.estimate(g.Upstream.Service)
	w.record(g.expectHit, took)
	if g.reused {
		w.adjustCacheSize(g.reuseDistance, took)
	}
}

// Find returns the grant with the given number, or nil.
func (t *Scheduler) Find(number uint64) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[number]
}

// Waiting returns the number of jobs that wait for a slot.
func (t *Scheduler) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiters)
}

// sweepInterval is the time between sweeps for expired grants.
const sweepInterval = 500 * time.Millisecond

// Tick retries the waiters, since ejections end and cold upstreams earn tokens as time passes.
func (t *Scheduler) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastSweep) > sweepInterval {
		t.sweep(now)
	}
	t.wake(now)
}

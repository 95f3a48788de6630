package place

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Grant is a slot of an upstream that is assigned to a job.
type Grant struct {
	ID       uint64
	Upstream *roster.Upstream
	Digest   uint64 // The job's.
	Charged  string // The workspace that spent a token of its quota on the job; empty for none.

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

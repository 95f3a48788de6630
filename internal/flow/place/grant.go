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
	// HedgeAfter is the time after which a second attempt pays off, counted from the sending of the job; 0 if it doesn't.
	HedgeAfter time.Duration

	host          string
	fromDomain    string // The host's failure domain.
	foreign       bool   // The host is in another region than this one.
	expires       time.Time
	reuseDistance int           // The number of other objects sent to the upstream since the job's object.
	reused        bool          // The object was sent to the upstream recently.
	object        uint64        // Hash of the job's object; 0 if it has none.
	warms         bool          // The job is the first with its object on the upstream.
	uncertain     bool          // The job started while another one warmed the object, so it may be a hit or a miss.
	expectHit     bool          // The upstream is expected to have the object cached.
	expectedWork  time.Duration // The expected work of the job there; 0 if there are no samples.
	expectedTime  time.Duration // The same with the upstream's slowdown.
	rtt           time.Duration
	started       time.Time
	pace          float64 // The upstream's expected pace at the start; 0 if it reports none.
	deviation     float64 // The deviation from the usual pace that its report let expect.
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
	g := &Grant{
		ID: w.seq, Upstream: u, Digest: req.Digest, host: req.Host.Name, fromDomain: req.Host.Domain, expires: req.Deadline.Add(grantGracePeriod),
		rtt: s.rtts.expected(&req.Host, u), started: now, foreign: req.Host.Region != s.view.Self.Region,
	}
	if !g.foreign { // The limit is on the callers of this region.
		s.limiter(u.Service).record(now, u.Region != s.view.Self.Region)
	}
	if l.pace.last.pace > 0 {
		m := s.paceModel(u.Service)
		g.pace, g.deviation = l.pace.forecast(now, m, u.Slots), l.pace.deviation(now, m, u.Slots)
		l.pace.granted++
	}
	estimate := s.estimate(u.Service)
	g.reuseDistance, g.reused = l.recent.reuseDistance(req.objectHash())
	g.object = req.objectHash()
	cached := estimate.likelyCached(l.recent, g.object)
	switch {
	case cached && l.warming[g.object].jobs > 0:
		g.uncertain = true
	case !cached && g.object != 0:
		g.warms = true
		l.startWarming(now, g.object)
	}
	g.expectHit = cached && !g.uncertain
	if !g.uncertain && estimate.hasSamples(g.expectHit) {
		g.expectedWork = estimate.expected(g.expectHit)
	}
	g.expectedTime = l.serviceTime(g.expectedWork)
	g.HedgeAfter = s.hedgeAfter(now, g)
	l.recent = l.recent.add(g.object, g.ID)
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
	// A host elsewhere that is cut off from this region's upstreams must not eject them for this region's hosts.
	r.Unreachable = r.Unreachable && !g.foreign
	if l.upstream.Born == g.Upstream.Born {
		if g.warms {
			l.endWarming(g.object, r.Succeeded)
		}
		r.Span = s.recordPace(now, l, g, &r)
		if g.uncertain && r.Succeeded {
			s.estimate(l.upstream.Service).noteOvertake(l.warming[g.object].jobs > 0)
		}
		l.recordRequest(now, g.host, &r)
		l.recordResult(now, r, s.mayEject(now, l.upstream.Service))
		l.updateFactor(now, s.paceModel(l.upstream.Service))
		s.rtts.record(g.fromDomain, g.Upstream.Domain, r.DialTime)
		s.recordRun(now, g, &r)
		if r.Succeeded && g.pace > 0 && r.ExpectedWork > 0 {
			s.paceModel(l.upstream.Service).recordJob(float64(r.Duration-r.RTT)/(l.pace.residual*float64(r.ExpectedWork)), g.deviation)
		}
		if r.Succeeded && r.QueueLength == 0 && !g.uncertain {
			s.recordWork(g, r.Duration-g.rtt, r.Span)
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
func (s *Scheduler) recordWork(g *Grant, took time.Duration, span paceSpan) {
	w, l := s.estimate(g.Upstream.Service), s.loads[g.Upstream.ID]
	normal := time.Duration(float64(took) / max(1, l.slowdown)) // What it would have taken on an average upstream.
	longest := took                                             // The same if the upstream was no slower than usual.
	if l.pace.trusted() && span != (paceSpan{}) {
		normal = time.Duration(float64(took) / max(1, l.pace.residual*span.most()))
		longest = time.Duration(float64(took) / max(1, min(span.from, span.to)))
		took = time.Duration(float64(took) / span.usual(took, g.expectedWork))
	}
	missed := w.looksLikeMiss(normal)
	if c := certaintyOf(g.reuseDistance, g.reused); c != certainHit || !missed {
		w.record(c, took, g.expectedWork)
	}
	if !g.reused || w.tooLong(normal) {
		return
	}
	w.adjustCacheSize(g.reuseDistance, normal, longest)
	if w.surelyCached(g.reuseDistance) {
		l.noteCached(g.ID, missed)
	}
	if g.reuseDistance < minCacheSize {
		w.noteSureMiss(missed)
	}
}

// recordPace records the pace in a job's answer and returns the span of the job. The time of the report is that of the grant and the
// job's duration together: the answer may have reached this host late, by another host's message.
func (s *Scheduler) recordPace(now time.Time, l *load, g *Grant, r *Result) paceSpan {
	if r.Pace > 0 {
		at := g.started.Add(r.Duration)
		if at.After(now) {
			at = now
		}
		l.pace.record(s.paceModel(l.upstream.Service), r.Pace, at)
	}
	switch {
	case g.pace > 0 && r.Pace > 0:
		return paceSpan{from: g.pace, to: min(maxSlowdown, max(minSlowdown, r.Pace))}
	case g.pace > 0:
		return paceSpan{from: g.pace, to: g.pace}
	}
	return paceSpan{}
}

// Find returns the grant with the given ID, or nil.
func (s *Scheduler) Find(id uint64) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grants[id]
}

package place

import (
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Table places the jobs of a region's hosts: it knows what runs and waits at the region's upstreams.
type Table struct {
	mu       sync.Mutex
	view     *roster.View
	loads    map[string]*load
	lists    map[string][]*load // By service, those that the view holds.
	domains  []*roster.Upstream // One upstream of each failure domain.
	works    map[string]*work
	trips    rtts
	demands  map[string]*demand
	limiters map[string]*shiftLimiter // By service.
	shift    float64                  // The part of a region's callers that may change their region within shiftSpan; 0 for any.
	asked    time.Time                // When the demand was last asked for.
	waiters  []*waiter
	scratch  []Candidate
	arrived  uint64
	grants   map[uint64]*Grant
	swept    time.Time
}

// Grant is a job's stay at an upstream.
type Grant struct {
	Number   uint64
	Upstream *roster.Upstream

	host  string
	from  string // The host's failure domain.
	until time.Time
	depth int           // How many other objects the upstream was sent since this one.
	sent  bool          // It was sent this one lately.
	known bool          // The upstream is thought to remember the object.
	work  time.Duration // What the job was expected to take there; 0 if nothing is known.
	trip  time.Duration
}

// NewTable returns a table that knows no upstream.
func NewTable() *Table {
	return &Table{
		view: &roster.View{}, loads: map[string]*load{}, works: map[string]*work{}, trips: rtts{},
		demands: map[string]*demand{}, limiters: map[string]*shiftLimiter{}, grants: map[uint64]*Grant{},
	}
}

// SetShift bounds the part of a region's callers that may be moved to other regions, or back, within two seconds.
func (t *Table) SetShift(part float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shift = part
}

// Update takes in a view.
func (t *Table) Update(now time.Time, v *roster.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
	t.lists = make(map[string][]*load, len(v.Upstreams))
	seen := map[string]bool{}
	for service, list := range v.Upstreams {
		for _, u := range list {
			seen[u.ID] = true
			t.lists[service] = append(t.lists[service], t.observe(now, u))
		}
	}
	for id, l := range t.loads {
		l.listed = seen[id]
		if !l.listed && l.running == 0 {
			delete(t.loads, id)
		}
	}
	t.expire(now)
	t.wake(now)
}

// observe takes in a report of an upstream; a new incarnation starts with a clean record.
func (t *Table) observe(now time.Time, u *roster.Upstream) *load {
	l := t.loads[u.ID]
	if l == nil || l.upstream.Born != u.Born {
		running := 0
		if l != nil {
			running = l.running
		}
		l = &load{running: running, ratio: 1, hash: rendez.Hash(u.ID), domain: t.domain(u)}
		t.loads[u.ID] = l
	}
	l.upstream, l.ours = u, t.view.User(u) == t.view.Self.Region
	if u.Cold > 0 {
		l.setCold(now, u.ColdUntil())
	}
	return l
}

// domain returns the place of an upstream's failure domain in the list.
func (t *Table) domain(u *roster.Upstream) int {
	at := slices.IndexFunc(t.domains, func(o *roster.Upstream) bool { return o.Domain == u.Domain })
	if at < 0 {
		at = len(t.domains)
		t.domains = append(t.domains, u)
	}
	return at
}

// expire ends the grants of hosts that are gone, and those whose end was never told.
func (t *Table) expire(now time.Time) {
	t.swept = now
	for _, l := range t.loads {
		l.decay()
	}
	for service, s := range t.limiters {
		s.health(now, t.unusable(now, service))
	}
	live := map[string]bool{t.view.Self.Name: true}
	for i := range t.view.Hosts {
		live[t.view.Hosts[i].Name] = true
	}
	for _, g := range t.grants {
		if !live[g.host] || now.After(g.until) {
			t.end(g)
		}
	}
}

// unusable returns the part of the slots which this region uses that can't be used now.
func (t *Table) unusable(now time.Time, service string) float64 {
	all, out := 0, 0
	for _, l := range t.lists[service] {
		if !l.ours {
			continue
		}
		all += l.upstream.Slots
		if l.down(now) || l.cold(now) {
			out += l.upstream.Slots
		}
	}
	return float64(out) / float64(max(1, all))
}

// limiter returns the count of where a service's jobs run.
func (t *Table) limiter(service string) *shiftLimiter {
	s := t.limiters[service]
	if s == nil {
		s = &shiftLimiter{}
		t.limiters[service] = s
	}
	return s
}

// end forgets a grant; it returns the load of its upstream, or nil if that is not known any more.
func (t *Table) end(g *Grant) *load {
	if t.grants[g.Number] != g {
		return nil
	}
	delete(t.grants, g.Number)
	l := t.loads[g.Upstream.ID]
	if l != nil {
		l.running--
	}
	return l
}

// grantSlack is how long after its job's deadline a grant ends that nobody has ended.
const grantSlack = time.Second

func (t *Table) grant(now time.Time, l *load, w *waiter) *Grant {
	l.running++
	if l.cold(now) {
		l.tokens--
		l.warmed = now
	}
	u, ask := l.upstream, &w.ask
	t.limiter(u.Service).note(now, u.Region != t.view.Self.Region)
	g := &Grant{
		Number: w.number, Upstream: u, host: ask.Host.Name, from: ask.Host.Domain, until: ask.Deadline.Add(grantSlack),
		trip: t.trips.expect(&ask.Host, u),
	}
	k := t.work(u.Service)
	g.depth, g.sent = l.memory.depth(ask.key())
	g.known = k.remembers(l.memory, ask.key())
	if k.seen(g.known) {
		g.work = k.expect(g.known)
	}
	l.memory = l.memory.add(ask.key())
	t.grants[g.Number] = g
	return g
}

func (t *Table) work(service string) *work {
	w := t.works[service]
	if w == nil {
		w = &work{kept: keptStart, start: workStart}
		t.works[service] = w
	}
	return w
}

// Release ends a job's stay at an upstream.
func (t *Table) Release(now time.Time, g *Grant, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.end(g)
	if l == nil {
		return
	}
	r.Work, r.Trip = g.work, g.trip
	if l.upstream.Born == g.Upstream.Born {
		l.learn(now, r)
		t.trips.learn(g.from, g.Upstream.Domain, r.Dial)
		if r.Good && r.Waiting == 0 {
			t.learn(g, r.Took-g.trip)
		}
	}
	t.freed(now, l)
}

// learn takes in the time of a job that did not wait at its upstream.
func (t *Table) learn(g *Grant, took time.Duration) {
	w := t.work(g.Upstream.Service)
	w.learn(g.known, took)
	if g.sent {
		w.correct(g.depth, took)
	}
}

// Find returns a grant by its number, or nil.
func (t *Table) Find(number uint64) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[number]
}

// Waiting returns how many jobs wait for a slot.
func (t *Table) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiters)
}

// sweepPeriod is how often grants that nobody ended are looked for.
const sweepPeriod = 500 * time.Millisecond

// Pump lets waiters try again, as ejections end and cold rates grow with time.
func (t *Table) Pump(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.swept) > sweepPeriod {
		t.expire(now)
	}
	t.wake(now)
}

package place

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Table places the jobs of a region's hosts: it knows what runs and waits at the region's upstreams.
type Table struct {
	mu      sync.Mutex
	view    *roster.View
	loads   map[string]*load
	works   map[string]*work
	trips   rtts
	demands map[string]*demand
	asked   time.Time // When the demand was last asked for.
	waiters []*waiter
	arrived uint64
	grants  map[uint64]*Grant
	swept   time.Time
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

// waiter is a job without a slot.
type waiter struct {
	ask    Ask
	late   bool // It can't meet its objective any more.
	number uint64
	wants  *load // The upstream that it waits for.
	ready  chan *Grant
}

// NewTable returns a table that knows no upstream.
func NewTable() *Table {
	return &Table{
		view: &roster.View{}, loads: map[string]*load{}, works: map[string]*work{}, trips: rtts{},
		demands: map[string]*demand{}, grants: map[uint64]*Grant{},
	}
}

// Update takes in a view.
func (t *Table) Update(now time.Time, v *roster.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
	seen := map[string]bool{}
	for _, list := range v.Upstreams {
		for _, u := range list {
			seen[u.ID] = true
			t.meet(now, u)
		}
	}
	for id, l := range t.loads {
		if !seen[id] && l.running == 0 {
			delete(t.loads, id)
		}
	}
	t.orphans(now)
	t.wake(now)
}

// meet takes in a report of an upstream; a new incarnation starts with a clean record.
func (t *Table) meet(now time.Time, u *roster.Upstream) {
	l := t.loads[u.ID]
	if l == nil || l.upstream.Born != u.Born {
		running := 0
		if l != nil {
			running = l.running
		}
		l = &load{running: running, ratio: 1, site: rendez.NewSite(u.ID, 1)}
		t.loads[u.ID] = l
	}
	l.upstream = u
	if u.Cold > 0 {
		l.chill(now, u.ColdUntil())
	}
}

// orphans ends the grants of hosts that are gone, and those whose end was never told.
func (t *Table) orphans(now time.Time) {
	t.swept = now
	for _, l := range t.loads {
		l.heal()
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

// Acquire returns an upstream for a job, or nil if none is free in time.
func (t *Table) Acquire(ctx context.Context, now time.Time, ask Ask) *Grant {
	t.mu.Lock()
	t.arrived++
	w := &waiter{ask: ask, number: t.arrived, ready: make(chan *Grant, 1)}
	if !ask.Alone {
		t.offer(ask.Service)
	}
	g, until := t.take(now, w)
	if g != nil || !until.After(now) {
		t.mu.Unlock()
		return g
	}
	t.enqueue(w)
	t.mu.Unlock()

	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case g := <-w.ready:
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	return t.abandon(w)
}

// abandon ends a wait.
func (t *Table) abandon(w *waiter) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiters = slices.DeleteFunc(t.waiters, func(o *waiter) bool { return o == w })
	select {
	case g := <-w.ready:
		return g
	default:
	}
	w.want(nil)
	return nil
}

// want books the upstream that a waiter waits for.
func (w *waiter) want(l *load) {
	if w.wants != nil {
		w.wants.queued--
	}
	if l != nil {
		l.queued++
	}
	w.wants = l
}

// enqueue keeps the waiters in the order in which they are served: those that can still meet their objective
// first, the most urgent first, the oldest first.
func (t *Table) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(t.waiters, w, func(a, b *waiter) int {
		switch {
		case a.late != b.late && b.late:
			return -1
		case a.late != b.late:
			return 1
		case a.ask.Rank != b.ask.Rank:
			return a.ask.Rank - b.ask.Rank
		}
		return int(int64(a.number) - int64(b.number))
	})
	t.waiters = slices.Insert(t.waiters, at, w)
}

// wakeMost bounds the waiters that look anew for an upstream at one time: each looks at all of its service's.
const wakeMost = 32

// wake lets waiters look anew, the first ones in their order.
func (t *Table) wake(now time.Time) {
	looked := 0
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		looked++
		return looked <= wakeMost && t.serve(now, w)
	})
}

// freed gives a slot of an upstream that has become free to a waiter: to the first that waits for it, or else to
// the first of its service that would go there now.
func (t *Table) freed(now time.Time, l *load) {
	for _, wanted := range []bool{true, false} {
		looked := 0
		t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
			if l.running >= l.share || w.ask.Service != l.upstream.Service || (w.wants == l) != wanted || looked >= freedMost {
				return false
			}
			looked++
			return t.serve(now, w)
		})
	}
}

// freedMost bounds the waiters that look at an upstream that has become free.
const freedMost = 4

// serve gives a waiter its upstream if it has a free slot.
func (t *Table) serve(now time.Time, w *waiter) bool {
	g, _ := t.take(now, w)
	if g == nil {
		return false
	}
	w.ready <- g
	return true
}

// latePart is the part of its time that a late job may wait for a slot that nobody else needs.
const latePart = 0.4

// take books the job at its best upstream if that has a free slot. Otherwise it returns until when the job may
// wait: as long as its answer can come in time.
func (t *Table) take(now time.Time, w *waiter) (*Grant, time.Time) {
	w.want(nil)
	list := t.candidates(now, &w.ask)
	at := Choose(list)
	if at < 0 {
		return nil, now.Add(time.Duration(latePart / 2 * float64(w.ask.Objective.Sub(now))))
	}
	l := t.loads[list[at].Upstream.ID]
	if l.running < l.share {
		return t.grant(now, l, w), now
	}
	w.want(l)
	until := w.ask.Objective.Add(-t.expect(l, &w.ask, false))
	if !until.After(now) {
		w.late = true
		until = now.Add(time.Duration(latePart * float64(w.ask.Deadline.Sub(now))))
	}
	return nil, until
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
		w = &work{kept: keptStart}
		t.works[service] = w
	}
	return w
}

// expect returns the time that a job would take at an upstream or, as a choice should see it, what it costs with
// the wait for a slot.
func (t *Table) expect(l *load, ask *Ask, wait bool) time.Duration {
	w := t.work(l.upstream.Service)
	d := t.trips.expect(&ask.Host, l.upstream)
	run := l.ratio * float64(w.expect(w.remembers(l.memory, ask.key())))
	if !wait {
		return d + time.Duration(run)
	}
	if tier := tierOf(&ask.Host, l.upstream); tier == Far && t.view.User(l.upstream) == t.view.Self.Region {
		d /= 2 // Borrowed upstreams are used nearly as much as others: the part of jobs that leave the region changes slowly.
	} else {
		d += detour[tier]
	}
	d += time.Duration((1 + failPenalty*l.failing) * run)
	return d + time.Duration(l.crowd()*l.ratio*float64(w.mean()))
}

// failPenalty is how many times its work an upstream that fails always seems to cost besides.
const failPenalty = 4

func (t *Table) candidates(now time.Time, ask *Ask) []Candidate {
	ups := t.view.Upstreams[ask.Service]
	out := make([]Candidate, 0, len(ups))
	key := ask.key()
	guest := t.guest(now, ask, ups)
	for _, u := range ups {
		l := t.loads[u.ID]
		if l == nil || l.down(now) || !ask.allows(u.Region) || slices.Contains(ask.Tried, u.ID) {
			continue
		}
		if l.share = t.share(l, ask, guest); l.share == 0 {
			continue
		}
		c := Candidate{Upstream: u, Free: l.share - l.running}
		if l.cold(now) {
			if ask.Alone || !t.mayWarm(now, l) {
				continue
			}
			c.Warming = now.Sub(l.warmed) > warmGap && ask.Rank > 0
		}
		if float64(ask.Deadline.Sub(now)) < hopeless*float64(t.expect(l, ask, false)) {
			continue // It would be cut off in the middle of its work.
		}
		c.Cost = t.expect(l, ask, true)
		if ask.Object != "" {
			c.Score = rendez.Score(key, l.site)
		}
		out = append(out, c)
	}
	return out
}

// hopeless is the part of the time that a job is expected to take below which it is not begun: expectations are
// means, and a job that has waited for most of its time only keeps others from theirs.
const hopeless = 0.6

// guestShare is how many jobs a host may have at an upstream that it does not place for.
const guestShare = 1

// share returns how many jobs may be at an upstream: as many as it has slots if this region uses it.
func (t *Table) share(l *load, ask *Ask, guest bool) int {
	ours := t.view.User(l.upstream) == t.view.Self.Region
	switch {
	case ours && !ask.Alone:
		return l.upstream.Slots
	case ours || guest:
		return guestShare
	}
	return 0
}

// guest tells whether this region can use none of its upstreams, so that its jobs go to others as guests.
func (t *Table) guest(now time.Time, ask *Ask, ups []*roster.Upstream) bool {
	for _, u := range ups {
		l := t.loads[u.ID]
		if l != nil && t.view.User(u) == t.view.Self.Region && !l.down(now) && !l.cold(now) && ask.allows(u.Region) {
			return false
		}
	}
	return true
}

// mayWarm tells whether the rate of a cold upstream has room. Only the region that uses it asks: its rate is too
// small to be split.
func (t *Table) mayWarm(now time.Time, l *load) bool {
	if t.view.User(l.upstream) != t.view.Self.Region {
		return false
	}
	l.fill(now, t.view.Policy.Services[l.upstream.Service].ColdRate)
	return l.tokens >= 1
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
		t.orphans(now)
	}
	t.wake(now)
}

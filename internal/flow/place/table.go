package place

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Table is this host's picture of all upstreams, and the jobs that wait for one.
type Table struct {
	mu      sync.Mutex
	view    *roster.View
	loads   map[string]*load
	works   map[string]*work
	trips   rtts
	demands map[string]*demand
	asked   time.Time // When the demand was last asked for.
	waiters []*waiter
	arrived int
}

// Grant is a job's stay at an upstream.
type Grant struct {
	Upstream *roster.Upstream
	object   string
	known    bool          // The upstream is thought to remember the object.
	work     time.Duration // What the job was expected to take there.
	trip     time.Duration
}

// waiter is a job without a slot.
type waiter struct {
	ask    Ask
	late   bool // It can't meet its objective any more.
	number int
	wants  *load // The upstream that it waits for.
	ready  chan *Grant
}

// NewTable returns a table that knows no upstream.
func NewTable() *Table {
	return &Table{view: &roster.View{}, loads: map[string]*load{}, works: map[string]*work{}, trips: rtts{}, demands: map[string]*demand{}}
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
		l = &load{running: running, ratio: 1}
		t.loads[u.ID] = l
	}
	l.upstream = u
	if u.Cold > 0 {
		l.chill(now, u.ColdUntil())
	}
}

// Acquire returns an upstream for a job, or nil if none was free in time.
func (t *Table) Acquire(ctx context.Context, now time.Time, ask Ask) *Grant {
	t.mu.Lock()
	w := &waiter{ask: ask, number: t.arrived, ready: make(chan *Grant, 1)}
	t.arrived++
	t.offer(ask.Service)
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
		return a.number - b.number
	})
	t.waiters = slices.Insert(t.waiters, at, w)
}

// wake gives free slots to waiters in their order.
func (t *Table) wake(now time.Time) {
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		g, _ := t.take(now, w)
		if g == nil {
			return false
		}
		w.ready <- g
		return true
	})
}

const (
	// slotLeast is how much of a slot must seem free: what is known of other hosts' jobs is a guess.
	slotLeast = 0.5
	// latePart is the part of its time that a late job may wait for a slot that nobody else needs.
	latePart = 0.4
)

// take books the job at its best upstream if that has a free slot. Otherwise it returns until when the job may
// wait: as long as its answer can come in time.
func (t *Table) take(now time.Time, w *waiter) (*Grant, time.Time) {
	w.want(nil)
	list := t.candidates(now, &w.ask)
	at := Choose(list)
	if at < 0 {
		return nil, now.Add(time.Duration(latePart / 2 * float64(w.ask.Objective.Sub(now))))
	}
	c := &list[at]
	l := t.loads[c.Upstream.ID]
	if c.Free >= slotLeast {
		return t.grant(now, l, &w.ask), now
	}
	w.want(l)
	until := w.ask.Objective.Add(-t.expect(l, &w.ask, false))
	if !until.After(now) {
		w.late = true
		until = now.Add(time.Duration(latePart * float64(w.ask.Deadline.Sub(now))))
	}
	return nil, until
}

func (t *Table) grant(now time.Time, l *load, ask *Ask) *Grant {
	l.running++
	if l.cold(now) {
		l.tokens--
		l.warmed = now
	}
	u := l.upstream
	g := &Grant{Upstream: u, object: ask.Object, known: l.memory.holds(ask.Object)}
	g.work = t.work(u.Service).expect(g.known)
	g.trip = t.trips.expect(u.Domain, tierOf(&t.view.Self, u))
	l.memory = l.memory.add(ask.Object)
	return g
}

func (t *Table) work(service string) *work {
	w := t.works[service]
	if w == nil {
		w = &work{}
		t.works[service] = w
	}
	return w
}

// expect returns the time that a job would take at an upstream, with the wait for a slot there or without.
func (t *Table) expect(l *load, ask *Ask, wait bool) time.Duration {
	w := t.work(l.upstream.Service)
	tier := tierOf(&t.view.Self, l.upstream)
	d := t.trips.expect(l.upstream.Domain, tier) + detour[tier]
	d += time.Duration(l.ratio * (1 + failPenalty*l.failing) * float64(w.expect(l.memory.holds(ask.Object))))
	if over := float64(l.queued) + 1 - l.seen; wait && over > 0 {
		d += time.Duration(over / float64(l.upstream.Slots) * l.ratio * float64(w.expect(true)))
	}
	return d
}

// failPenalty is how many times its work an upstream that fails always seems to cost besides.
const failPenalty = 4

func (t *Table) candidates(now time.Time, ask *Ask) []Candidate {
	ups := t.view.Upstreams[ask.Service]
	out := make([]Candidate, 0, len(ups))
	key := rendez.Hash(ask.Object)
	guest := t.guest(now, ups)
	for _, u := range ups {
		l := t.loads[u.ID]
		if l == nil || l.down(now) || !ask.Allows(u.Region) || slices.Contains(ask.Tried, u.ID) {
			continue
		}
		c := Candidate{Upstream: u, Free: float64(t.share(l, guest) - l.running)}
		if t.share(l, guest) == 0 {
			continue
		}
		l.seen = c.Free
		if l.cold(now) {
			if !t.mayWarm(now, l) {
				continue
			}
			c.Warming = now.Sub(l.warmed) > warmGap && ask.Rank > 0
		}
		c.Cost = t.expect(l, ask, true)
		if ask.Object != "" {
			c.Score = rendez.Score(key, rendez.NewSite(u.ID, 1))
		}
		out = append(out, c)
	}
	return out
}

// share returns how many jobs this host may have at an upstream. A cold one belongs to its owner alone.
func (t *Table) share(l *load, guest bool) int {
	if n := t.view.Shares[l.upstream.ID]; n > 0 {
		return n
	}
	if guest {
		return guestShare
	}
	return 0
}

// guestShare is how many jobs a host may have at an upstream of which it holds no share, while it can use none
// of those that it holds.
const guestShare = 1

// guest tells whether this host can use none of the upstreams that it holds shares of.
func (t *Table) guest(now time.Time, ups []*roster.Upstream) bool {
	for _, u := range ups {
		if l := t.loads[u.ID]; l != nil && t.view.Shares[u.ID] > 0 && !l.down(now) && !l.cold(now) {
			return false
		}
	}
	return true
}

// mayWarm tells whether this host may send one more request to a cold upstream.
func (t *Table) mayWarm(now time.Time, l *load) bool {
	if owner(t.view.Hosts, l.upstream) != t.view.Self.Name {
		return false
	}
	rate := t.view.Policy.Services[l.upstream.Service].ColdRate
	l.fill(now, rate)
	return l.tokens >= 1
}

// Release ends a job's stay at an upstream.
func (t *Table) Release(now time.Time, g *Grant, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.loads[g.Upstream.ID]
	if l == nil {
		return
	}
	l.running--
	r.Work, r.Trip = g.work, g.trip
	if l.upstream.Born == g.Upstream.Born {
		l.learn(now, r)
		t.trips.learn(g.Upstream.Domain, r.Reply.Dial)
		if r.Good && (r.Reply.Report == nil || r.Reply.Report.Waiting == 0) {
			t.work(g.Upstream.Service).learn(g.known, r.Took-g.trip)
		}
	}
	t.wake(now)
}

// Pump lets waiters try again, as ejections end and cold rates grow with time.
func (t *Table) Pump(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wake(now)
}

// Waiting returns how many jobs wait for a slot.
func (t *Table) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiters)
}

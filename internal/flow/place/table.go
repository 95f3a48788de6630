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
	waiters []*waiter
	arrived uint64
}

// waiter is a job without a slot.
type waiter struct {
	ask    Ask
	number uint64
	ready  chan *roster.Upstream
}

// NewTable returns a table that knows no upstream.
func NewTable() *Table { return &Table{view: &roster.View{}, loads: map[string]*load{}} }

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
		l = &load{running: running}
		t.loads[u.ID] = l
	}
	l.upstream = u
	if u.Cold > 0 {
		l.chill(now, u.ColdUntil())
	}
}

// Acquire returns an upstream for a job, or nil if none was free in time.
func (t *Table) Acquire(ctx context.Context, now time.Time, ask Ask) *roster.Upstream {
	t.mu.Lock()
	if u := t.take(now, &ask, 0); u != nil || !ask.Until.After(now) {
		t.mu.Unlock()
		return u
	}
	w := &waiter{ask: ask, number: t.arrived, ready: make(chan *roster.Upstream, 1)}
	t.arrived++
	t.enqueue(w)
	t.mu.Unlock()

	timer := time.NewTimer(ask.Until.Sub(now))
	defer timer.Stop()
	select {
	case u := <-w.ready:
		return u
	case <-timer.C:
	case <-ctx.Done():
	}
	return t.abandon(ask.Until, w, ctx.Err() == nil)
}

// abandon ends a wait. The upstream's own queue is the last resort for a job whose caller is still there.
func (t *Table) abandon(now time.Time, w *waiter, last bool) *roster.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiters = slices.DeleteFunc(t.waiters, func(o *waiter) bool { return o == w })
	select {
	case u := <-w.ready:
		return u
	default:
	}
	if !last {
		return nil
	}
	return t.take(now, &w.ask, -overflow)
}

// overflow is how many jobs more than its slots an upstream is given when all are full.
const overflow = 1

// enqueue keeps the waiters by rank and then by arrival.
func (t *Table) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(t.waiters, w, func(a, b *waiter) int {
		if a.ask.Rank != b.ask.Rank {
			return a.ask.Rank - b.ask.Rank
		}
		return int(a.number) - int(b.number)
	})
	t.waiters = slices.Insert(t.waiters, at, w)
}

// wake gives free slots to waiters, the most urgent first.
func (t *Table) wake(now time.Time) {
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		u := t.take(now, &w.ask, 0)
		if u == nil {
			return false
		}
		w.ready <- u
		return true
	})
}

// take picks an upstream with more than least free slots and books the job there.
func (t *Table) take(now time.Time, ask *Ask, least float64) *roster.Upstream {
	list := t.candidates(now, ask)
	at := Choose(list, least)
	if at < 0 {
		return nil
	}
	l := t.loads[list[at].Upstream.ID]
	l.running++
	if list[at].Cold {
		l.tokens--
	}
	return list[at].Upstream
}

func (t *Table) candidates(now time.Time, ask *Ask) []Candidate {
	ups := t.view.Upstreams[ask.Service]
	out := make([]Candidate, 0, len(ups))
	median := t.median(ups)
	key := rendez.Hash(ask.Object)
	for _, u := range ups {
		l := t.loads[u.ID]
		if l == nil || l.down(now) || !ask.Allows(u.Region) || slices.Contains(ask.Tried, u.ID) {
			continue
		}
		c := Candidate{Upstream: u, Tier: tierOf(&t.view.Self, u), Free: l.free(now), Slow: slow(l, median)}
		if l.cold(now) {
			if !t.mayWarm(now, l) {
				continue
			}
			c.Cold = true
		}
		if ask.Object != "" {
			c.Score = rendez.Score(key, rendez.NewSite(u.ID, 1))
		}
		out = append(out, c)
	}
	return out
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

func (t *Table) median(ups []*roster.Upstream) time.Duration {
	means := make([]time.Duration, 0, len(ups))
	for _, u := range ups {
		if l := t.loads[u.ID]; l != nil && l.samples >= failLeast {
			means = append(means, l.mean)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}

func slow(l *load, median time.Duration) bool {
	return median > 0 && l.samples >= failLeast && float64(l.mean) > slowFactor*float64(median)
}

// Release ends a job's stay at an upstream.
func (t *Table) Release(now time.Time, u *roster.Upstream, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.loads[u.ID]
	if l == nil {
		return
	}
	l.running--
	if l.upstream.Born == u.Born {
		l.learn(now, r)
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

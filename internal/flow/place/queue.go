package place

import (
	"context"
	"slices"
	"time"
)

// waiter is a job without a slot.
type waiter struct {
	ask    Ask
	late   bool // It can't meet its objective any more.
	number uint64
	wants  *load // The upstream that it waits for.
	ready  chan *Grant
}

// Acquire returns an upstream for a job, or nil if none is free in time.
func (t *Table) Acquire(ctx context.Context, now time.Time, ask Ask) *Grant {
	t.mu.Lock()
	t.arrived++
	w := &waiter{ask: ask, number: t.arrived, ready: make(chan *Grant, 1)}
	if !ask.Isolated {
		t.offer(now, &ask)
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
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		return w.wants == l && t.open(now, l, w) && t.hand(now, l, w)
	})
	looked := 0
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		if l.running >= l.share || w.ask.Service != l.upstream.Service || looked >= freedMost {
			return false
		}
		looked++
		return t.serve(now, w)
	})
}

// open tells whether an upstream can take the first job that waits for it.
func (t *Table) open(now time.Time, l *load, w *waiter) bool {
	return l.listed && l.running < l.allow(&w.ask, false) && !l.down(now) && !l.cold(now) &&
		float64(w.ask.Deadline.Sub(now)) >= startLeast*float64(t.duration(l, &w.ask))
}

// hand gives a waiter the upstream that it waits for.
func (t *Table) hand(now time.Time, l *load, w *waiter) bool {
	w.want(nil)
	w.ready <- t.grant(now, l, w)
	return true
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
	l := list[at].load
	if l.running < l.share {
		return t.grant(now, l, w), now
	}
	w.want(l)
	until := w.ask.Objective.Add(-t.duration(l, &w.ask))
	if !until.After(now) {
		w.late = true
		until = now.Add(time.Duration(latePart * float64(w.ask.Deadline.Sub(now))))
	}
	return nil, until
}

package place

import (
	"context"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/fairq"
)

// waiter is a job that waits for a slot.
type waiter struct {
	req      Request
	late     bool // The job can no longer meet its objective.
	seq      uint64
	upstream *load  // The upstream that the job is queued for.
	slots    int    // Slots of the upstreams that could run the job.
	counted  [2]int // Its place in the backlog.
	class    fairClass
	ticket   *fairq.Ticket // Its place among the jobs of its class; nil unless enqueued.
	until    time.Time     // When it is refused unless it has a slot.
	enqueued time.Time
	expected time.Duration // The expected wait when it was enqueued.
	ready    chan *Grant   // Receives nil if the job is refused while it waits.
	refusal  Refusal       // The refusal then.
}

// Acquire reserves a slot for a job, waiting for one if necessary. It refuses a job at once if no slot is expected to be
// free in time, and later if none was.
func (s *Scheduler) Acquire(ctx context.Context, now time.Time, req Request) (*Grant, Refusal) {
	w := &waiter{req: req, ready: make(chan *Grant, 1)}
	g, refusal, until := s.reserveOrEnqueue(now, w)
	if g != nil || !until.After(now) {
		return g, refusal
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case g := <-w.ready:
		return g, w.refusal
	case <-timer.C:
		return s.cancelWait(until, w)
	case <-ctx.Done():
		return s.cancelWait(time.Time{}, w)
	}
}

// reserveOrEnqueue grants a job a slot or refuses it, or else enqueues it until the returned time. It unlocks the scheduler also when
// it panics: the caller recovers from that, and all other jobs need the lock.
func (s *Scheduler) reserveOrEnqueue(now time.Time, w *waiter) (*Grant, Refusal, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSeq++
	w.seq = s.lastSeq
	if w.req.NoWait {
		return s.reserveFree(now, w), Refusal{}, now
	}
	if !w.req.Isolated {
		s.recordDemand(now, &w.req)
	}
	g, until := s.reserve(now, w)
	if g == nil && !until.After(now) && s.displace(now, w) {
		g, until = s.reserve(now, w)
	}
	switch {
	case g != nil:
		s.chargeImmediate(w, g)
		return g, Refusal{}, until
	case !until.After(now):
		return nil, s.refuse(now, w), until
	}
	w.enqueued, w.until, w.expected = now, until, s.expectedWait(w)
	s.enqueue(w)
	return nil, Refusal{}, until
}

// cancelWait removes a waiter, and returns its grant if one was delivered in the meantime. The time is that at which the wait
// ended without a slot, or zero if the caller gave up.
func (s *Scheduler) cancelWait(ended time.Time, w *waiter) (*Grant, Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case g := <-w.ready:
		return g, w.refusal
	default:
	}
	if !ended.IsZero() {
		if g := s.grantAnyFree(ended, w); g != nil {
			return g, Refusal{}
		}
		s.recordWait(ended, w, false)
	}
	s.drop(w)
	return nil, s.refuse(ended, w)
}

// refuse counts a job that got no slot and tells when its caller should return. Without a time, the caller has given up.
func (s *Scheduler) refuse(now time.Time, w *waiter) Refusal {
	refusal := Refusal{RetryAfter: s.expectedWait(w)}
	if !now.IsZero() {
		refusal.RetryAfter = s.scheduleReturn(now, w, refusal.RetryAfter)
	}
	w.setUpstream(nil)
	s.counts(w.req.Service).refuse(w.req.Workspace)
	return refusal
}

// setUpstream sets the upstream that a waiter is queued for and updates the queue lengths.
func (w *waiter) setUpstream(l *load) {
	if w.upstream != nil {
		w.upstream.queued--
	}
	if l != nil {
		l.queued++
	}
	w.upstream = l
}

// enqueue inserts a waiter in queue order: jobs that can still meet their objective first, then by rank, then by
// arrival. Within such a class, jobs of different workspaces are ordered by their tickets.
func (s *Scheduler) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(s.waiters, w, func(a, b *waiter) int {
		switch {
		case a.late != b.late && b.late:
			return -1
		case a.late != b.late:
			return 1
		case a.req.Rank != b.req.Rank:
			return a.req.Rank - b.req.Rank
		}
		return int(int64(a.seq) - int64(b.seq))
	})
	s.waiters = slices.Insert(s.waiters, at, w)
	s.backlog.add(w)
	s.addTicket(w, at)
	if len(s.waiters) == 1 {
		select {
		case s.enqueued <- struct{}{}:
		default:
		}
	}
}

// maxWakeRetries bounds the waiters that retry on one wake, because each retry examines all upstreams of a service.
const maxWakeRetries = 32

// wake retries the first waiters in queue order.
func (s *Scheduler) wake(now time.Time) {
	retries := 0
	s.serveWaiters(func(w *waiter) bool {
		if retries >= maxWakeRetries || s.isHeld(now, w) {
			return false
		}
		retries++
		return s.tryServe(now, w)
	})
	s.retryOldest(now, nil, maxWakeRetries)
}

// serveWaiters offers each waiter in queue order to a function, which returns true if it granted the waiter a slot.
func (s *Scheduler) serveWaiters(serve func(w *waiter) bool) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		if !serve(w) {
			return false
		}
		s.backlog.remove(w)
		s.removeTicket(w)
		return true
	})
}

// assignFreedSlot assigns the free slots of an upstream to the waiters that are queued for it. If slots remain, the
// first waiters of its service retry.
func (s *Scheduler) assignFreedSlot(now time.Time, l *load) {
	if len(s.waiters) == 0 {
		return
	}
	s.serveWaiters(func(w *waiter) bool {
		return w.upstream == l && s.canStart(now, l, w) && s.deliver(now, l, w)
	})
	retries := 0
	s.serveWaiters(func(w *waiter) bool {
		if l.running >= l.limit || w.req.Service != l.upstream.Service || retries >= maxFreedRetries || s.isHeld(now, w) {
			return false
		}
		retries++
		return s.tryServe(now, w)
	})
	if l.running < l.limit {
		s.retryOldest(now, l, maxFreedRetries)
	}
}

// canStart reports whether an upstream can run a job that is queued for it.
func (s *Scheduler) canStart(now time.Time, l *load, w *waiter) bool {
	return l.inView && l.running < l.jobLimit(&w.req, false) && !l.ejected(now) && !l.cold(now) && l.accepts(now, w.req.Host.Name) &&
		s.estimate(w.req.Service).hasTime(w.req.Deadline.Sub(now), s.expectedDuration(l, &w.req)) && !s.shouldHold(now, l, &w.req)
}

// deliver grants a waiter a slot of the upstream that it is queued for.
func (s *Scheduler) deliver(now time.Time, l *load, w *waiter) bool {
	w.setUpstream(nil)
	s.recordWait(now, w, true)
	w.ready <- s.grant(now, l, w)
	return true
}

// maxFreedRetries bounds the waiters that retry when a slot is freed.
const maxFreedRetries = 4

// tryServe grants a waiter a slot of its best upstream, if that has one free.
func (s *Scheduler) tryServe(now time.Time, w *waiter) bool {
	g, _ := s.reserve(now, w)
	if g == nil {
		return false
	}
	s.recordWait(now, w, true)
	w.ready <- g
	return true
}

// lateWaitShare is the share of its remaining time that a late job may wait for a slot. Other waiters are
// served before it.
const lateWaitShare = 0.4

// reserve grants the job a slot of its best upstream, if that has one free. Otherwise it returns the time until which
// the job may wait and still be answered in time.
func (s *Scheduler) reserve(now time.Time, w *waiter) (*Grant, time.Time) {
	w.setUpstream(nil)
	list := s.candidates(now, &w.req)
	w.slots = 0
	for i := range list {
		w.slots += list[i].load.limit
	}
	at := Choose(list)
	if at < 0 {
		return nil, now.Add(time.Duration(lateWaitShare / 2 * float64(w.req.Objective.Sub(now))))
	}
	l := list[at].load
	held := s.shouldHold(now, l, &w.req)
	if l.running < l.limit && !held {
		return s.grant(now, l, w), now
	}
	w.setUpstream(l)
	until := w.req.Objective.Add(-s.expectedDuration(l, &w.req))
	if !until.After(now) {
		w.late = true
		until = now.Add(time.Duration(lateWaitShare * float64(w.req.Deadline.Sub(now))))
	}
	if held {
		return nil, s.holdUntil(l, &w.req)
	}
	if worthWaiting(s.expectedWait(w), until.Sub(now)) {
		return nil, until
	}
	// The best upstream would be free too late; any free one is better than a refusal.
	if at := Choose(withFreeSlot(list)); at >= 0 {
		w.setUpstream(nil)
		return s.grant(now, list[at].load, w), now
	}
	return nil, now
}

// withFreeSlot moves the candidates with a free slot to the front of the list and returns them.
func withFreeSlot(list []Candidate) []Candidate {
	n := 0
	for i := range list {
		if list[i].Free > 0 {
			list[i], list[n] = list[n], list[i]
			n++
		}
	}
	return list[:n]
}

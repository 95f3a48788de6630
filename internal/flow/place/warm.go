package place

import "time"

// warming describes the jobs that are the first with an object on an upstream.
type warming struct {
	jobs  int
	since time.Time // Start of the first of them.
}

// startWarming counts a job that is the first with its object on the upstream.
func (l *load) startWarming(now time.Time, object uint64) {
	if l.warming == nil {
		l.warming = map[uint64]warming{}
	}
	w := l.warming[object]
	if w.jobs == 0 {
		w.since = now
	}
	w.jobs++
	l.warming[object] = w
}

// endWarming discounts such a job. Unless it succeeded, the upstream has not cached the object.
func (l *load) endWarming(object uint64, succeeded bool) {
	w := l.warming[object]
	if w.jobs--; w.jobs <= 0 {
		delete(l.warming, object)
	} else {
		l.warming[object] = w
	}
	if !succeeded {
		l.recent = l.recent.remove(object)
	}
}

const (
	// assumedOvertakes is the share of jobs assumed to be hits while the first job with their object still runs, before there are samples.
	// It is above maxOvertakes, so that nobody waits before samples show that waiting pays off.
	assumedOvertakes = 0.6
	// maxOvertakes is the share above which jobs don't wait for the first one.
	maxOvertakes = 0.5
	// overtakeWeight is the weight of the newest sample in the share.
	overtakeWeight = 0.1
	// minWarming is the time of the first job, as a multiple of the work of a hit, after which others wait for it. From 1 on they end earlier
	// than if they ran at once; at half of it they lose less time than others gain by the slots that they leave free.
	minWarming = 0.5
	// maxWarming is the time, as a multiple of the work of a miss, after which the first job is taken for a long run that nobody waits for.
	maxWarming = 1.5
)

// noteOvertake records whether a job that started while the first one with its object ran ended before it. If most do, upstreams cache an
// object as soon as its first job starts, and otherwise when it ends.
func (w *workEstimate) noteOvertake(overtook bool) {
	sample := 0.0
	if overtook {
		sample = 1
	}
	w.overtakes += overtakeWeight * (sample - w.overtakes)
}

// shouldHold reports whether a job waits for the first one with its object to end, although its upstream has a free slot. It answers a fleet
// that starts with empty caches: the first jobs of all objects run at once, and every job that arrives meanwhile would compute its object
// again, for several times as long as it takes once the object is cached, and end later than it does after waiting. A job doesn't wait where
// hits take as long as misses, or if it would miss its objective or deadline by that.
func (s *Scheduler) shouldHold(now time.Time, l *load, req *Request) bool {
	if len(l.warming) == 0 {
		return false
	}
	first, ok := l.warming[req.objectHash()]
	if !ok {
		return false
	}
	w := s.estimate(req.Service)
	if w.overtakes > maxOvertakes || w.hit > 0 && w.miss > 0 && !w.distinct() {
		return false
	}
	hit, miss := l.serviceTime(w.expected(true)), l.serviceTime(w.expected(false))
	elapsed := float64(now.Sub(first.since))
	if elapsed < minWarming*float64(hit) || elapsed >= maxWarming*float64(miss) {
		return false
	}
	if w.miss > 0 && !now.Add(miss).After(req.Objective) && first.since.Add(miss+hit).After(req.Objective) {
		return false
	}
	return l.holdEnd(w, first).Add(hit).Before(req.Deadline)
}

// holdEnd returns the time at which jobs stop to wait for the first one with their object.
func (l *load) holdEnd(w *workEstimate, first warming) time.Time {
	return first.since.Add(time.Duration(maxWarming * float64(l.serviceTime(w.expected(false)))))
}

// holdUntil returns the time until which a held job may wait: after the hold it has as much time for a slot as any late job.
func (s *Scheduler) holdUntil(l *load, req *Request) time.Time {
	end := l.holdEnd(s.estimate(req.Service), l.warming[req.objectHash()])
	return end.Add(time.Duration(lateWaitShare * float64(req.Deadline.Sub(end))))
}

// isHeld reports whether a waiting job waits for the first one with its object and not for a slot.
func (s *Scheduler) isHeld(now time.Time, w *waiter) bool {
	return w.upstream != nil && s.shouldHold(now, w.upstream, &w.req)
}

// holdTime returns the expected time until the first job with an object ends, if a job waits for it.
func (s *Scheduler) holdTime(now time.Time, l *load, req *Request) time.Duration {
	if !s.shouldHold(now, l, req) {
		return 0
	}
	miss := l.serviceTime(s.estimate(req.Service).expected(false))
	return max(0, miss-now.Sub(l.warming[req.objectHash()].since))
}

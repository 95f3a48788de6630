package place

import "time"

const (
	// minShedPause and maxShedPause bound the time without jobs after an upstream rejected its only job; the time doubles while it does so.
	minShedPause = 50 * time.Millisecond
	maxShedPause = time.Second
	// minQueueShare is the share of its slots that an upstream keeps when it only reports a queue: it does take these jobs.
	minQueueShare = 0.5
)

// shedState limits the jobs of an upstream that takes fewer than its slots. It answers upstreams that are overloaded by others or out of
// memory: each rejected job costs its caller time and a retry of the fleet's budget.
type shedState struct {
	allowed     float64 // Jobs that may run at a time; 0 for all slots.
	pause       time.Duration
	pausedUntil time.Time
}

// slots returns the number of jobs that the upstream may run at a time.
func (l *load) slots() int {
	if l.shed.allowed == 0 {
		return l.upstream.Slots
	}
	return min(l.upstream.Slots, max(1, int(l.shed.allowed)))
}

// recordShed updates the limit with the result of a job that has ended. An upstream that rejects a job gets no more jobs than still run
// there; each job that it answers without a queue adds a part of a slot.
func (l *load) recordShed(now time.Time, r *Result) {
	s := &l.shed
	switch {
	case r.Shed:
		s.allowed = max(1, float64(min(l.running, l.slots()-1)))
		if l.running == 0 {
			s.pause = min(maxShedPause, max(minShedPause, 2*s.pause))
			s.pausedUntil = now.Add(s.pause)
		}
	case r.QueueLength > 0:
		keep := minQueueShare * float64(l.upstream.Slots)
		if room := max(1, keep, float64(l.running+1-r.QueueLength)); room < float64(l.slots()) {
			s.allowed = room
		}
	case r.Succeeded && s.allowed > 0:
		s.pause = 0
		l.raiseAllowed(1 / s.allowed)
	}
}

// raiseAllowed raises the limit and lifts it when it reaches the slots.
func (l *load) raiseAllowed(by float64) {
	if l.shed.allowed += by; l.shed.allowed >= float64(l.upstream.Slots) {
		l.shed.allowed = 0
	}
}

package place

import "time"

// returnKey identifies refused callers that are told to return one after another.
type returnKey struct{ service, workspace string }

const (
	// returnShare is the share of the slots that refused callers may fill as they return. It is as large as the share of
	// retries that a service allows.
	returnShare = 0.2
	// maxReturn bounds the time after which a refused caller is told to return, because callers don't wait for long.
	maxReturn = 3 * time.Second
)

// scheduleReturn returns the time after which a refused caller should return, at the earliest after an expected wait, and reserves
// it. It answers sustained overload: a queue that is full for a job is full for all that are refused within the same second, and
// callers that return together are refused a second time. Jobs without a workspace keep the expected wait: where overloads last for a
// few seconds, their callers are served better when they return soon.
func (s *Scheduler) scheduleReturn(now time.Time, w *waiter, wait time.Duration) time.Duration {
	if w.slots == 0 || w.req.Workspace == "" {
		return wait
	}
	key, earliest := returnKey{service: w.req.Service, workspace: w.req.Workspace}, now.Add(wait)
	at := s.returns[key]
	if at.Before(earliest) {
		at = earliest
	}
	if latest := now.Add(max(wait, maxReturn)); at.After(latest) {
		return latest.Sub(now)
	}
	slots := returnShare * s.slotShare(w) * float64(w.slots)
	s.returns[key] = at.Add(time.Duration(float64(s.estimate(w.req.Service).mean()) / slots))
	return at.Sub(now)
}

// slotShare returns the share of the slots that a job's workspace is entitled to among those that wait.
func (s *Scheduler) slotShare(w *waiter) float64 {
	q := s.classes[classOf(w)]
	if q == nil {
		return 1
	}
	own, all := s.weights.of(w.req.Workspace), q.Weight()
	if f := q.Flows[w.req.Workspace]; f == nil || len(f.Waiting) == 0 {
		all += own
	}
	return own / all
}

// sweepReturns drops the return times that have passed.
func (s *Scheduler) sweepReturns(now time.Time) {
	for key, at := range s.returns {
		if !at.After(now) {
			delete(s.returns, key)
		}
	}
}

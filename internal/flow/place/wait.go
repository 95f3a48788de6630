package place

import "time"

// maxRanks bounds the ranks that the backlog tells apart; less urgent ones count as the last.
const maxRanks = 8

// backlog counts the waiting jobs of each service by their place in the queue.
type backlog map[string]*[2][maxRanks]int

// add counts a waiter that was enqueued.
func (b backlog) add(w *waiter) {
	counts := b[w.req.Service]
	if counts == nil {
		counts = &[2][maxRanks]int{}
		b[w.req.Service] = counts
	}
	counts[w.lateIndex()][w.rankIndex()]++
	w.counted = [2]int{w.lateIndex(), w.rankIndex()}
}

// remove discounts a waiter that left the queue.
func (b backlog) remove(w *waiter) {
	b[w.req.Service][w.counted[0]][w.counted[1]]--
}

// ahead returns the number of waiting jobs that are served before a job that arrives now, without regard to workspaces.
func (b backlog) ahead(w *waiter) int {
	counts := b[w.req.Service]
	if counts == nil {
		return 0
	}
	n := 0
	for late := range w.lateIndex() + 1 {
		for rank := range maxRanks {
			if late < w.lateIndex() || rank <= w.rankIndex() {
				n += counts[late][rank]
			}
		}
	}
	return n
}

func (w *waiter) lateIndex() int {
	if w.late {
		return 1
	}
	return 0
}

func (w *waiter) rankIndex() int { return min(max(0, w.req.Rank), maxRanks-1) }

// expectedWait returns the time after which a slot is expected to be free for a job that arrives now, when all slots are
// taken: the jobs before it, one after another, at the rate at which the pool's slots become free. It is 0 while the
// service's work is unknown.
func (s *Scheduler) expectedWait(w *waiter) time.Duration {
	mean := s.estimate(w.req.Service).all
	if w.slots == 0 {
		return 0
	}
	expected := time.Duration(float64(s.backlog.ahead(w)-s.overtaken(w)+1) * float64(mean) / float64(w.slots))
	if l := w.upstream; l != nil && l.limit > 0 {
		// The job's own upstream may have a shorter queue than the others.
		expected = min(expected, time.Duration(float64(max(1, l.running+l.queued-l.limit))*float64(mean)/float64(l.limit)))
	}
	// Without new arrivals, a job waits for those ahead. With as many as now, it waits until its start tag is reached.
	return expected + max(0, s.tagWait(w)-expected)/2
}

// worthWaiting reports whether a job with an expected wait should wait, if it may wait for the given time. It answers
// sustained overload: a queue of jobs that end up too late serves nobody, and their callers learn nothing meanwhile.
func worthWaiting(expected, limit time.Duration) bool { return limit > 0 && expected <= limit }

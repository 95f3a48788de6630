package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/fairq"
	"github.com/boragelane/boragelane/internal/core/policy"
)

// WaitRecorder is told how long jobs waited for a slot, and how long they were expected to wait.
type WaitRecorder interface {
	RecordWait(service string, expected, actual time.Duration, served bool)
}

// fairClass identifies the waiting jobs among which the workspaces of a service share its slots.
type fairClass struct {
	service string
	late    bool
	rank    int
}

// workspaceWeights holds the shares of the workspaces in relation to each other.
type workspaceWeights struct {
	workspaces map[string]policy.Workspace
	meanRate   float64 // Of the workspaces that have a rate; 0 if none has.
}

func newWorkspaceWeights(p *policy.Policy) workspaceWeights {
	if p == nil {
		return workspaceWeights{}
	}
	w, n := workspaceWeights{workspaces: p.Workspaces}, 0
	for name := range p.Workspaces {
		if rate := p.Workspaces[name].Rate; rate > 0 {
			w.meanRate += rate
			n++
		}
	}
	w.meanRate /= float64(max(1, n))
	return w
}

// of returns the weight of a workspace: its rate as a multiple of the mean rate. With equal weights, a workspace that is
// entitled to a large part of the capacity would be refused most of its jobs whenever capacity is short. A workspace without
// a rate, and the jobs without a workspace, have the mean weight.
func (w *workspaceWeights) of(name string) float64 {
	if rate := w.workspaces[name].Rate; rate > 0 {
		return rate / w.meanRate
	}
	return 1
}

// classOf returns the class that a job belongs to as it arrives.
func classOf(w *waiter) fairClass {
	return fairClass{service: w.req.Service, late: w.late, rank: w.req.Rank}
}

// expectedCost returns the slot time that a job is expected to take, in seconds.
func (s *Scheduler) expectedCost(w *waiter, l *load) float64 {
	estimate := s.estimate(w.req.Service)
	if l == nil {
		return estimate.mean().Seconds()
	}
	return l.serviceTime(l.expectedWork(estimate, w.req.objectHash())).Seconds()
}

// startTag returns the start tag that an arriving job would get.
func (s *Scheduler) startTag(q *fairq.Queue, w *waiter) float64 {
	return q.Start(w.req.Workspace, s.weights.of(w.req.Workspace), s.expectedCost(w, w.upstream))
}

// chargeImmediate accounts for a job that got a slot without waiting while others wait.
func (s *Scheduler) chargeImmediate(w *waiter, g *Grant) {
	if q := s.classes[classOf(w)]; q != nil {
		q.Charge(w.req.Workspace, s.weights.of(w.req.Workspace), s.expectedCost(w, s.loads[g.Upstream.ID]))
	}
}

// addTicket orders a waiter, which was inserted at an index as the last of its class, among the jobs of its class.
func (s *Scheduler) addTicket(w *waiter, at int) {
	w.class = classOf(w)
	q := s.classes[w.class]
	if q == nil {
		q = &fairq.Queue{}
		s.classes[w.class] = q
	}
	w.ticket = q.Add(w.req.Workspace, s.weights.of(w.req.Workspace), s.expectedCost(w, w.upstream), w.seq)
	for i := at - 1; i >= 0; i-- {
		o := s.waiters[i]
		if o.class.service != w.class.service {
			continue // The order of different services doesn't change.
		}
		if o.class != w.class || o.ticket.Before(w.ticket) {
			return
		}
		s.waiters[i], s.waiters[at] = w, o
		at = i
	}
}

// removeTicket removes a waiter that was served from its class.
func (s *Scheduler) removeTicket(w *waiter) {
	q := s.classes[w.class]
	q.Serve(w.ticket)
	w.ticket = nil
	s.dropIdle(w.class, q)
}

func (s *Scheduler) dropIdle(class fairClass, q *fairq.Queue) {
	if q.Length == 0 {
		delete(s.classes, class)
	}
}

// drop removes a waiter that was not served from the queue.
func (s *Scheduler) drop(w *waiter) {
	s.waiters = slices.DeleteFunc(s.waiters, func(o *waiter) bool { return o == w })
	s.backlog.remove(w)
	q := s.classes[w.class]
	if q.Cancel(w.ticket) {
		s.reorder(w.class)
	}
	w.ticket = nil
	s.dropIdle(w.class, q)
}

// reorder sorts the waiters of a class within the indexes that they occupy.
func (s *Scheduler) reorder(class fairClass) {
	var indexes []int
	var list []*waiter
	for i, w := range s.waiters {
		if w.class == class {
			indexes, list = append(indexes, i), append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *waiter) int {
		if a.ticket.Before(b.ticket) {
			return -1
		}
		return 1
	})
	for i, at := range indexes {
		s.waiters[at] = list[i]
	}
}

// retryOldest retries the jobs that have waited longest where several workspaces wait, and where an upstream is given, only those
// of its service and while it has a free slot. It answers free slots that the first jobs of the queue don't take, because they
// expect to be served sooner elsewhere, while jobs of a heavy workspace are refused behind them. Jobs with an object keep waiting
// for the upstream that caches it: anywhere else they take several times as long and displace another object.
func (s *Scheduler) retryOldest(now time.Time, l *load, n int) {
	if l == nil && len(s.waiters) <= n {
		return // All of them were retried in the order of the queue.
	}
	oldest := make([]*waiter, 0, n+1)
	for _, w := range s.waiters {
		if w.req.objectHash() != 0 || l != nil && w.req.Service != l.upstream.Service || len(s.classes[w.class].Flows) < 2 || len(oldest) == n && w.seq > oldest[n-1].seq {
			continue
		}
		at, _ := slices.BinarySearchFunc(oldest, w, func(a, b *waiter) int { return cmp.Compare(a.seq, b.seq) })
		oldest = slices.Insert(oldest, at, w)
		oldest = oldest[:min(n, len(oldest))]
	}
	if len(oldest) > 0 {
		s.serveWaiters(func(w *waiter) bool {
			return (l == nil || l.running < l.limit) && slices.Contains(oldest, w) && s.tryServe(now, w)
		})
	}
}

// grantAnyFree grants any free slot to a job of one of several waiting workspaces at the end of its wait. The jobs that overtook it
// may have left slots free for which they don't wait. A job with an object gets none, as in retryOldest.
func (s *Scheduler) grantAnyFree(now time.Time, w *waiter) *Grant {
	if w.req.objectHash() != 0 || len(s.classes[w.class].Flows) < 2 {
		return nil
	}
	list := s.candidates(now, &w.req)
	at := Choose(withFreeSlot(list))
	if at < 0 {
		return nil
	}
	s.recordWait(now, w, true)
	s.waiters = slices.DeleteFunc(s.waiters, func(o *waiter) bool { return o == w })
	s.backlog.remove(w)
	s.removeTicket(w)
	w.setUpstream(nil)
	return s.grant(now, list[at].load, w)
}

// overtaken returns the number of waiting jobs of other workspaces that arrived before a job in its class and are served after
// it. It answers a workspace that fills the queue: without it, the others would be refused for a wait that they don't have.
func (s *Scheduler) overtaken(w *waiter) int {
	if w.ticket != nil {
		return s.classes[w.class].Behind(w.req.Workspace, w.ticket.Start, w.seq)
	}
	q := s.classes[classOf(w)]
	if q == nil {
		return 0
	}
	return q.Behind(w.req.Workspace, s.startTag(q, w), w.seq)
}

// tagWait returns the time until the slots have done the work before a job's start tag, if several workspaces wait: jobs that
// arrive later overtake it where their workspaces use less than their shares.
func (s *Scheduler) tagWait(w *waiter) time.Duration {
	q := s.classes[classOf(w)]
	if q == nil || w.slots == 0 || q.Waits() < 2 {
		return 0
	}
	start := s.startTag(q, w)
	if w.ticket != nil {
		start = w.ticket.Start
	}
	return time.Duration((start - q.Virtual) * q.Weight() / float64(w.slots) * float64(time.Second))
}

// displace refuses a waiting job of the heaviest workspace of an arriving job's class, if that job can no longer be served in
// time and delays the arriving one. It answers a workspace whose jobs filled the queue before the others came: they are
// overtaken and would only learn at the end of their wait that they are refused.
func (s *Scheduler) displace(now time.Time, w *waiter) bool {
	q := s.classes[classOf(w)]
	if q == nil || w.upstream == nil {
		return false
	}
	start := s.startTag(q, w)
	f := q.Heaviest(w.req.Workspace, start-q.Virtual)
	if f == nil {
		return false
	}
	checks := 0
	for _, victim := range slices.Backward(s.waiters) {
		if victim.ticket.Flow != f || victim.ticket.Start > start && victim.upstream != w.upstream {
			continue
		}
		if checks++; checks > maxDisplaceChecks {
			return false
		}
		if s.doomed(now, q, victim) {
			s.drop(victim)
			victim.refusal = s.refuse(now, victim)
			s.counts(victim.req.Service).displaced++
			s.recordWait(now, victim, false)
			victim.ready <- nil
			return true
		}
	}
	return false
}

// maxDisplaceChecks bounds the waiting jobs that are examined for one arriving job.
const maxDisplaceChecks = 16

// doomed reports whether a waiting job is expected to get its slot only after the end of its wait.
func (s *Scheduler) doomed(now time.Time, q *fairq.Queue, w *waiter) bool {
	ahead := q.Ahead(w.ticket) + s.backlog.ahead(w) - q.Length
	mean := s.estimate(w.req.Service).all
	return w.slots > 0 && now.Add(time.Duration(float64(ahead+1)*float64(mean)/float64(w.slots))).After(w.until)
}

// recordWait reports the wait of a job that ends.
func (s *Scheduler) recordWait(now time.Time, w *waiter, served bool) {
	if s.Waits != nil && !w.enqueued.IsZero() {
		s.Waits.RecordWait(w.req.Service, w.expected, now.Sub(w.enqueued), served)
	}
}

package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// The floods are simulated in virtual time. No clock is read, so each run gives the same results.

const (
	simUpstreams   = 12
	simSlots       = 4
	simServiceTime = 5 * time.Millisecond
	simDuration    = 8 * time.Second
	simWarmUp      = 2 * time.Second
	simCapacity    = simUpstreams * simSlots * 200.0 // Jobs per second at simServiceTime.
)

var simMinimum = []float64{0, 0.2, 0.1}

type simEvent struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// simRank is the load of one rank and its results.
type simRank struct {
	rate       float64       // Arrival rate as a fraction of simCapacity.
	from       time.Duration // Start of the load, since the start of the simulation.
	to         time.Duration // End of the load; see from.
	timeout    time.Duration
	costFactor float64 // Mean service time as a multiple of simServiceTime.

	sent, done, refused int
	busy                time.Duration
	latencies           []time.Duration
	waiting             []*Waiter
}

type simulation struct {
	sched     *Scheduler
	rng       *rand.Rand
	queue     simQueue
	seq       int
	start     time.Time
	ranks     []*simRank
	fifo      bool // All jobs are queued at one rank, as a FIFO baseline.
	countFrom time.Duration
}

func simPlan(minimum []float64, queue int) *plan.Plan {
	p := &plan.Plan{Doc: &spec.Document{}, Services: map[string]*plan.Service{}, Capacity: share.Quota{Floor: 1 << 30}}
	for i, m := range minimum {
		p.Doc.Ranks = append(p.Doc.Ranks, spec.Rank{Name: fmt.Sprint("r", i), Minimum: m, Queue: queue})
	}
	svc := &plan.Service{Service: spec.Service{Name: "s"}}
	for i := range simUpstreams {
		svc.Upstreams = append(svc.Upstreams, plan.Upstream{ID: fmt.Sprintf("u%02d", i), Slots: share.Quota{Floor: simSlots}})
	}
	p.Services["s"] = svc
	return p
}

func newSimulation(minimum []float64, ranks ...*simRank) *simulation {
	s := &simulation{sched: NewScheduler(), rng: rand.New(rand.NewPCG(7, 7)), start: time.Unix(1000, 0), ranks: ranks}
	s.sched.Update(s.start, simPlan(minimum, 2000))
	return s
}

func (s *simulation) at(t time.Time, run func(time.Time)) {
	s.seq++
	heap.Push(&s.queue, simEvent{t, s.seq, run})
}

func (s *simulation) run() {
	for level, r := range s.ranks {
		if r.rate > 0 {
			s.at(s.start.Add(r.from), func(now time.Time) { s.arrive(now, level) })
		}
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		e.run(e.at)
	}
}

func (s *simulation) arrive(now time.Time, level int) {
	r := s.ranks[level]
	if now.Sub(s.start) >= r.to {
		return
	}
	s.at(now.Add(time.Duration(s.rng.ExpFloat64()/(r.rate*simCapacity)*float64(time.Second))), func(n time.Time) { s.arrive(n, level) })
	w := &Waiter{Service: "s", Level: level, Deadline: now.Add(r.timeout), Ready: make(chan Decision, 1)}
	if s.fifo {
		w.Level = 0
	}
	counted := now.Sub(s.start) >= s.countFrom
	if counted {
		r.sent++
	}
	if s.sched.Enqueue(now, w) != NotRefused {
		if counted {
			r.refused++
		}
		return
	}
	r.waiting = append(r.waiting, w)
	s.startAdmitted(now)
}

// startAdmitted starts the jobs that the scheduler admitted; it admits the jobs of each rank in order.
func (s *simulation) startAdmitted(now time.Time) {
	for level, r := range s.ranks {
		for len(r.waiting) > 0 {
			w := r.waiting[0]
			select {
			case d := <-w.Ready:
				r.waiting = r.waiting[1:]
				s.startJob(now, level, w, d)
				continue
			default:
			}
			break
		}
	}
}

func (s *simulation) startJob(now time.Time, level int, w *Waiter, d Decision) {
	r := s.ranks[level]
	arrived := w.Deadline.Add(-r.timeout)
	counted := arrived.Sub(s.start) >= s.countFrom
	if !d.Admitted {
		if counted {
			r.refused++
		}
		return
	}
	took := time.Duration((0.5 + s.rng.Float64()) * max(r.costFactor, 0.01) * float64(simServiceTime))
	s.at(now.Add(took), func(n time.Time) {
		s.sched.Release(n, "s", d.Upstream, w.Level, took, Done)
		r.busy += took
		if counted && !n.After(w.Deadline) {
			r.done++
			r.latencies = append(r.latencies, n.Sub(arrived))
		}
		s.startAdmitted(n)
	})
}

func (r *simRank) p99() time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

func rank(rate float64, timeout time.Duration) *simRank {
	return &simRank{rate: rate, to: simDuration, timeout: timeout, costFactor: 1}
}

func simulate(minimum []float64, fifo bool, ranks ...*simRank) []*simRank {
	s := newSimulation(minimum, ranks...)
	s.fifo, s.countFrom = fifo, simWarmUp
	s.run()
	return ranks
}

func logResults(t *testing.T, name string, ranks []*simRank) float64 {
	var total float64
	for i, r := range ranks {
		total += float64(r.done)
		t.Logf("%-34s rank %d: offered %6d, in time %6d (%5.1f%%), refused %6d, late %4d, p99 %8s", name, i, r.sent, r.done,
			100*float64(r.done)/float64(max(1, r.sent)), r.refused, r.sent-r.done-r.refused, r.p99().Round(10*time.Microsecond))
	}
	return total / (simDuration - simWarmUp).Seconds() / simCapacity
}

func floodLowestRank(minimum []float64, fifo bool) []*simRank {
	return simulate(minimum, fifo, rank(0.4, time.Second), rank(0.2, time.Second), rank(5, 2*time.Second))
}

func floodTopRank(minimum []float64, fifo bool) []*simRank {
	return simulate(minimum, fifo, rank(5, time.Second), rank(0.3, time.Second), rank(0.2, 2*time.Second))
}

func TestFloodOfTheLastRankLeavesTheTopAlone(t *testing.T) {
	noFlood := simulate(simMinimum, false, rank(0.4, time.Second), rank(0.2, time.Second), rank(0.2, 2*time.Second))
	base := logResults(t, "no flood", noFlood)
	flood := floodLowestRank(simMinimum, false)
	total := logResults(t, "flood of the last", flood)
	fifo := floodLowestRank(simMinimum, true)
	logResults(t, "flood of the last, baseline FIFO", fifo)
	strict := floodLowestRank([]float64{0, 0, 0}, false)
	logResults(t, "flood of the last, baseline strict", strict)

	top := flood[0]
	assert.Assert(t, float64(top.done) >= 0.99*float64(top.sent), "the top rank kept %d of %d", top.done, top.sent)
	ratio := float64(top.p99()) / float64(noFlood[0].p99())
	t.Logf("p99 of the top rank: %.2f of that without a flood; FIFO %.2f", ratio, float64(fifo[0].p99())/float64(noFlood[0].p99()))
	assert.Assert(t, ratio <= 1.25, "p99 of the top rank rose to %.2f of that without a flood", ratio)
	assert.Assert(t, total >= 0.95, "in all %.3f of the capacity was useful, %.3f without a flood", total, base)
}

func TestFloodOfTheTopRankLeavesTheOthersTheirMinimum(t *testing.T) {
	flood := floodTopRank(simMinimum, false)
	total := logResults(t, "flood of the top", flood)
	logResults(t, "flood of the top, baseline FIFO", floodTopRank(simMinimum, true))
	strict := floodTopRank([]float64{0, 0, 0}, false)
	logResults(t, "flood of the top, baseline strict", strict)

	for i, r := range flood[1:] {
		got := float64(r.busy) / float64(simDuration) / (simUpstreams * simSlots)
		t.Logf("rank %d had %.3f of the slots, its minimum is %.3f", i+1, got, simMinimum[i+1])
		assert.Assert(t, got >= 0.95*simMinimum[i+1], "rank %d had %.3f of the slots", i+1, got)
	}
	assert.Assert(t, total >= 0.95, "in all %.3f of the capacity was useful", total)
}

func TestFloodOfBothEnds(t *testing.T) {
	flood := simulate(simMinimum, false, rank(3, time.Second), rank(0.3, time.Second), rank(3, 2*time.Second))
	total := logResults(t, "flood of both", flood)
	for i, r := range flood[1:] {
		got := float64(r.busy) / float64(simDuration) / (simUpstreams * simSlots)
		assert.Assert(t, got >= 0.95*simMinimum[i+1], "rank %d had %.3f of the slots", i+1, got)
	}
	assert.Assert(t, total >= 0.95, "in all %.3f of the capacity was useful", total)
}

func TestSlowJobsOfTheLastRankDoNotExceedTheirMinimumInAFlood(t *testing.T) {
	last := rank(2, 4*time.Second)
	last.costFactor = 10
	flood := simulate(simMinimum, false, rank(2, time.Second), rank(0.3, time.Second), last)
	logResults(t, "slow jobs of the last rank", flood)
	got := float64(last.busy) / float64(simDuration) / (simUpstreams * simSlots)
	t.Logf("the last rank had %.3f of the slots", got)
	assert.Assert(t, got >= 0.95*simMinimum[2] && got <= 1.3*simMinimum[2])
}

func TestTheLastRankFinishesAfterAFlood(t *testing.T) {
	top := rank(5, time.Second)
	top.to = 5 * time.Second
	last := rank(0.5, 2*time.Second)
	last.from, last.to = 5500*time.Millisecond, 8*time.Second
	simulate(simMinimum, false, top, rank(0, time.Second), last)
	assert.Assert(t, float64(last.done) >= 0.999*float64(last.sent), "%d of %d", last.done, last.sent)
}

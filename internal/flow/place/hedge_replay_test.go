package place

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// happening is an event of a replay.
type happening struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

// agenda is the heap of the events to come.
type agenda []happening

func (q agenda) Len() int { return len(q) }
func (q agenda) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q agenda) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *agenda) Push(x any)   { *q = append(*q, x.(happening)) }
func (q *agenda) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// tailReplay replays a pool of upstreams: hits take 235 ms and misses 780 ms, 15 in 100 upstreams, drawn anew every 600 ms, take
// 2.5 times as long, and 3 in 100 runs 7 times. Jobs that would have to wait are refused.
type tailReplay struct {
	sched    *Scheduler
	random   *rand.Rand
	agenda   agenda
	seq      int
	caches   map[string][]string // The objects that each upstream has cached, the newest last.
	slow     map[string]bool
	hedging  bool
	jobs     int
	started  int // Jobs that were not refused.
	inTime   int // Jobs that were answered within their objective.
	answered int
	hedges   int
}

const (
	tailUpstreams = 30
	tailRate      = 240 // Jobs a second.
	tailCache     = 30  // Objects.
	tailObjective = 600 * time.Millisecond
	tailDeadline  = 1500 * time.Millisecond
	tailSpan      = 20 * time.Second
)

// hedgedJob is a job of the replay with its attempts.
type hedgedJob struct {
	start    time.Time
	object   string
	answered bool
	running  map[*Grant]time.Time // When each of its attempts began.
}

func (r *tailReplay) after(now time.Time, d time.Duration, do func(now time.Time)) {
	r.seq++
	heap.Push(&r.agenda, happening{at: now.Add(d), seq: r.seq, do: do})
}

// redraw draws the slow upstreams.
func (r *tailReplay) redraw(now time.Time) {
	for i := range tailUpstreams {
		r.slow[fmt.Sprint("u", i)] = r.random.Float64() < 0.15
	}
	r.after(now, 600*time.Millisecond, r.redraw)
}

// acquire requests a slot. The scheduler knows how slow each upstream is at the moment.
func (r *tailReplay) acquire(canceled context.Context, now time.Time, req Request) *Grant {
	for id, l := range r.sched.loads {
		l.slowdown = 1
		if r.slow[id] {
			l.slowdown = 2.5
		}
	}
	g, _ := r.sched.Acquire(canceled, now, req)
	return g
}

// work returns the time of a run.
func (r *tailReplay) work(upstream, object string) time.Duration {
	d := 780 * time.Millisecond
	if slices.Contains(r.caches[upstream], object) {
		d = 235 * time.Millisecond
	}
	d = time.Duration(float64(d) * (0.9 + 0.2*r.random.Float64()))
	if r.slow[upstream] {
		d = d * 5 / 2
	}
	if r.random.Float64() < 0.03 {
		d *= 7
	}
	return d
}

// cache notes that an upstream has run a job with an object.
func (r *tailReplay) cache(upstream, object string) {
	list := slices.DeleteFunc(r.caches[upstream], func(o string) bool { return o == object })
	list = append(list, object)
	r.caches[upstream] = list[max(0, len(list)-tailCache):]
}

// run starts an attempt, which ends with its work, at the deadline, or when another one is answered.
func (r *tailReplay) run(now time.Time, j *hedgedJob, g *Grant) {
	j.running[g] = now
	r.after(now, r.work(g.Upstream.ID, j.object), func(now time.Time) {
		if _, ok := j.running[g]; !ok {
			return
		}
		r.end(now, j, g, false)
		r.cache(g.Upstream.ID, j.object)
		r.answered++
		if now.Sub(j.start) <= tailObjective {
			r.inTime++
		}
		j.answered = true
		for other := range j.running {
			r.end(now, j, other, true)
		}
	})
	r.after(j.start, tailDeadline, func(now time.Time) { r.end(now, j, g, true) })
}

func (r *tailReplay) end(now time.Time, j *hedgedJob, g *Grant, cut bool) {
	if began, ok := j.running[g]; ok {
		delete(j.running, g)
		r.sched.Release(now, g, Result{Duration: now.Sub(began), Succeeded: !cut, Inconclusive: cut})
	}
}

func (r *tailReplay) arrive(canceled context.Context, now time.Time, objects *rand.Zipf) {
	r.after(now, time.Duration(r.random.ExpFloat64()/tailRate*float64(time.Second)), func(now time.Time) { r.arrive(canceled, now, objects) })
	r.jobs++
	j := &hedgedJob{start: now, object: fmt.Sprint(objects.Uint64()), running: map[*Grant]time.Time{}}
	req := newRequest(now)
	req.Object, req.Objective, req.Deadline = j.object, now.Add(tailObjective), now.Add(tailDeadline)
	g := r.acquire(canceled, now, req)
	if g == nil {
		return
	}
	r.started++
	r.run(now, j, g)
	if g.HedgeAfter == 0 || !r.hedging {
		return
	}
	r.after(now, g.HedgeAfter, func(now time.Time) {
		if j.answered || float64(r.hedges+1) > 0.08*float64(r.jobs) {
			return
		}
		req.NoWait = true
		if g := r.acquire(canceled, now, req); g != nil {
			r.hedges++
			r.run(now, j, g)
		}
	})
}

// tailSeeds is the number of replays of each kind, whose results vary by 0.01 each.
const tailSeeds = 4

// replayTail adds up replays of the load with or without second attempts.
func replayTail(hedging bool) *tailReplay {
	sum := &tailReplay{}
	for seed := range tailSeeds {
		r := replayTailOnce(uint64(seed), hedging)
		sum.jobs, sum.started, sum.inTime = sum.jobs+r.jobs, sum.started+r.started, sum.inTime+r.inTime
		sum.answered, sum.hedges = sum.answered+r.answered, sum.hedges+r.hedges
	}
	return sum
}

func replayTailOnce(seed uint64, hedging bool) *tailReplay {
	var list []*roster.Upstream
	for i := range tailUpstreams {
		u := upstream(fmt.Sprint("u", i), "a", "east")
		u.Slots = 6
		list = append(list, u)
	}
	r := &tailReplay{
		sched: newTestScheduler(list...), random: rand.New(rand.NewPCG(seed, 2)), caches: map[string][]string{}, slow: map[string]bool{}, hedging: hedging,
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	r.redraw(at(0))
	r.arrive(canceled, at(0), rand.NewZipf(r.random, 1.1, 3, 700))
	for r.agenda[0].at.Before(at(tailSpan)) {
		h := heap.Pop(&r.agenda).(happening)
		h.do(h.at)
	}
	return r
}

// Guards against second attempts that cost more than they bring: they must save two of five jobs that would run without
// an answer, answer more jobs in time, and stay few.
func TestSecondAttemptsAnswerMoreJobsInTime(t *testing.T) {
	without, with := replayTail(false), replayTail(true)
	inTime := func(r *tailReplay) float64 { return float64(r.inTime) / float64(r.jobs) }
	lost := func(r *tailReplay) float64 { return 1 - float64(r.answered)/float64(r.started) }
	hedges := float64(with.hedges) / float64(with.jobs)
	t.Logf("in time %.3f and %.3f, lost %.3f and %.3f, second attempts %.3f", inTime(without), inTime(with), lost(without), lost(with), hedges)
	assert.Assert(t, inTime(with) > inTime(without)+0.008)
	assert.Assert(t, lost(with) < 0.6*lost(without))
	assert.Assert(t, hedges > 0.02 && hedges < 0.08)
}

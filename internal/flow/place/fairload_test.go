package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// replayCaller is a source of jobs in a loadReplay.
type replayCaller struct {
	Workspace string
	Rank      int
	Service   string                        // "s" if empty.
	Rate      func(t time.Duration) float64 // Jobs a second.
	Objects   int                           // The number of objects that the jobs are for; 0 for none.
	Objective time.Duration                 // Drawn if 0.
	RetryNow  bool                          // Refused jobs return at once instead of after Retry-After.
}

// replayCount counts the jobs of one caller.
type replayCount struct {
	offered, served, onTime int
	refusals, returned      int
	lost                    int // Refused twice.
}

func (c *replayCount) add(o replayCount) {
	c.offered, c.served, c.onTime = c.offered+o.offered, c.served+o.served, c.onTime+o.onTime
	c.refusals, c.returned, c.lost = c.refusals+o.refusals, c.returned+o.returned, c.lost+o.lost
}

func (c *replayCount) share() float64 { return float64(c.served) / float64(max(1, c.offered)) }

// replayJob is one attempt of a job in a loadReplay.
type replayJob struct {
	caller  int
	counted bool // The job arrived in the measured time.
	again   bool
	born    time.Time
	object  string
	w       *waiter
	until   time.Time
}

// replayEvent is something that happens at a time of a loadReplay.
type replayEvent struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *replayEvents) Push(x any) { *e = append(*e, x.(replayEvent)) }

// Pop removes the last event.
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadReplay runs a scheduler in virtual time with callers that come, wait, are refused and return once.
type loadReplay struct {
	sched     *Scheduler
	random    *rand.Rand
	callers   []replayCaller
	counts    []replayCount
	work      func(r *rand.Rand) time.Duration
	objective func(r *rand.Rand) time.Duration
	deadline  time.Duration
	from, end time.Duration // The measured time.
	after     time.Duration // How long new jobs arrive after that.
	observe   func(now time.Time, what string, j *replayJob, value any)
	onStep    func(now time.Time)

	events  replayEvents
	lastSeq int
	waiting []*replayJob
	used    int // Sum over the ticks in the measured time of the slots in use, and of all slots.
	slots   int
	wasted  int // Free slots that were seen as jobs were refused.
}

func newLoadReplay(seed uint64, upstreams, slots int, callers ...replayCaller) *loadReplay {
	var list []*roster.Upstream
	for i := range upstreams {
		u := upstream(fmt.Sprint("u", i), "a", "east")
		u.Slots = slots
		list = append(list, u)
	}
	return &loadReplay{
		sched: newTestScheduler(list...), random: rand.New(rand.NewPCG(seed, 7)), callers: callers, counts: make([]replayCount, len(callers)),
		work:      func(r *rand.Rand) time.Duration { return time.Duration(520+r.IntN(1160)) * time.Millisecond },
		objective: func(r *rand.Rand) time.Duration { return time.Duration(1700+r.IntN(800)) * time.Millisecond },
		deadline:  4 * time.Second, from: 4 * time.Second, end: 14 * time.Second, after: 4 * time.Second,
		observe: func(time.Time, string, *replayJob, any) {}, onStep: func(time.Time) {},
	}
}

// utilization returns the share of the slot time that was used.
func (r *loadReplay) utilization() float64 { return float64(r.used) / float64(r.slots) }

func (r *loadReplay) schedule(at time.Time, do func(now time.Time)) {
	r.lastSeq++
	heap.Push(&r.events, replayEvent{at: at, seq: r.lastSeq, do: do})
}

// run plays all callers until the last job has ended.
func (r *loadReplay) run() {
	for i := range r.callers {
		r.next(i, at(0))
	}
	var tick func(now time.Time)
	tick = func(now time.Time) {
		r.sched.Tick(now)
		if t := now.Sub(at(0)); t >= r.from && t < r.end {
			for _, l := range r.sched.loads {
				r.used += l.running
				r.slots += l.upstream.Slots
			}
		}
		r.schedule(now.Add(25*time.Millisecond), tick)
	}
	tick(at(0))
	for len(r.events) > 0 && r.events[0].at.Before(at(r.end+r.after+3*r.deadline)) {
		e := heap.Pop(&r.events).(replayEvent)
		e.do(e.at)
		r.collect(e.at)
		r.onStep(e.at)
	}
}

// next schedules the next job of a caller.
func (r *loadReplay) next(i int, now time.Time) {
	c := &r.callers[i]
	rate := c.Rate(now.Sub(at(0)))
	if rate <= 0 {
		r.schedule(now.Add(50*time.Millisecond), func(now time.Time) { r.next(i, now) })
		return
	}
	gap := min(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), 200*time.Millisecond)
	r.schedule(now.Add(gap), func(now time.Time) {
		since := now.Sub(at(0))
		if since >= r.end+r.after {
			return
		}
		if gap < 200*time.Millisecond {
			j := &replayJob{caller: i, born: now, counted: since >= r.from && since < r.end}
			if c.Objects > 0 {
				j.object = fmt.Sprint(r.random.IntN(c.Objects))
			}
			if j.counted {
				r.counts[i].offered++
			}
			r.arrive(now, j)
		}
		r.next(i, now)
	})
}

// arrive starts an attempt of a job.
func (r *loadReplay) arrive(now time.Time, j *replayJob) {
	c := &r.callers[j.caller]
	req := newRequest(now)
	if c.Service != "" {
		req.Service = c.Service
	}
	req.Workspace, req.Rank, req.Object = c.Workspace, c.Rank, j.object
	objective := r.objective(r.random)
	if c.Objective > 0 {
		objective = c.Objective
	}
	req.Objective, req.Deadline = now.Add(objective), now.Add(r.deadline)
	j.w = &waiter{req: req, ready: make(chan *Grant, 1)}
	g, refusal, until := r.sched.reserveOrEnqueue(now, j.w)
	switch {
	case g != nil:
		r.start(now, j, g)
	case !until.After(now):
		r.refused(now, j, refusal)
	default:
		j.until = until
		r.waiting = append(r.waiting, j)
		r.observe(now, "waits", j, until)
		r.schedule(until, func(now time.Time) {
			if at := slices.Index(r.waiting, j); at >= 0 && j.until.Equal(until) {
				r.waiting = slices.Delete(r.waiting, at, at+1)
				if g, refusal := r.sched.cancelWait(now, j.w); g != nil {
					r.start(now, j, g)
				} else {
					r.refused(now, j, refusal)
				}
			}
		})
	}
}

// collect takes up the jobs that were granted a slot, or displaced, while they waited.
func (r *loadReplay) collect(now time.Time) {
	r.waiting = slices.DeleteFunc(r.waiting, func(j *replayJob) bool {
		select {
		case g := <-j.w.ready:
			if g == nil {
				r.refused(now, j, j.w.refusal)
			} else {
				r.start(now, j, g)
			}
			return true
		default:
			return false
		}
	})
}

func (r *loadReplay) start(now time.Time, j *replayJob, g *Grant) {
	r.observe(now, "starts", j, g.Upstream.ID)
	took := r.work(r.random)
	r.schedule(now.Add(took), func(now time.Time) {
		if j.counted {
			r.counts[j.caller].served++
			if !now.After(j.w.req.Objective) {
				r.counts[j.caller].onTime++
			}
		}
		r.sched.Release(now, g, good(took))
	})
}

func (r *loadReplay) refused(now time.Time, j *replayJob, refusal Refusal) {
	r.observe(now, "refused", j, refusal.RetryAfter)
	c := &r.counts[j.caller]
	if j.counted {
		c.refusals++
	}
	if j.again {
		if j.counted {
			c.lost++
		}
		return
	}
	if j.counted {
		c.returned++
	}
	after := max(100*time.Millisecond, refusal.RetryAfter) + time.Duration(r.callers[j.caller].Rank)*150*time.Millisecond + time.Duration(r.random.IntN(150))*time.Millisecond // As flow/serve does.
	if r.callers[j.caller].RetryNow {
		after = time.Millisecond
	}
	r.schedule(now.Add(after), func(now time.Time) {
		r.arrive(now, &replayJob{caller: j.caller, born: j.born, object: j.object, counted: j.counted, again: true})
	})
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

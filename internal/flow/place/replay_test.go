package place

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// scenario describes the jobs and upstreams of one pool that are replayed against a scheduler in virtual time. An upstream caches an object
// when the first job with it ends.
type scenario struct {
	upstreams, slots, cacheSize, objects int
	perSecond                            float64
	skew                                 float64 // Zipf exponent of the objects' popularity.
	work                                 time.Duration
	hitShare                             float64 // The share of its work that a job with a cached object takes.
	objective, deadline, length          time.Duration
	slowShare, slowFactor                float64 // Upstreams that are slow, drawn anew every epoch, and how long their work takes.
	epoch                                time.Duration
	longShare, longFactor                float64 // Jobs that take longer, a property of the run.
	cachedAtStart                        bool    // An upstream caches an object when the first job with it starts, and not when it ends.
	integrated                           bool    // The speed of a job follows the upstream's; otherwise it is that at the job's start.
	report                               func(r *replay, now time.Duration, u *simulated) float64
	seed                                 uint64
}

// deploymentL is the first service of deployment L, in the pool of the largest region.
func deploymentL() scenario {
	return scenario{
		upstreams: 78, slots: 6, cacheSize: 25, objects: 323, perSecond: 1294 * 78 / 160., skew: 0.8, work: 780 * time.Millisecond, hitShare: 0.3,
		objective: 600 * time.Millisecond, deadline: 5 * time.Second, length: 12 * time.Second, slowShare: 0.15, slowFactor: 2.5, epoch: 600 * time.Millisecond,
		longShare: 0.03, longFactor: 7, seed: 1, report: truePace,
	}
}

func truePace(r *replay, now time.Duration, u *simulated) float64 { return r.pace(now, u) }

func noPace(*replay, time.Duration, *simulated) float64 { return 0 }

// simulated is an upstream of a replay.
type simulated struct {
	index   int
	cache   lruCache
	running int
}

// outcome is the end of one replayed job.
type outcome struct {
	arrived, took time.Duration // took is 0 for a refused job.
	hit, slow     bool
}

type replay struct {
	scenario
	sched    *Scheduler
	ups      map[string]*simulated
	random   *rand.Rand
	weights  []float64
	events   eventHeap
	waiting  []*replayWaiter
	lastSeq  int
	outcomes []outcome
	onStart  func(now time.Duration, w *replayWaiter, g *Grant, hit bool)
	onEnd    func(now time.Duration, u *simulated, r *Result)
}

// replayWaiter is a job of a replay.
type replayWaiter struct {
	*waiter
	arrived time.Duration
	done    bool // It was started or refused.
}

type event struct {
	at  time.Duration
	seq int
	run func(now time.Duration)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newReplay(c scenario) *replay {
	r := &replay{scenario: c, ups: map[string]*simulated{}, random: rand.New(rand.NewPCG(c.seed, 7))}
	var list []*roster.Upstream
	for i := range c.upstreams {
		u := upstream(fmt.Sprint("u", i), string(rune('a'+i%2)), "east")
		u.Slots = c.slots
		list = append(list, u)
		r.ups[u.ID] = &simulated{index: i}
	}
	r.sched = newTestScheduler(list...)
	total := 0.0
	for i := range c.objects {
		total += math.Pow(float64(i+1), -c.skew)
		r.weights = append(r.weights, total)
	}
	return r
}

// schedule adds an event.
func (r *replay) schedule(at time.Duration, run func(now time.Duration)) {
	r.lastSeq++
	heap.Push(&r.events, event{at: at, seq: r.lastSeq, run: run})
}

// run replays the scenario.
func (r *replay) run() {
	r.schedule(0, r.arrive)
	r.schedule(0, r.tick)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.run(e.at)
		r.collect(e.at)
	}
}

// collect starts the waiting jobs that got a grant.
func (r *replay) collect(now time.Duration) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w *replayWaiter) bool {
		select {
		case g := <-w.ready:
			w.done = true
			r.start(now, w, g)
		default:
		}
		return w.done
	})
}

func (r *replay) tick(now time.Duration) {
	r.sched.Tick(at(now))
	if now < r.length {
		r.schedule(now+25*time.Millisecond, r.tick)
	}
}

func (r *replay) arrive(now time.Duration) {
	if next := now + time.Duration(r.random.ExpFloat64()/r.perSecond*float64(time.Second)); next < r.length {
		r.schedule(next, r.arrive)
	}
	x, object := r.random.Float64()*r.weights[len(r.weights)-1], 0
	for r.weights[object] < x {
		object++
	}
	req := newRequest(at(now))
	req.Host.Domain = string(rune('a' + r.random.IntN(2)))
	req.Object, req.Objective, req.Deadline = fmt.Sprint("o", object), at(now+r.objective), at(now+r.deadline)
	w := &replayWaiter{waiter: &waiter{req: req, ready: make(chan *Grant, 1)}, arrived: now}
	g, _, until := r.sched.reserveOrEnqueue(at(now), w.waiter)
	switch {
	case g != nil:
		r.start(now, w, g)
	case !until.After(at(now)):
		r.outcomes = append(r.outcomes, outcome{arrived: now})
	default:
		r.waiting = append(r.waiting, w)
		r.schedule(until.Sub(start), func(now time.Duration) { r.expire(now, w) })
	}
}

// expire ends the wait of a job that got no slot in time.
func (r *replay) expire(now time.Duration, w *replayWaiter) {
	if w.done {
		return
	}
	w.done = true
	if g, _ := r.sched.cancelWait(at(now), w.waiter); g != nil {
		r.start(now, w, g)
		return
	}
	r.outcomes = append(r.outcomes, outcome{arrived: w.arrived})
}

// pace returns how long work takes on an upstream at a time, relative to the usual.
func (r *replay) pace(now time.Duration, u *simulated) float64 {
	if r.slowShare == 0 {
		return 1
	}
	if rand.New(rand.NewPCG(uint64(now/r.epoch), r.seed<<32|uint64(u.index))).Float64() < r.slowShare {
		return r.slowFactor
	}
	return 1
}

// duration returns how long work takes on an upstream if it starts now.
func (r *replay) duration(now time.Duration, u *simulated, work time.Duration) time.Duration {
	if !r.integrated {
		return time.Duration(r.pace(now, u) * float64(work))
	}
	begin := now
	for work > 0 {
		end, pace := (now/r.epoch+1)*r.epoch, r.pace(now, u)
		if need := time.Duration(pace * float64(work)); now+need <= end {
			return now + need - begin
		}
		work -= time.Duration(float64(end-now) / pace)
		now = end
	}
	return now - begin
}

func (r *replay) start(now time.Duration, w *replayWaiter, g *Grant) {
	u := r.ups[g.Upstream.ID]
	u.running++
	work, hit := float64(r.work)*(0.9+0.2*r.random.Float64()), false
	for _, o := range u.cache {
		hit = hit || o == w.req.Object
	}
	if r.onStart != nil {
		r.onStart(now, w, g, hit)
	}
	if hit {
		work *= r.hitShare
	}
	if hit || r.cachedAtStart {
		u.cache.use(w.req.Object, r.cacheSize)
	}
	if r.random.Float64() < r.longShare {
		work *= r.longFactor
	}
	rtt := initialRTT[localityOf(&w.req.Host, g.Upstream)]
	took := r.duration(now, u, time.Duration(work)) + rtt
	slow := r.pace(now, u) > 1
	result := Result{Duration: took, Succeeded: true}
	if limit := w.arrived + r.deadline - now; took > limit {
		result = Result{Duration: limit, Inconclusive: true}
	}
	r.schedule(now+result.Duration, func(now time.Duration) {
		u.running--
		if result.Succeeded {
			u.cache.use(w.req.Object, r.cacheSize)
			result.Pace = r.report(r, now, u)
		}
		if r.onEnd != nil {
			r.onEnd(now, u, &result)
		}
		r.sched.Release(at(now), g, result)
		o := outcome{arrived: w.arrived, hit: hit, slow: slow}
		if result.Succeeded {
			o.took = now - w.arrived
		}
		r.outcomes = append(r.outcomes, o)
	})
}

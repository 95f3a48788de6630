package serve

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// HedgeResult is what came of a second attempt.
type HedgeResult string

// Results of second attempts.
const (
	// HedgeWon means that the second attempt was answered first.
	HedgeWon HedgeResult = "won"
	// HedgeLost means that the first attempt was answered first.
	HedgeLost HedgeResult = "lost"
	// HedgeFailed means that neither attempt had an answer that counts.
	HedgeFailed HedgeResult = "failed"
	// HedgeUnplaced means that no upstream had a slot for it that was free.
	HedgeUnplaced HedgeResult = "no-slot"
	// HedgeUnpaid means that the retry budget had no room for it.
	HedgeUnpaid HedgeResult = "no-budget"
	// HedgeUnneeded means that the first attempt ended while the second one was being placed.
	HedgeUnneeded HedgeResult = "unneeded"
)

// Hedge describes a second attempt that became due.
type Hedge struct {
	Result    HedgeResult
	Threshold time.Duration    // The time after which a second attempt pays off.
	Delay     time.Duration    // The time from the sending of the first attempt to that of the second; 0 if it was not sent.
	First     *roster.Upstream // The upstream of the first attempt.
	Second    *roster.Upstream // The upstream of the second attempt; nil if it was not sent.
}

// racer is one of the attempts of a job that run at the same time.
type racer struct {
	job    pipe.Job // The attempt's own copy.
	sent   atomic.Pointer[place.Grant]
	sentAt time.Time   // Valid once sent is set.
	unsent HedgeResult // Why the attempt was not sent; valid once it has ended.
	ended  bool        // Of the goroutine that waits for the attempts.
	cancel context.CancelCauseFunc
	detach func() bool // Keeps the attempt running when the job's context ends; it returns false if that has ended.
}

// won reports whether the attempt has the answer: the first complete one that is not a server error.
func (r *racer) won() bool {
	return r.job.Outcome.Kind == pipe.Answered && r.job.Answer.Status < http.StatusInternalServerError
}

// mayHedge reports whether a job may get a second attempt while the first one runs. The second one counts against the upstreams
// that the route allows also if it runs on the same one.
func mayHedge(job *pipe.Job, g *place.Grant) bool {
	return !job.Once && g.HedgeAfter > 0 && job.Attempts+2 <= job.Route.Attempts
}

// firstHedgePause is the time after which a second attempt for which there was no slot or no budget is tried again; it doubles each
// time, since each costs a message to the placing host.
const firstHedgePause = 50 * time.Millisecond

// race runs a job on an upstream, and on a second one if it has not ended when that pays off. It returns as soon as one of
// them has the answer, or when both have ended without one. Each attempt ends its own grant.
func (f *Filter) race(ctx context.Context, job *pipe.Job, g *place.Grant, tried []string) []string {
	ends := make(chan *racer, 2) // Both may end when nobody waits any more.
	first := f.start(ctx, job, ends, func(ctx context.Context, r *racer) { f.sendRacer(ctx, r, g) })
	timer := time.NewTimer(g.HedgeAfter)
	defer timer.Stop()
	var best, second *racer
	pause := firstHedgePause
	for running := 1; running > 0 && (best == nil || !best.won()); {
		select {
		case <-timer.C:
			second = f.start(ctx, job, ends, func(ctx context.Context, r *racer) { f.sendSecond(ctx, r, tried) })
			running++
		case r := <-ends:
			running--
			r.ended = true
			if r == second && r.sent.Load() == nil { // The first attempt may go on for long.
				r.cancel(nil)
				f.Recorder.RecordHedge(job, newHedge(g, first, r, best))
				second = nil
				timer.Reset(pause)
				pause *= 2
			} else {
				best = better(best, r)
			}
		}
	}
	f.finish(first, best)
	if second == nil {
		*job = best.job
		return []string{g.Upstream.ID}
	}
	f.finish(second, best)
	f.Recorder.RecordHedge(job, newHedge(g, first, second, best))
	return merge(job, g, first, second, best)
}

// start runs an attempt with its own copy of a job and a context that ends with the job's.
func (f *Filter) start(ctx context.Context, job *pipe.Job, ends chan<- *racer, do func(ctx context.Context, r *racer)) *racer {
	r := &racer{job: *job, detach: func() bool { return false }}
	stop := func() {}
	own := ctx
	if f.KeepLosers {
		own, stop = context.WithDeadline(context.WithoutCancel(ctx), job.Deadline)
	}
	own, r.cancel = context.WithCancelCause(own)
	if f.KeepLosers {
		r.detach = context.AfterFunc(ctx, func() { r.cancel(context.Cause(ctx)) })
	}
	go func() {
		defer func() {
			if v := recover(); v != nil { // It would end the process; the request's own goroutine recovers from its panics.
				f.OnPanic("attempt", v)
				r.job.EndUnknown(pipe.ConnectionLost, "the attempt failed on this host")
				r.unsent = HedgeFailed
			}
			stop()
			ends <- r
		}()
		do(own, r)
	}()
	return r
}

// sendRacer sends an attempt to the upstream of its grant.
func (f *Filter) sendRacer(ctx context.Context, r *racer, g *place.Grant) {
	r.sentAt = f.Clock()
	r.sent.Store(g)
	f.send(ctx, &r.job, g)
}

// sendSecond sends a second attempt if the budget has room for it and an upstream has a free slot.
func (f *Filter) sendSecond(ctx context.Context, r *racer, tried []string) {
	job := &r.job
	hosts := len(job.View.Hosts)
	now := f.Clock()
	if !f.Budget.MayHedge(now, job.Service, hosts) {
		r.unsent = HedgeUnpaid
		return
	}
	req := placeRequest(job, slices.Clone(tried)) // The placer may append to it.
	req.NoWait, req.Counted = true, true          // The first attempt counts against the quota.
	g, _ := f.Placer.Acquire(ctx, now, req)
	if g == nil {
		r.unsent = HedgeUnplaced
		return
	}
	now = f.Clock()
	switch {
	case ctx.Err() != nil:
		r.unsent = HedgeUnneeded
	case !f.Budget.SpendHedge(now, job.Service, hosts):
		r.unsent = HedgeUnpaid
	default:
		job.Attempts++ // The first attempt, which this copy of the job doesn't know of.
		f.sendRacer(ctx, r, g)
		return
	}
	f.Placer.Release(now, g, place.Result{Inconclusive: true})
}

// better returns the attempt whose outcome stands so far.
func better(best, r *racer) *racer {
	switch {
	case best == nil, r.won(), outcomeOrder[r.job.Outcome.Kind] > outcomeOrder[best.job.Outcome.Kind]:
		return r
	}
	return best
}

// outcomeOrder orders the outcomes of attempts: any answer is better than none, and one that may have run must not be taken
// for one that has not.
var outcomeOrder = map[pipe.OutcomeKind]int{pipe.NotRun: 0, pipe.Unknown: 1, pipe.Answered: 2}

// finish ends an attempt that the other one has made superfluous, or leaves it to itself until the job's deadline.
func (f *Filter) finish(r, best *racer) {
	switch {
	case r.ended:
		r.cancel(nil)
	case f.KeepLosers && best.won() && r.sent.Load() != nil && r.detach():
	default:
		r.cancel(pipe.ErrSuperseded)
	}
}

// merge ends the race with the outcome of the best attempt; it returns the upstreams that the job was sent to.
func merge(job *pipe.Job, g *place.Grant, first, second, best *racer) []string {
	upstreams := []string{g.Upstream.ID}
	attempts := job.Attempts + 1
	if sent := second.sent.Load(); sent != nil {
		upstreams = append(upstreams, sent.Upstream.ID)
		attempts++
	}
	*job = best.job
	job.Attempts = attempts
	for _, r := range []*racer{first, second} {
		if r == best || !r.ended {
			continue
		}
		job.MayHaveRun = job.MayHaveRun || r.job.MayHaveRun
		if r.job.Crashed {
			job.CrashedUpstreams = append(job.CrashedUpstreams, r.job.Upstream)
		}
	}
	return upstreams
}

// newHedge describes the second attempt of a race.
func newHedge(g *place.Grant, first, second, best *racer) Hedge {
	h := Hedge{Threshold: g.HedgeAfter, First: g.Upstream}
	sent := second.sent.Load()
	switch {
	case sent == nil && second.ended:
		h.Result = second.unsent
		return h
	case sent == nil:
		h.Result = HedgeUnneeded
		return h
	case !best.won():
		h.Result = HedgeFailed
	case best == second:
		h.Result = HedgeWon
	default:
		h.Result = HedgeLost
	}
	h.Second, h.Delay = sent.Upstream, second.sentAt.Sub(first.sentAt)
	return h
}

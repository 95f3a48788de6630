package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// Placer admits jobs to upstreams.
type Placer interface {
	Acquire(ctx context.Context, now time.Time, ask place.Ask) *place.Grant
	Release(now time.Time, g *place.Grant, r place.Result)
}

// Sender sends a job to an upstream once.
type Sender interface {
	Send(ctx context.Context, now time.Time, job *pipe.Job, u *roster.Upstream) pipe.Reply
}

// Journal records each try of a job.
type Journal interface {
	Tried(now time.Time, job *pipe.Job, u *roster.Upstream, took time.Duration)
}

// Pipe serves jobs.
type Pipe struct {
	Placer  Placer
	Sender  Sender
	Budget  *Budget
	Journal Journal
	Clock   func() time.Time
}

const (
	// leastLeft is the least time in which another try can end.
	leastLeft = 30 * time.Millisecond
)

// String names the filter.
func (*Pipe) String() string { return "serve" }

// Run tries upstreams until one ends the job or another try isn't allowed.
func (p *Pipe) Run(ctx context.Context, now time.Time, job *pipe.Job) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	p.Budget.First(now, job.Service)
	var tried []string
	var spare *pipe.Answer
	for {
		g := p.Placer.Acquire(ctx, now, ask(job, tried))
		if g == nil {
			p.unplaced(ctx, job)
			break
		}
		job.Outcome = pipe.Outcome{}
		p.try(ctx, job, g)
		tried = append(tried, g.Upstream.ID)
		if job.Outcome.Kind == pipe.Answered {
			spare = &job.Answer
		}
		now = p.Clock()
		if !p.again(now, job) {
			break
		}
	}
	switch {
	case job.Outcome.Kind != pipe.Answered && spare != nil:
		job.Finish(*spare)
	case job.Outcome.Kind == pipe.NotRun && job.MayHaveRun:
		job.Lose(job.Outcome.Reason, job.Outcome.Detail)
	}
}

func ask(job *pipe.Job, tried []string) place.Ask {
	return place.Ask{
		Host: job.View.Self, Service: job.Service, Rank: job.Level, Object: job.Object, Homes: job.Route.Homes, Tried: tried,
		Objective: job.Objective, Deadline: job.Deadline, Trace: job.Trace,
	}
}

// unplaced ends a job that found no slot; what its earlier tries came to stays true.
func (p *Pipe) unplaced(ctx context.Context, job *pipe.Job) {
	switch {
	case ctx.Err() != nil && job.Tries == 0:
		job.Refuse(pipe.Expired, "the job's time ended before a slot was free")
	case job.Tries == 0:
		job.RetryAfter = retryAfter(job)
		job.Refuse(pipe.QueueFull, "no upstream of "+job.Service+" has a free slot")
	}
}

const (
	// returnBase and returnStep spread the callers that come back: urgent ones first, and none at once.
	returnBase = 100 * time.Millisecond
	returnStep = 150 * time.Millisecond
)

func retryAfter(job *pipe.Job) time.Duration {
	return returnBase + time.Duration(job.Level)*returnStep + rand.N(returnStep)
}

func (p *Pipe) try(ctx context.Context, job *pipe.Job, g *place.Grant) {
	u := g.Upstream
	start := p.Clock()
	if job.Crashed {
		job.Crashes = append(job.Crashes, job.Upstream.ID)
	}
	job.Tries++
	job.Upstream = pipe.Place{ID: u.ID, Address: u.Address}
	job.Reply = p.Sender.Send(ctx, start, job, u)
	now := p.Clock()
	settle(ctx, job)
	job.MayHaveRun = job.MayHaveRun || job.Outcome.Kind == pipe.Unknown
	p.Placer.Release(now, g, result(&job.Reply, now.Sub(start)))
	p.Journal.Tried(now, job, u, now.Sub(start))
}

// result tells the placer what a reply means for the upstream.
func result(r *pipe.Reply, took time.Duration) place.Result {
	out := place.Result{
		Took: took, Dial: r.Dial, Quiet: r.Late, Shed: r.Shed, Moved: r.Moved, Broken: !r.Sent && !r.Late || r.Crash,
		Good: r.Whole && r.Answer.Status < http.StatusInternalServerError,
	}
	if r.Report != nil {
		out.Waiting = r.Report.Waiting
	}
	return out
}

// settle decides what a reply means for the job.
func settle(ctx context.Context, job *pipe.Job) {
	r := &job.Reply
	job.Crashed = r.Crash
	switch {
	case r.Moved:
		job.Refuse(pipe.Moved, "another upstream has the address")
	case r.Shed:
		job.Refuse(pipe.Shed, "the upstream did not run the job")
	case r.Whole:
		job.Finish(r.Answer)
	case !r.Sent && ctx.Err() == nil:
		job.Refuse(pipe.Refused, "no connection to the upstream")
	case !r.Sent:
		job.Refuse(pipe.Expired, "the job's time ended before it was sent")
	case errors.Is(context.Cause(ctx), context.Canceled):
		job.Lose(pipe.CallerGone, "the caller left")
	case ctx.Err() != nil:
		job.Lose(pipe.TimedOut, "no answer in the job's time")
	default:
		job.Lose(pipe.Lost, "the upstream gave no whole answer")
	}
}

// again tells whether another upstream may be tried, and spends a retry for it.
func (p *Pipe) again(now time.Time, job *pipe.Job) bool {
	if job.Deadline.Sub(now) < leastLeft || job.Tries >= max(1, job.Route.Attempts) {
		return false
	}
	switch job.Outcome.Kind {
	case pipe.Answered:
		if job.Once || job.Answer.Status < http.StatusInternalServerError {
			return false
		}
	case pipe.Unknown:
		if job.Once || job.Outcome.Reason != pipe.Lost {
			return false
		}
	case pipe.NotRun:
		if job.Outcome.Reason == pipe.Expired {
			return false
		}
		if job.Outcome.Reason == pipe.Refused {
			return true
		}
	}
	return p.Budget.Retry(now, job.Service, len(job.View.Hosts))
}

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

// Placer reserves and releases slots of upstreams.
type Placer interface {
	Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal)
	Release(now time.Time, g *place.Grant, r place.Result)
}

// Sender makes one attempt to run a job on an upstream. It doesn't change the job, which may have two attempts at a time.
type Sender interface {
	Send(ctx context.Context, now time.Time, job *pipe.Job, u *roster.Upstream) pipe.Reply
}

// AttemptRecorder records each attempt, and what came of each second attempt that became due.
type AttemptRecorder interface {
	RecordAttempt(now time.Time, job *pipe.Job, u *roster.Upstream, took time.Duration)
	RecordHedge(job *pipe.Job, h Hedge)
}

// Filter runs jobs on upstreams.
type Filter struct {
	Placer   Placer
	Sender   Sender
	Budget   *Budget
	Recorder AttemptRecorder
	Clock    func() time.Time
	OnPanic  func(where string, value any) // Called in the goroutine that panicked.
	// KeepLosers lets an attempt end by itself when the other one is answered first; otherwise it is canceled, which closes its
	// connection, so that the upstream drops the job and the slot becomes free.
	KeepLosers bool
}

const (
	// minAttemptTime is the remaining time below which no further attempt is made.
	minAttemptTime = 30 * time.Millisecond
)

// String returns the filter's name.
func (*Filter) String() string { return "serve" }

// Run makes attempts until one ends the job or no further attempt is allowed.
func (f *Filter) Run(ctx context.Context, now time.Time, job *pipe.Job) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	f.Budget.RecordRequest(now, job.Service)
	var tried []string
	counted := false // Some attempt may have run, so that the job counts against its workspace's quota.
	var lastAnswer *pipe.Answer
	for {
		req := placeRequest(job, tried)
		req.Counted = counted
		g, refusal := f.Placer.Acquire(ctx, now, req)
		if g == nil {
			f.refuseUnplaced(ctx, job, refusal)
			break
		}
		job.Outcome = pipe.Outcome{}
		tried = append(tried, f.attempt(ctx, job, g, tried)...)
		counted = counted || job.Outcome.Kind != pipe.NotRun
		if job.Outcome.Kind == pipe.Answered {
			lastAnswer = &job.Answer
		}
		now = f.Clock()
		if !f.mayRetry(now, job) {
			break
		}
	}
	switch {
	case job.Outcome.Kind != pipe.Answered && lastAnswer != nil:
		job.EndAnswered(*lastAnswer)
	case job.Outcome.Kind == pipe.NotRun && job.MayHaveRun:
		job.EndUnknown(job.Outcome.Reason, job.Outcome.Detail)
	}
}

func placeRequest(job *pipe.Job, tried []string) place.Request {
	return place.Request{
		Host: job.View.Self, Service: job.Service, Rank: job.Level, Object: job.Object, Homes: job.Homes, Tried: tried,
		Objective: job.Objective, Deadline: job.Deadline, Digest: job.Digest, Workspace: job.Workspace, Trace: job.Trace,
	}
}

// refuseUnplaced ends a job that got no slot. If there were earlier attempts, their outcome stands.
func (f *Filter) refuseUnplaced(ctx context.Context, job *pipe.Job, refusal place.Refusal) {
	switch {
	case job.Attempts > 0:
	case refusal.Quarantined:
		job.Refuse(pipe.Quarantined, "upstreams crashed while they ran this job; it is refused for a while")
	case refusal.OverQuota:
		job.RetryAfter = refusal.RetryAfter
		job.Refuse(pipe.OverQuota, "workspace "+job.Workspace+" is over its quota")
	case refusal.Stopping:
		job.RetryAfter = retryAfter(job, 0)
		job.Refuse(pipe.Stopping, "this host is stopping and no slot became free in time")
	case ctx.Err() != nil:
		job.Refuse(pipe.Expired, "the job's time ended before a slot was free")
	default:
		job.RetryAfter = retryAfter(job, refusal.RetryAfter)
		job.Refuse(pipe.QueueFull, "no upstream of "+job.Service+" has a free slot")
	}
}

const (
	// retryAfterBase and retryAfterStep spread the retries of refused callers: urgent jobs are retried earlier, and
	// random jitter of up to one step keeps callers from retrying all at once.
	retryAfterBase = 100 * time.Millisecond
	retryAfterStep = 150 * time.Millisecond
)

// retryAfter returns when a refused caller should come back, if a slot is expected to be free after the given time.
func retryAfter(job *pipe.Job, expected time.Duration) time.Duration {
	return max(retryAfterBase, expected) + time.Duration(job.Level)*retryAfterStep + rand.N(retryAfterStep)
}

// attempt runs a job on an upstream, and on a second one if the first takes long; it returns the upstreams that it was sent to.
func (f *Filter) attempt(ctx context.Context, job *pipe.Job, g *place.Grant, tried []string) []string {
	if job.Crashed {
		job.CrashedUpstreams = append(job.CrashedUpstreams, job.Upstream)
	}
	if mayHedge(job, g) {
		return f.race(ctx, job, g, tried)
	}
	f.send(ctx, job, g)
	return []string{g.Upstream.ID}
}

// send makes one attempt and ends its grant. Of the job it changes only the state of the attempt.
func (f *Filter) send(ctx context.Context, job *pipe.Job, g *place.Grant) {
	u := g.Upstream
	start := f.Clock()
	job.Attempts++
	job.Upstream = pipe.UpstreamRef{ID: u.ID, Born: u.Born, Address: u.Address}
	job.Reply = f.Sender.Send(ctx, start, job, u)
	now := f.Clock()
	setOutcome(ctx, job)
	job.MayHaveRun = job.MayHaveRun || job.Outcome.Kind == pipe.Unknown
	f.Placer.Release(now, g, result(&job.Reply, now.Sub(start)))
	f.Recorder.RecordAttempt(now, job, u, now.Sub(start))
}

// result converts a reply to the result that the placer records for the upstream.
func result(r *pipe.Reply, took time.Duration) place.Result {
	out := place.Result{
		Duration: took, DialTime: r.DialTime, Inconclusive: r.Late || r.NoMemory || r.Left, Shed: r.Shed, AddressReused: r.AddressReused, Unreachable: !r.Sent && !r.Late && !r.Left || r.Crashed,
		Crashed: r.Crashed, Leaving: r.Leaving, RetryAfter: r.RetryAfter, NotRun: r.Shed || r.AddressReused || !r.Sent,
		Succeeded: r.Complete && r.Answer.Status < http.StatusInternalServerError,
	}
	if r.Report != nil {
		out.QueueLength, out.Pace = r.Report.Waiting, r.Report.Pace
	}
	return out
}

// setOutcome derives the job's outcome from its reply.
func setOutcome(ctx context.Context, job *pipe.Job) {
	r := &job.Reply
	job.Crashed = r.Crashed
	cause := context.Cause(ctx)
	switch {
	case r.AddressReused:
		job.Refuse(pipe.AddressReused, "another upstream has the address")
	case r.Shed:
		job.Refuse(pipe.Shed, "the upstream did not run the job")
	case r.Complete:
		job.EndAnswered(r.Answer)
	case errors.Is(cause, pipe.ErrSuperseded):
		job.EndUnknown(pipe.Superseded, "another attempt was answered first")
	case r.NoMemory: // Another attempt would need as much.
		job.EndUnknown(pipe.NoMemory, "this host has no memory for the answer")
	case !r.Sent:
		refuseUnsent(ctx, job)
	case errors.Is(cause, pipe.ErrStopping):
		job.EndUnknown(pipe.Stopping, "this host stopped before the upstream's answer")
	case errors.Is(cause, context.Canceled):
		job.EndUnknown(pipe.CallerGone, "the caller left")
	case ctx.Err() != nil:
		job.EndUnknown(pipe.TimedOut, "no answer in the job's time")
	default:
		job.EndUnknown(pipe.ConnectionLost, "the upstream gave no whole answer")
	}
}

// refuseUnsent derives the outcome of a job of which nothing was sent.
func refuseUnsent(ctx context.Context, job *pipe.Job) {
	switch {
	case job.Reply.Left:
		job.Refuse(pipe.ConnectFailed, "the upstream left before the job was sent")
	case ctx.Err() == nil:
		job.Refuse(pipe.ConnectFailed, "no connection to the upstream")
	case errors.Is(context.Cause(ctx), pipe.ErrStopping):
		job.RetryAfter = retryAfter(job, 0)
		job.Refuse(pipe.Stopping, "this host stopped before the job was sent")
	default:
		job.Refuse(pipe.Expired, "the job's time ended before it was sent")
	}
}

// mayRetry reports whether another attempt is allowed, and spends a retry of the budget if it needs one.
func (f *Filter) mayRetry(now time.Time, job *pipe.Job) bool {
	if job.Deadline.Sub(now) < minAttemptTime || job.Attempts >= max(1, job.Route.Attempts) {
		return false
	}
	switch job.Outcome.Kind {
	case pipe.Answered:
		if job.Once || job.Answer.Status < http.StatusInternalServerError {
			return false
		}
	case pipe.Unknown:
		if job.Once || job.Outcome.Reason != pipe.ConnectionLost {
			return false
		}
	case pipe.NotRun:
		if job.Outcome.Reason == pipe.Expired || job.Outcome.Reason == pipe.Stopping {
			return false
		}
		if job.Outcome.Reason == pipe.ConnectFailed {
			return true
		}
	}
	return f.Budget.SpendRetry(now, job.Service, len(job.View.Hosts), job.Returning)
}

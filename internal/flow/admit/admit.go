package admit

import (
	"context"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Filter admits jobs to the upstreams of this host's failure domain.
type Filter struct {
	mu    sync.Mutex
	sched *Scheduler
	plan  *plan.Plan
}

// New returns a filter that has no upstreams until the first Update.
func New() *Filter { return &Filter{sched: NewScheduler()} }

// String returns the filter's name.
func (*Filter) String() string { return "admit" }

// Update applies a plan; control publishes plans in order.
func (f *Filter) Update(now time.Time, pl *plan.Plan) {
	if pl.Doc == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = pl
	f.sched.Update(now, pl)
}

// Tick does the scheduler's time-driven work.
func (f *Filter) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sched.Tick(now)
}

// DueProbes returns the upstreams to probe now.
func (f *Filter) DueProbes(now time.Time) []plan.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sched.DueProbes(now)
}

// MarkUp makes an upstream that a probe has reached available again.
func (f *Filter) MarkUp(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sched.MarkUp(now, id)
}

// Load returns the load of each service.
func (f *Filter) Load(now time.Time) map[string]plan.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sched.Load(now)
}

// EstimateWait returns the expected wait of a new job on this host.
func (f *Filter) EstimateWait(now time.Time, service string, level int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sched.EstimateWait(now, service, level)
}

// Run waits for a slot and refuses the job if it gets none in time.
func (f *Filter) Run(ctx context.Context, now time.Time, job *pipe.Job) {
	w := waiterPool.Get().(*Waiter)
	*w = Waiter{Service: job.Service, Level: job.Level, Deadline: job.Deadline, Ready: w.Ready}
	if r := f.enqueue(now, w); r != NotRefused {
		waiterPool.Put(w)
		refuseJob(job, r)
		return
	}
	d, reuse := f.wait(ctx, now, w)
	if reuse {
		waiterPool.Put(w)
	}
	if !d.Admitted {
		refuseJob(job, d.Refusal)
		return
	}
	f.assignUpstream(job, d.Upstream)
}

var waiterPool = sync.Pool{New: func() any { return &Waiter{Ready: make(chan Decision, 1)} }}

// wait returns the decision, and whether the waiter may be reused because the scheduler no longer holds it.
func (f *Filter) wait(ctx context.Context, now time.Time, w *Waiter) (Decision, bool) {
	select {
	case d := <-w.Ready:
		return d, true
	default:
	}
	timer := time.NewTimer(w.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case d := <-w.Ready:
		return d, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return f.cancel(w), false
}

func (f *Filter) enqueue(now time.Time, w *Waiter) Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil || w.Level >= len(f.plan.Doc.Ranks) {
		return NoUpstream
	}
	return f.sched.Enqueue(now, w)
}

func (f *Filter) cancel(w *Waiter) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sched.Cancel(w) {
		return Decision{Refusal: TooLate}
	}
	return <-w.Ready
}

func (f *Filter) assignUpstream(job *pipe.Job, upstream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job.Upstream = pipe.UpstreamRef{ID: upstream}
	if up := f.sched.services[job.Service].upstreams[upstream]; up != nil {
		job.Upstream.Address, job.Upstream.Conns = up.Address, up.Conns
	}
}

// Finish releases the slot, which admits the next jobs.
func (f *Filter) Finish(now time.Time, job *pipe.Job) {
	if job.Upstream.ID == "" {
		return
	}
	var took time.Duration
	if !job.Started.IsZero() {
		took = now.Sub(job.Started)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sched.Release(now, job.Service, job.Upstream.ID, job.Level, took, result(job))
}

func result(job *pipe.Job) Result {
	if job.Draining {
		return Draining
	}
	switch job.Outcome.Kind {
	case pipe.Answered:
		return Done
	case pipe.Pending:
		return Aborted
	case pipe.NotRun, pipe.Unknown:
	}
	switch job.Outcome.Reason {
	case pipe.Shed, pipe.Expired:
		return Overload
	case pipe.ConnectFailed:
		return Failed
	case pipe.ConnectionLost:
		if job.Crashed {
			return Failed
		}
	}
	return Aborted
}

func refuseJob(job *pipe.Job, r Refusal) {
	switch r {
	case QueueFull:
		job.Refuse(pipe.QueueFull, "the queue of rank "+job.Rank+" is full")
	case TooLate:
		job.Refuse(pipe.TooLate, "the deadline can't be met")
	case NotRefused, NoUpstream:
		job.Refuse(pipe.NoUpstream, "no upstream of "+job.Service+" is in service here")
	}
}

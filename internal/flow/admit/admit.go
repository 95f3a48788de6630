package admit

import (
	"context"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Pipe admits jobs to the upstreams of this host's failure domain.
type Pipe struct {
	mu    sync.Mutex
	sched *Scheduler
	plan  *plan.Plan
}

// New returns a filter that has no upstreams until the first Update.
func New() *Pipe { return &Pipe{sched: NewScheduler()} }

// String returns the filter's name.
func (*Pipe) String() string { return "admit" }

// Update applies a plan; control publishes plans in order.
func (p *Pipe) Update(now time.Time, pl *plan.Plan) {
	if pl.Doc == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan = pl
	p.sched.Update(now, pl)
}

// Tick does the scheduler's time-driven work.
func (p *Pipe) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.Tick(now)
}

// DueProbes returns the upstreams to probe now.
func (p *Pipe) DueProbes(now time.Time) []plan.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.DueProbes(now)
}

// MarkUp makes an upstream that a probe has reached available again.
func (p *Pipe) MarkUp(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.MarkUp(now, id)
}

// Load returns the load of each service.
func (p *Pipe) Load(now time.Time) map[string]plan.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Load(now)
}

// EstimateWait returns the expected wait of a new job on this host.
func (p *Pipe) EstimateWait(now time.Time, service string, level int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.EstimateWait(now, service, level)
}

// Run waits for a slot and refuses the job if it gets none in time.
func (p *Pipe) Run(ctx context.Context, now time.Time, job *pipe.Job) {
	w := waiterPool.Get().(*Waiter)
	*w = Waiter{Service: job.Service, Level: job.Level, Deadline: job.Deadline, Ready: w.Ready}
	if r := p.enqueue(now, w); r != NotRefused {
		waiterPool.Put(w)
		refuseJob(job, r)
		return
	}
	d, reuse := p.wait(ctx, now, w)
	if reuse {
		waiterPool.Put(w)
	}
	if !d.Admitted {
		refuseJob(job, d.Refusal)
		return
	}
	p.assignUpstream(job, d.Upstream)
}

var waiterPool = sync.Pool{New: func() any { return &Waiter{Ready: make(chan Decision, 1)} }}

// wait returns the decision, and whether the waiter may be reused because the scheduler no longer holds it.
func (p *Pipe) wait(ctx context.Context, now time.Time, w *Waiter) (Decision, bool) {
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
	return p.cancel(w), false
}

func (p *Pipe) enqueue(now time.Time, w *Waiter) Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plan == nil || w.Level >= len(p.plan.Doc.Ranks) {
		return NoUpstream
	}
	return p.sched.Enqueue(now, w)
}

func (p *Pipe) cancel(w *Waiter) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sched.Cancel(w) {
		return Decision{Refusal: TooLate}
	}
	return <-w.Ready
}

func (p *Pipe) assignUpstream(job *pipe.Job, upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job.Upstream = pipe.UpstreamRef{ID: upstream}
	if up := p.sched.services[job.Service].upstreams[upstream]; up != nil {
		job.Upstream.Address, job.Upstream.Conns = up.Address, up.Conns
	}
}

// Finish releases the slot, which admits the next jobs.
func (p *Pipe) Finish(now time.Time, job *pipe.Job) {
	if job.Upstream.ID == "" {
		return
	}
	var took time.Duration
	if !job.Started.IsZero() {
		took = now.Sub(job.Started)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.Release(now, job.Service, job.Upstream.ID, job.Level, took, result(job))
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

package remote

import (
	"context"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// PeerRunner runs a job on another entry host and sets the job's outcome.
type PeerRunner interface {
	Run(ctx context.Context, target pipe.Target, job *pipe.Job)
}

// LocalRunner runs a job on this host and sets the job's outcome.
type LocalRunner interface {
	Run(ctx context.Context, job *pipe.Job)
}

// Router adds targets to a job that its first target did not answer.
type Router interface {
	AddTargets(now time.Time, job *pipe.Job)
}

// Reporter is notified of unreachable hosts, so that the next plan avoids them.
type Reporter interface {
	ReportUnreachable(now time.Time, seat string)
}

// Filter sends jobs to their targets in order, within the retry budget.
type Filter struct {
	Local    LocalRunner
	Router   Router
	Remote   PeerRunner
	Pacer    *Pacer
	Reporter Reporter
	Clock    func() time.Time

	mu     sync.Mutex
	budget *RetryBudget
}

// New returns a filter with a full retry budget.
func New(local LocalRunner, router Router, remote PeerRunner, pacer *Pacer, reporter Reporter, clock func() time.Time) *Filter {
	return &Filter{Local: local, Router: router, Remote: remote, Pacer: pacer, Reporter: reporter, Clock: clock, budget: NewRetryBudget()}
}

// String returns the filter's name.
func (*Filter) String() string { return "carry" }

// Run tries the targets until one ends the job. No later host on the job's path retries.
func (f *Filter) Run(ctx context.Context, _ time.Time, job *pipe.Job) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	f.recordFirstTry(job)
	for i := 0; i < len(job.Targets); i++ {
		if i > 0 && !f.takeRetry(ctx, job) {
			return
		}
		f.tryTarget(ctx, job.Targets[i], job)
		if !job.Retryable() {
			return
		}
		if i == 0 {
			f.addTargets(job)
		}
	}
}

// addTargets sets the targets after the first one. If an upstream failed rather than the target, the first target
// is tried again, since it will use another upstream.
func (f *Filter) addTargets(job *pipe.Job) {
	switch job.Outcome.Reason {
	case pipe.ConnectFailed, pipe.Shed, pipe.ConnectionLost, pipe.AnswerMismatch:
		job.Targets = append(job.Targets, job.Targets[0])
	}
	f.Router.AddTargets(f.Clock(), job)
}

func (f *Filter) tryTarget(ctx context.Context, t pipe.Target, job *pipe.Job) {
	job.Outcome, job.Upstream, job.Reply, job.Crashed = pipe.Outcome{}, pipe.UpstreamRef{}, pipe.Reply{}, false
	now := f.Clock()
	if t.Self {
		f.Local.Run(ctx, job)
		return
	}
	if t.Region != job.Plan.Self.Region && !f.Pacer.Wait(ctx, now, t.Region, job.Level, MessageSize(len(job.Body)), job.QueueDeadline(now)) {
		job.Refuse(pipe.LinkFull, "the link to region "+t.Region+" has no room in time")
		return
	}
	f.Remote.Run(ctx, t, job)
	if job.Outcome.Reason == pipe.PeerDown || job.Outcome.Reason == pipe.PeerLost {
		f.Reporter.ReportUnreachable(f.Clock(), t.Seat)
	}
}

// MessageOverhead is the maximum size, in bytes, of a message between hosts without its body.
const MessageOverhead = 1024

// MessageSize returns the size in bytes of a message with a body, which is sent in base64.
func MessageSize(body int) int64 { return int64(body+2)/3*4 + MessageOverhead }

func (f *Filter) recordFirstTry(job *pipe.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.AddFirstTry(job.Service, job.Level, job.Plan.Doc.Ranks[job.Level].Retry)
}

func (f *Filter) takeRetry(ctx context.Context, job *pipe.Job) bool {
	if ctx.Err() != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.TakeRetry(job.Service, job.Level)
}

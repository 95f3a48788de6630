package halt

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Plan holds the times of a planned stop in their order.
type Plan struct {
	Accept time.Time // Until then the host accepts connections.
	Start  time.Time // Until then jobs may wait for an upstream.
	Yield  time.Time // From then on jobs that hold back ready answers of their connections are given up.
	Answer time.Time // Until then jobs run; what is still running is given up.
	Exit   time.Time // The process exits.
}

const (
	// maxAcceptPeriod covers the directory responses that callers keep. It doesn't grow with the grace period, so that a
	// longer one leaves more time to jobs that were accepted late.
	maxAcceptPeriod = 3 * time.Second
	// startShare is the share of the time from Accept to Answer in which jobs may still wait for an upstream, so that they have
	// time to run, or their callers to be served by another host.
	startShare = 0.5
	// excusedPart divides the grace period: in its last sixth, the users' rule on lost requests excuses a job that is given up at
	// work, but not an answer that was ready before and isn't delivered. The job must have been sent early; one with requests
	// behind it was, since a connection of a stopping host accepts none behind another.
	excusedPart = 6
	// exitMargin is the time between the exit of the process and the end of the grace period.
	exitMargin = 150 * time.Millisecond
	// flushTime is the time for writing the last responses.
	flushTime = 200 * time.Millisecond
)

// NewPlan returns the plan of a stop that begins now and must end within the grace period.
func NewPlan(now time.Time, grace time.Duration) Plan {
	exit := max(0, grace-exitMargin)
	accept := min(maxAcceptPeriod, grace/2)
	answer := exit - min(flushTime, exit/10)
	return Plan{
		Accept: now.Add(accept),
		Start:  now.Add(accept + time.Duration(startShare*float64(max(0, answer-accept)))),
		Yield:  now.Add(min(grace-grace/excusedPart, answer)),
		Answer: now.Add(answer),
		Exit:   now.Add(exit),
	}
}

// Admits reports whether a stopping host accepts a job with the given deadline: only if the job is sure to end in time. When the
// job arrived doesn't matter, since the host may learn of its stop later than the platform began it.
func (p *Plan) Admits(deadline time.Time) bool { return !deadline.After(p.Answer) }

// retryAfter is the delay after which refused callers should retry; other hosts can serve them at once.
const retryAfter = 50 * time.Millisecond

// Filter refuses jobs that might still be running when a stopping host exits. Their callers then have time for another host.
type Filter struct {
	plan atomic.Pointer[Plan] // Nil unless the host is stopping.
}

// Begin starts to apply the plan of a stop.
func (f *Filter) Begin(p Plan) { f.plan.Store(&p) }

// String returns the filter's name.
func (*Filter) String() string { return "halt" }

// Run refuses the job if the plan doesn't admit it.
func (f *Filter) Run(_ context.Context, _ time.Time, job *pipe.Job) {
	p := f.plan.Load()
	if p == nil || p.Admits(job.Deadline) {
		return
	}
	job.RetryAfter = retryAfter
	job.Refuse(pipe.Stopping, "this host is stopping and the job might not end in time")
}

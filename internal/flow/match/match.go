package match

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Filter sets a job's route, service and deadline.
type Filter struct {
	mu              sync.Mutex
	longestTimeouts map[string]time.Duration // The longest time that a caller has allowed for a job, by route.
}

// New returns a filter without recorded timeouts.
func New() *Filter { return &Filter{longestTimeouts: map[string]time.Duration{}} }

// String returns the filter's name.
func (*Filter) String() string { return "match" }

// estimateElapsed estimates how long ago a caller first sent a request. A caller that retries allows less time than
// the longest seen on its route; the difference is the time that has passed.
func (f *Filter) estimateElapsed(route string, left time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if left > f.longestTimeouts[route] {
		f.longestTimeouts[route] = left
	}
	return f.longestTimeouts[route] - left
}

// Run matches the job by host and longest path prefix, and refuses a job without a route.
func (f *Filter) Run(_ context.Context, now time.Time, job *pipe.Job) {
	if job.View.Policy == nil {
		job.RetryAfter = noPolicyRetryAfter
		job.Refuse(pipe.NoPolicy, "this host knows no policy yet")
		return
	}
	path, _, _ := strings.Cut(job.Path, "?")
	r := job.View.Policy.Match(job.Host, path)
	if r == nil {
		job.Refuse(pipe.NoRoute, "no route for host "+job.Host+" and path "+path)
		return
	}
	job.Route, job.Once, job.Level, job.Homes = r, r.Once, r.Rank, r.Homes
	job.Service = r.Pick(rand.Float64())
	if !r.Sticky {
		job.Object = ""
	}
	if r.Objective > 0 {
		job.Objective = job.Started.Add(r.Objective)
		if !job.Deadline.IsZero() {
			elapsed := f.estimateElapsed(r.Name, job.Deadline.Sub(job.Started))
			job.Objective = job.Objective.Add(-elapsed)
			job.Returning = elapsed >= minReturnDelay
		}
	}
	limit := job.Started.Add(r.Timeout)
	if r.Timeout > 0 && (job.Deadline.IsZero() || limit.Before(job.Deadline)) {
		job.Deadline = limit
	}
	if job.Deadline.IsZero() {
		job.Deadline = job.Started.Add(defaultTimeout)
	}
	if job.Objective.IsZero() {
		job.Objective = job.Deadline
	}
	if !now.Before(job.Deadline) {
		job.Refuse(pipe.Expired, "the deadline has passed")
	}
}

const (
	// noPolicyRetryAfter is the retry delay for callers of a host that has just started: about one read of the store.
	noPolicyRetryAfter = 500 * time.Millisecond
	// minReturnDelay is the time that has passed at least when a caller comes back: the shortest Retry-After of a refusal.
	minReturnDelay = 50 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a deadline.
	defaultTimeout = 30 * time.Second
)

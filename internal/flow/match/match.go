package match

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Pipe sets a job's route, service and deadline.
type Pipe struct {
	mu    sync.Mutex
	times map[string]time.Duration // The longest time that callers gave, by route.
}

// New returns a filter that has seen no caller.
func New() *Pipe { return &Pipe{times: map[string]time.Duration{}} }

// String names the filter.
func (*Pipe) String() string { return "match" }

// elapsed returns how long ago a caller seems to have first sent a request: one that comes back has less time
// left than others of its route.
func (p *Pipe) elapsed(route string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if left > p.times[route] {
		p.times[route] = left
	}
	return p.times[route] - left
}

// Run matches the job by host and longest prefix; it refuses a job that no route takes.
func (p *Pipe) Run(_ context.Context, now time.Time, job *pipe.Job) {
	if job.View.Policy == nil {
		job.RetryAfter = unready
		job.Refuse(pipe.NoPolicy, "this host knows no policy yet")
		return
	}
	path, _, _ := strings.Cut(job.Path, "?")
	r := job.View.Policy.Match(job.Host, path)
	if r == nil {
		job.Refuse(pipe.NoRoute, "no route for host "+job.Host+" and path "+path)
		return
	}
	job.Route, job.Once, job.Level = r, r.Once, r.Rank
	job.Service = r.Pick(rand.Float64())
	if !r.Sticky {
		job.Object = ""
	}
	if r.Objective > 0 {
		job.Objective = job.Started.Add(r.Objective)
		if !job.Deadline.IsZero() {
			job.Objective = job.Objective.Add(-p.elapsed(r.Name, job.Deadline.Sub(job.Started)))
		}
	}
	limit := job.Started.Add(r.Timeout)
	if r.Timeout > 0 && (job.Deadline.IsZero() || limit.Before(job.Deadline)) {
		job.Deadline = limit
	}
	if job.Deadline.IsZero() {
		job.Deadline = job.Started.Add(defaultLife)
	}
	if job.Objective.IsZero() {
		job.Objective = job.Deadline
	}
	if !now.Before(job.Deadline) {
		job.Refuse(pipe.Expired, "the deadline has passed")
	}
}

const (
	// unready is when a caller may come back to a host that has just started: about one read of the store.
	unready = 500 * time.Millisecond
	// defaultLife bounds a job whose caller and route name no deadline.
	defaultLife = 30 * time.Second
)

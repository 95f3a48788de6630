package accept

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// MaxBody is the maximum size of a request body, in bytes.
const MaxBody = 1 << 20

// Filter validates incoming jobs.
type Filter struct{}

// String returns the filter's name.
func (Filter) String() string { return "accept" }

// Run rejects invalid jobs and fills in the rank, the deadline and whether the job runs at most once.
func (Filter) Run(_ context.Context, now time.Time, job *pipe.Job) {
	if job.Plan == nil || job.Plan.Doc == nil {
		job.RefuseUnclaimed(pipe.NoTarget, "this host has no configuration yet")
		return
	}
	svc, ok := job.Plan.Services[job.Service]
	if !ok {
		job.RefuseUnclaimed(pipe.NoService, fmt.Sprintf("there is no service %q", job.Service))
		return
	}
	if len(job.Body) > MaxBody {
		job.RefuseUnclaimed(pipe.BadRequest, fmt.Sprintf("a body of %d bytes is over %d", len(job.Body), MaxBody))
		return
	}
	if job.Rank == "" {
		job.Rank = svc.Rank
	}
	job.Level = job.Plan.Doc.RankIndex(job.Rank)
	if job.Level < 0 {
		job.RefuseUnclaimed(pipe.NoRank, fmt.Sprintf("there is no rank %q", job.Rank))
		return
	}
	limit := now.Add(time.Duration(svc.Timeout))
	if job.Deadline.IsZero() || job.Deadline.After(limit) {
		job.Deadline = limit
	}
	if !job.Deadline.After(now) {
		job.RefuseUnclaimed(pipe.Expired, "the deadline has passed")
		return
	}
	job.Once = svc.Once || job.Ticket != ""
}

package carry

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Back is the first filter for jobs from other regions. It paces their answers within this host's share of the
// link back.
type Back struct {
	Pacer *Pacer
}

// String names the filter.
func (Back) String() string { return "back" }

// Run passes every job on.
func (Back) Run(context.Context, time.Time, *pipe.Job) {}

// Finish waits for the link's budget and drops an answer that can't be returned before the deadline.
func (b Back) Finish(now time.Time, job *pipe.Job) {
	region := job.From
	if region == "" || region == job.Plan.Self.Region {
		return
	}
	if job.Outcome.Kind != pipe.Answered {
		b.Pacer.Charge(now, region, MessageOverhead)
		return
	}
	ctx := context.Background()
	if b.Pacer.Wait(ctx, now, region, job.Level, Size(len(job.Answer.Body)), job.Deadline) {
		return
	}
	b.Pacer.Charge(now, region, MessageOverhead)
	job.Answer = pipe.Answer{}
	job.Lose(pipe.LinkFull, "the job ran, but its answer found no room on the link in time")
}

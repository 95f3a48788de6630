package remote

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// AnswerPacer is the first filter for jobs from other regions. It paces their answers within this host's share of the
// link back.
type AnswerPacer struct {
	Pacer *Pacer
}

// String returns the filter's name.
func (AnswerPacer) String() string { return "back" }

// Run passes every job on.
func (AnswerPacer) Run(context.Context, time.Time, *pipe.Job) {}

// Finish waits for the link's budget and drops an answer that can't be returned before the deadline.
func (b AnswerPacer) Finish(now time.Time, job *pipe.Job) {
	region := job.FromRegion
	if region == "" || region == job.Plan.Self.Region {
		return
	}
	if job.Outcome.Kind != pipe.Answered {
		b.Pacer.Charge(now, region, MessageOverhead)
		return
	}
	ctx := context.Background()
	if b.Pacer.Wait(ctx, now, region, job.Level, MessageSize(len(job.Answer.Body)), job.Deadline) {
		return
	}
	b.Pacer.Charge(now, region, MessageOverhead)
	job.Answer = pipe.Answer{}
	job.EndUnknown(pipe.LinkFull, "the job ran, but its answer found no room on the link in time")
}

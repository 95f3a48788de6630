package relay

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Sender sends a job to the upstream that it was admitted to, and never retries.
type Sender interface {
	Send(ctx context.Context, job *pipe.Job) pipe.Reply
}

// Filter sends jobs to upstreams.
type Filter struct {
	Sender Sender
}

// String returns the filter's name.
func (Filter) String() string { return "relay" }

// Run sends the job and stores the reply for the next filter.
func (f Filter) Run(ctx context.Context, now time.Time, job *pipe.Job) {
	if !now.Before(job.Deadline) {
		job.Refuse(pipe.TooLate, "the deadline passed before the job was sent")
		return
	}
	job.Started = now
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	job.Reply = f.Sender.Send(ctx, job)
}

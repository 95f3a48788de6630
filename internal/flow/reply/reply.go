package reply

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Filter turns the reply of an upstream into the outcome of the job.
type Filter struct{}

// String returns the filter's name.
func (Filter) String() string { return "reply" }

// Run ends the job: as answered only if the answer is complete and carries no other job's ID, and as not
// run only if no byte can have reached an upstream or the upstream reported that it did not run the job.
func (Filter) Run(_ context.Context, _ time.Time, job *pipe.Job) {
	r := job.Reply
	job.Draining = r.Draining
	switch {
	case !r.Sent && r.Late:
		job.Refuse(pipe.TooLate, "the deadline passed before the job was sent")
	case !r.Sent:
		job.Refuse(pipe.ConnectFailed, "no connection to upstream "+job.Upstream.ID)
	case r.Shed:
		job.Refuse(pipe.Shed, "upstream "+job.Upstream.ID+" refused the job without running it")
	case r.Late:
		job.EndUnknown(pipe.Expired, "the deadline passed while upstream "+job.Upstream.ID+" ran the job")
	case r.Err != nil:
		job.Crashed = r.Crashed
		job.EndUnknown(pipe.ConnectionLost, "the connection to upstream "+job.Upstream.ID+" was lost while it ran the job")
	case !r.Complete:
		job.EndUnknown(pipe.AnswerMismatch, "upstream "+job.Upstream.ID+" sent an answer that is not whole")
	case r.ID != "" && r.ID != job.ID:
		job.EndUnknown(pipe.AnswerMismatch, "upstream "+job.Upstream.ID+" sent the answer of another job")
	default:
		job.EndAnswered(r.Answer)
	}
}

package pipe

import (
	"context"
	"strings"
	"time"
)

// Filter is one step of a pipeline; it passes the job on or ends it with an outcome.
type Filter interface {
	String() string
	Run(ctx context.Context, now time.Time, job *Job)
}

// Finisher is a filter with a second step that runs once for each job after the later filters.
type Finisher interface {
	Finish(now time.Time, job *Job)
}

// Pipeline runs its filters in order and their Finish methods in reverse order.
type Pipeline struct {
	Filters []Filter
	Clock   func() time.Time
}

// String lists the names of the filters in order.
func (l Pipeline) String() string {
	names := make([]string, len(l.Filters))
	for i, f := range l.Filters {
		names[i] = f.String()
	}
	return strings.Join(names, " -> ")
}

// Run passes the job through the filters until one of them ends it, then calls Finish on those that ran.
func (l Pipeline) Run(ctx context.Context, job *Job) {
	passed := 0
	for _, f := range l.Filters {
		if job.Ended() {
			break
		}
		passed++
		f.Run(ctx, l.Clock(), job)
	}
	for i := passed - 1; i >= 0; i-- {
		if f, ok := l.Filters[i].(Finisher); ok {
			f.Finish(l.Clock(), job)
		}
	}
}

package match

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Guards against taking a caller's first attempt for its second one, which would use up the retries kept for final attempts.
func TestACallerWithLessTimeThanOthersIsReturning(t *testing.T) {
	f, start := New(), time.Unix(1_700_000_000, 0)
	p := &policy.Policy{Routes: map[string][]policy.Route{"h": {{Name: "r", Prefix: "/", Objective: time.Second, Timeout: 5 * time.Second}}}}
	for _, c := range []struct {
		left      time.Duration
		returning bool
	}{{3 * time.Second, false}, {3 * time.Second, false}, {2700 * time.Millisecond, true}, {2990 * time.Millisecond, false}, {4 * time.Second, false}, {3 * time.Second, true}} {
		job := &pipe.Job{Host: "h", Path: "/x", Started: start, Deadline: start.Add(c.left), View: &roster.View{Policy: p}}
		f.Run(context.Background(), start, job)
		assert.Equal(t, job.Returning, c.returning, "%s left", c.left)
	}
}

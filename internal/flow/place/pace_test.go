package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// paced returns the result of a job on an upstream that reports its pace.
func paced(took time.Duration, pace float64) Result {
	return Result{Duration: took, Succeeded: true, Pace: pace}
}

// Guards against sending jobs to an upstream that just reported that its work takes longer.
func TestAReportedPaceMovesTheNextJob(t *testing.T) {
	sched := newTestScheduler(upstream("near", "a", "east"), upstream("next", "b", "east"))
	g := try(sched, at(0), newRequest(at(0)))
	assert.Equal(t, g.Upstream.ID, "near")
	sched.Release(at(100*time.Millisecond), g, paced(100*time.Millisecond, 2.5))
	now := at(101 * time.Millisecond)
	assert.Equal(t, try(sched, now, newRequest(now)).Upstream.ID, "next")
}

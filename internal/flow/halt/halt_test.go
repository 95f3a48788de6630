package halt

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against a stopping host that accepts long jobs for a part of its grace period, however long that is, and cuts them
// off at its exit.
func TestALateJobIsAcceptedOnlyIfItEndsBeforeTheExit(t *testing.T) {
	for _, c := range []struct {
		name              string
		grace, age, limit time.Duration
		accepted          bool
	}{
		{"early and long", 10 * time.Second, 2 * time.Second, 10 * time.Second, true},
		{"late and long", 10 * time.Second, 4 * time.Second, 10 * time.Second, false},
		{"late and long, short grace period", 6 * time.Second, 2900 * time.Millisecond, 4 * time.Second, false},
		{"late and short", 10 * time.Second, 4 * time.Second, 5 * time.Second, true},
		{"after the last response", 10 * time.Second, 9700 * time.Millisecond, 100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &Filter{}
			f.Begin(NewPlan(start, c.grace))
			job := &pipe.Job{Deadline: at(c.age + c.limit)}
			f.Run(context.Background(), at(c.age), job)
			assert.Equal(t, !job.Ended(), c.accepted)
			if !c.accepted {
				assert.Equal(t, job.Outcome.Kind, pipe.NotRun)
				assert.Assert(t, job.RetryAfter > 0)
			}
		})
	}
}

func TestAHostThatIsNotStoppingAcceptsAllJobs(t *testing.T) {
	job := &pipe.Job{Deadline: at(time.Hour)}
	(&Filter{}).Run(context.Background(), start, job)
	assert.Assert(t, !job.Ended())
}

func TestTheTimesOfAStopAreInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "grace"))
		p := NewPlan(start, grace)
		for i, pair := range [][2]time.Time{{start, p.Long}, {p.Long, p.Accept}, {p.Accept, p.Start}, {p.Yield, p.Answer}, {p.Answer, p.Exit}, {p.Exit, at(grace)}} {
			if pair[1].Before(pair[0]) {
				t.Fatalf("times %d of a grace period of %s are not in order: %+v", i, grace, p)
			}
		}
		if grace > time.Second && (p.Answer.Before(p.Start) || p.Yield.Before(p.Start) || !p.Exit.Before(at(grace))) {
			t.Fatalf("grace period of %s: %+v", grace, p)
		}
	})
}

// Guards against a job that is given up, while its upstream is at work, earlier than the users' rule on lost requests excuses,
// and against answers behind it that get less time to be written than the rule leaves.
func TestJobsThatHoldBackAnswersRunUntilTheLastSixth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "grace"))
		p := NewPlan(start, grace)
		lastSixth := at(grace - grace/6)
		if p.Yield.Before(lastSixth) && p.Yield.Before(p.Answer) || p.Yield.After(lastSixth) {
			t.Fatalf("grace period of %s: the last sixth begins at %s: %+v", grace, lastSixth, p)
		}
	})
}

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

// Guards against a stopping host that accepts jobs in a part of its grace period, however long they run, and cuts them off at its
// exit.
func TestAJobIsAcceptedOnlyIfItEndsBeforeTheExit(t *testing.T) {
	for _, c := range []struct {
		name              string
		grace, age, limit time.Duration
		accepted          bool
	}{
		{"early and long", 10 * time.Second, 2 * time.Second, 10 * time.Second, false},
		{"early and short", 10 * time.Second, 2 * time.Second, 7 * time.Second, true},
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

// Guards against an accepted job that is cut off at the exit, whenever the signal reached the host and the job arrived.
func TestNoAcceptedJobOutlastsTheStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, label))
		}
		f := &Filter{}
		plan := NewPlan(start, draw("grace", 20*time.Second))
		f.Begin(plan)
		arrival := draw("arrival", 20*time.Second)
		job := &pipe.Job{Deadline: at(arrival + draw("limit", 30*time.Second))}
		f.Run(context.Background(), at(arrival), job)
		switch {
		case !job.Ended() && job.Deadline.After(plan.Answer):
			t.Fatalf("a job that may run until %s is accepted; running jobs are given up at %s", job.Deadline.Sub(start), plan.Answer.Sub(start))
		case job.Ended() && (job.Outcome.Kind != pipe.NotRun || job.RetryAfter <= 0):
			t.Fatalf("outcome %s, Retry-After %s", job.Outcome.Kind, job.RetryAfter)
		case job.Ended() && !job.Deadline.After(plan.Answer):
			t.Fatalf("a job that ends at %s is refused; running jobs are given up at %s", job.Deadline.Sub(start), plan.Answer.Sub(start))
		}
	})
}

func TestTheTimesOfAStopAreInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "grace"))
		p := NewPlan(start, grace)
		for i, pair := range [][2]time.Time{{start, p.Accept}, {p.Accept, p.Start}, {p.Yield, p.Answer}, {p.Answer, p.Exit}, {p.Exit, at(grace)}} {
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

package serve

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/place"
)

var start = time.Unix(1_700_000_000, 0)

// script answers tries in order, and notes what was sent.
type script struct {
	replies []pipe.Reply
	sent    int
	free    int // Upstreams that are still free.
	held    int
}

func (s *script) Acquire(context.Context, time.Time, place.Ask) *place.Grant {
	if s.free == 0 {
		return nil
	}
	s.free--
	s.held++
	return &place.Grant{Upstream: &roster.Upstream{ID: string(rune('a' + s.free)), Service: "s"}}
}

func (s *script) Release(time.Time, *place.Grant, place.Result) { s.held-- }

func (s *script) Send(context.Context, time.Time, *pipe.Job, *roster.Upstream) pipe.Reply {
	r := s.replies[min(s.sent, len(s.replies)-1)]
	s.sent++
	return r
}

func (*script) Tried(time.Time, *pipe.Job, *roster.Upstream, time.Duration) {}

func run(s *script, once bool) *pipe.Job {
	job := &pipe.Job{
		Once: once, Service: "s", Started: start, Deadline: time.Now().Add(time.Minute), Objective: start,
		Route: &policy.Route{Attempts: 2}, View: &roster.View{Hosts: make([]roster.Host, 1)},
	}
	p := &Pipe{
		Placer: s, Sender: s, Journal: s, Clock: func() time.Time { return start },
		Budget: NewBudget(Terms{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}),
	}
	p.Run(context.Background(), start, job)
	return job
}

var (
	whole   = pipe.Reply{Sent: true, Whole: true, Answer: pipe.Answer{Status: 200}}
	failed  = pipe.Reply{Sent: true, Whole: true, Answer: pipe.Answer{Status: 500}}
	shed    = pipe.Reply{Sent: true, Shed: true}
	moved   = pipe.Reply{Sent: true, Moved: true}
	refused = pipe.Reply{}
	lost    = pipe.Reply{Sent: true}
)

func TestWhatMayRunOnceIsSentAgainOnlyIfItHasNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		once    bool
		replies []pipe.Reply
		sent    int
		want    pipe.Kind
		status  int
	}{
		{"a shed job goes elsewhere", true, []pipe.Reply{shed, whole}, 2, pipe.Answered, 200},
		{"so does one that met another upstream", true, []pipe.Reply{moved, whole}, 2, pipe.Answered, 200},
		{"or no upstream", true, []pipe.Reply{refused, whole}, 2, pipe.Answered, 200},
		{"a lost answer is not asked for again", true, []pipe.Reply{lost, whole}, 1, pipe.Unknown, 0},
		{"nor a failure", true, []pipe.Reply{failed, whole}, 1, pipe.Answered, 500},
		{"what was shed everywhere has not run", true, []pipe.Reply{shed, shed}, 2, pipe.NotRun, 0},
		{"a repeatable job is sent again", false, []pipe.Reply{lost, whole}, 2, pipe.Answered, 200},
		{"after a failure too", false, []pipe.Reply{failed, whole}, 2, pipe.Answered, 200},
		{"a failure is passed on if the next try brings less", false, []pipe.Reply{failed, lost}, 2, pipe.Answered, 500},
		{"what was lost once may have run", false, []pipe.Reply{lost, shed}, 2, pipe.Unknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &script{replies: c.replies, free: 5}
			job := run(s, c.once)
			assert.Equal(t, s.sent, c.sent)
			assert.Equal(t, job.Outcome.Kind, c.want)
			if c.want == pipe.Answered {
				assert.Equal(t, job.Answer.Status, c.status)
			}
			assert.Equal(t, s.held, 0)
		})
	}
}

func TestAJobWithoutAnUpstreamIsRefusedWithATimeToComeBack(t *testing.T) {
	job := run(&script{}, true)
	assert.Equal(t, job.Outcome.Kind, pipe.NotRun)
	assert.Assert(t, job.RetryAfter > 0)
}

func TestARetryThatFindsNoUpstreamLeavesTheTruth(t *testing.T) {
	job := run(&script{replies: []pipe.Reply{lost}, free: 1}, false)
	assert.Equal(t, job.Outcome.Kind, pipe.Unknown)
}

func TestAtMostAsManyUpstreamsAsTheRouteAllows(t *testing.T) {
	s := &script{replies: []pipe.Reply{lost}, free: 9}
	run(s, false)
	assert.Equal(t, s.sent, 2)
}

// Load pattern: upstreams fail much, and all hosts retry. Over any window the retries of all hosts together stay
// under the shared budget, however unevenly the requests come.
func TestTheSharedBudgetHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		hosts := make([]*Budget, rapid.IntRange(1, 12).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = NewBudget(terms)
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			b := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "retry") {
				if b.Retry(now, "s", len(hosts)) {
					events = append(events, event{now, true})
				}
				continue
			}
			b.First(now, "s")
			events = append(events, event{now, false})
		}
		for i := range events {
			retries, firsts := 0, 0
			for _, e := range events[:i+1] {
				if age := events[i].at.Sub(e.at); age < terms.Window && e.retry {
					retries++
				} else if age < 2*terms.Window && !e.retry {
					firsts++
				}
			}
			if limit := terms.Ratio*float64(firsts) + terms.Slack; float64(retries) > limit {
				t.Fatalf("%d retries, the budget allows %.0f", retries, limit)
			}
		}
	})
}

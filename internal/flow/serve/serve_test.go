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

// scriptedUpstreams replies to attempts in order and counts them.
type scriptedUpstreams struct {
	replies []pipe.Reply
	sent    int
	free    int // Slots that can still be acquired.
	held    int

	requests []place.Request
	results  []place.Result
}

func (s *scriptedUpstreams) Acquire(_ context.Context, _ time.Time, req place.Request) (*place.Grant, place.Refusal) {
	s.requests = append(s.requests, req)
	if s.free == 0 {
		return nil, place.Refusal{}
	}
	s.free--
	s.held++
	return &place.Grant{Upstream: &roster.Upstream{ID: string(rune('a' + s.free)), Service: "s"}}, place.Refusal{}
}

func (s *scriptedUpstreams) Release(_ time.Time, _ *place.Grant, r place.Result) {
	s.results = append(s.results, r)
	s.held--
}

func (s *scriptedUpstreams) Send(context.Context, time.Time, *pipe.Job, *roster.Upstream) pipe.Reply {
	r := s.replies[min(s.sent, len(s.replies)-1)]
	s.sent++
	return r
}

func (*scriptedUpstreams) RecordAttempt(time.Time, *pipe.Job, *roster.Upstream, time.Duration) {}

func (*scriptedUpstreams) RecordHedge(*pipe.Job, Hedge) {}

func run(s *scriptedUpstreams, once bool) *pipe.Job {
	job := &pipe.Job{
		Once: once, Service: "s", Started: start, Deadline: time.Now().Add(time.Minute), Objective: start,
		Route: &policy.Route{Attempts: 2}, View: &roster.View{Hosts: make([]roster.Host, 1)},
	}
	p := &Filter{
		Placer: s, Sender: s, Recorder: s, Clock: func() time.Time { return start },
		Budget: NewBudget(BudgetConfig{Ratio: 0.2, ExtraRetries: 50, Window: 10 * time.Second}),
	}
	p.Run(context.Background(), start, job)
	return job
}

var (
	whole   = pipe.Reply{Sent: true, Complete: true, Answer: pipe.Answer{Status: 200}}
	failed  = pipe.Reply{Sent: true, Complete: true, Answer: pipe.Answer{Status: 500}}
	shed    = pipe.Reply{Sent: true, Shed: true}
	moved   = pipe.Reply{Sent: true, AddressReused: true}
	refused = pipe.Reply{}
	left    = pipe.Reply{Left: true}
	lost    = pipe.Reply{Sent: true}
	// noMemory is the reply to a job whose answer this host couldn't read.
	noMemory = pipe.Reply{Sent: true, NoMemory: true}
)

func TestAnAtMostOnceJobIsRetriedOnlyIfItHasNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		once    bool
		replies []pipe.Reply
		sent    int
		want    pipe.OutcomeKind
		status  int
	}{
		{"a shed job is retried", true, []pipe.Reply{shed, whole}, 2, pipe.Answered, 200},
		{"a job sent to a reused address is retried", true, []pipe.Reply{moved, whole}, 2, pipe.Answered, 200},
		{"a job without a connection is retried", true, []pipe.Reply{refused, whole}, 2, pipe.Answered, 200},
		{"a lost at-most-once job is not retried", true, []pipe.Reply{lost, whole}, 1, pipe.Unknown, 0},
		{"a failed at-most-once job is not retried", true, []pipe.Reply{failed, whole}, 1, pipe.Answered, 500},
		{"a job shed by all upstreams has not run", true, []pipe.Reply{shed, shed}, 2, pipe.NotRun, 0},
		{"a lost repeatable job is retried", false, []pipe.Reply{lost, whole}, 2, pipe.Answered, 200},
		{"a failed repeatable job is retried", false, []pipe.Reply{failed, whole}, 2, pipe.Answered, 200},
		{"a failed answer is returned if the retry is lost", false, []pipe.Reply{failed, lost}, 2, pipe.Answered, 500},
		{"a job whose answer has no room is not retried", false, []pipe.Reply{noMemory, whole}, 1, pipe.Unknown, 0},
		{"a job lost once may have run", false, []pipe.Reply{lost, shed}, 2, pipe.Unknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedUpstreams{replies: c.replies, free: 5}
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

func TestAJobWithoutAnUpstreamIsRefusedWithRetryAfter(t *testing.T) {
	job := run(&scriptedUpstreams{}, true)
	assert.Equal(t, job.Outcome.Kind, pipe.NotRun)
	assert.Assert(t, job.RetryAfter > 0)
}

func TestAnUnplacedRetryKeepsTheUnknownOutcome(t *testing.T) {
	job := run(&scriptedUpstreams{replies: []pipe.Reply{lost}, free: 1}, false)
	assert.Equal(t, job.Outcome.Kind, pipe.Unknown)
}

func TestAttemptsAreLimitedByTheRoute(t *testing.T) {
	s := &scriptedUpstreams{replies: []pipe.Reply{lost}, free: 9}
	run(s, false)
	assert.Equal(t, s.sent, 2)
}

// While upstreams fail and all hosts retry, the retries of all hosts together must stay within the shared budget over
// any window, however unevenly the requests arrive.
func TestRetriesOfAllHostsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := BudgetConfig{Ratio: 0.2, ExtraRetries: 50, Window: 10 * time.Second}
		hosts := make([]*Budget, rapid.IntRange(1, 12).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = NewBudget(config)
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
				if b.SpendRetry(now, "s", len(hosts), true) {
					events = append(events, event{now, true})
				}
				continue
			}
			b.RecordRequest(now, "s")
			events = append(events, event{now, false})
		}
		for i := range events {
			retries, firsts := 0, 0
			for _, e := range events[:i+1] {
				if age := events[i].at.Sub(e.at); age < config.Window && e.retry {
					retries++
				} else if age < 2*config.Window && !e.retry {
					firsts++
				}
			}
			if limit := config.Ratio*float64(firsts) + config.ExtraRetries; float64(retries) > limit {
				t.Fatalf("%d retries, the budget allows %.0f", retries, limit)
			}
		}
	})
}

func TestARefusedCallerIsToldWhenASlotIsExpected(t *testing.T) {
	job := &pipe.Job{Level: 1}
	for range 50 {
		d := retryAfter(job, 3*time.Second)
		assert.Assert(t, d >= 3*time.Second+retryAfterStep && d < 3*time.Second+2*retryAfterStep, "%s", d)
		assert.Assert(t, retryAfter(job, 0) >= retryAfterBase+retryAfterStep)
	}
}

func TestAJobInQuarantineIsRefusedAsNotRun(t *testing.T) {
	job := &pipe.Job{}
	(&Filter{}).refuseUnplaced(context.Background(), job, place.Refusal{Quarantined: true})
	assert.Equal(t, job.Outcome.Kind, pipe.NotRun)
	assert.Equal(t, job.Outcome.Reason, pipe.Quarantined)
	assert.Equal(t, job.RetryAfter, time.Duration(0))
}

// Guards against callers who come back after a rejection and find the retries used up by those who can still come back themselves:
// all upstreams reject 46 in 100 jobs, and each caller comes back once.
func TestRetriesAreKeptForTheFinalAttemptsOfCallers(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.2, ExtraRetries: 50, Window: 10 * time.Second})
	var refused, spent [2]int
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		final := i%4 == 0
		b.RecordRequest(now, "s")
		if i%100 >= 46 || i < 10_000 {
			continue
		}
		kind := 0
		if final {
			kind = 1
		}
		if b.SpendRetry(now, "s", 10, final) {
			spent[kind]++
		} else {
			refused[kind]++
		}
	}
	assert.Assert(t, refused[0] > 0, "the budget isn't short")
	assert.Assert(t, refused[1]*10 <= spent[1], "%d final attempts without a retry, %d with one", refused[1], spent[1])
}

// Guards against upstreams that are ejected because this host has no memory for their answers.
func TestAnAnswerWithoutRoomSaysNothingAboutItsUpstream(t *testing.T) {
	r := result(&noMemory, time.Second)
	assert.Assert(t, r.Inconclusive && !r.Succeeded && !r.Unreachable && !r.Crashed)
}

// Guards against a retry that counts twice against a quota, and one that runs uncounted because the first attempt's token was returned.
func TestAJobCountsOnceAgainstItsQuota(t *testing.T) {
	for _, c := range []struct {
		name            string
		first           pipe.Reply
		notRun, counted bool
	}{
		{"shed", shed, true, false},
		{"sent to a reused address", moved, true, false},
		{"not sent", refused, true, false},
		{"answered with an error", failed, false, true},
		{"lost", lost, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedUpstreams{replies: []pipe.Reply{c.first, whole}, free: 2}
			run(s, false)
			assert.Equal(t, len(s.requests), 2)
			assert.Assert(t, !s.requests[0].Counted)
			assert.Equal(t, s.requests[1].Counted, c.counted)
			assert.Equal(t, s.results[0].NotRun, c.notRun)
			assert.Assert(t, !s.results[1].NotRun)
		})
	}
}

// Guards against a job that fails, or that counts against an upstream, because the upstream left while the connection to it was opened.
func TestAJobWhoseUpstreamLeftBeforeTheSendGoesToAnother(t *testing.T) {
	s := &scriptedUpstreams{replies: []pipe.Reply{left, whole}, free: 2}
	job := run(s, true)
	assert.Equal(t, job.Outcome.Kind, pipe.Answered)
	assert.Assert(t, s.results[0].Inconclusive && s.results[0].NotRun && !s.results[0].Unreachable, "%+v", s.results[0])
	assert.Equal(t, len(s.requests[1].Tried), 1)
}

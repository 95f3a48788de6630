package serve

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// threshold is the time after which the upstreams under test get a second attempt.
const threshold = 20 * time.Millisecond

// plan is what one attempt does.
type plan struct {
	takes time.Duration // 0 for until it is canceled.
	reply pipe.Reply
	panic bool
}

// upstreams is a placer, sender and recorder whose attempts follow plans in their order.
type upstreams struct {
	plans        []plan
	noFree       bool                      // No slot is free for a second attempt.
	freeAt       int                       // How often no slot is free before one is.
	onAcquire    func(ctx context.Context) // Called for a second attempt, if set.
	thresholdOff bool

	mu      sync.Mutex
	grants  map[*place.Grant]int // How often each was released.
	results []place.Result
	sends   []string // The upstreams that the job was sent to.
	causes  []error  // Why attempts were canceled.
	hedges  []Hedge
	reasons []pipe.Reason // Of the recorded attempts.
	running atomic.Int64
}

func (s *upstreams) Acquire(ctx context.Context, _ time.Time, req place.Request) (*place.Grant, place.Refusal) {
	if req.NoWait {
		if s.onAcquire != nil {
			s.onAcquire(ctx)
		}
		if s.noFree {
			return nil, place.Refusal{}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.NoWait && s.freeAt > 0 {
		s.freeAt--
		return nil, place.Refusal{}
	}
	g := &place.Grant{Upstream: &roster.Upstream{ID: fmt.Sprint("u", len(s.grants)), Service: "s"}, HedgeAfter: threshold}
	if s.thresholdOff {
		g.HedgeAfter = 0
	}
	s.grants[g] = 0
	return g, place.Refusal{}
}

func (s *upstreams) Release(_ time.Time, g *place.Grant, r place.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants[g]++
	s.results = append(s.results, r)
}

func (s *upstreams) Send(ctx context.Context, _ time.Time, _ *pipe.Job, u *roster.Upstream) pipe.Reply {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	p := s.plans[min(len(s.sends), len(s.plans)-1)]
	s.sends = append(s.sends, u.ID)
	s.mu.Unlock()
	if p.panic {
		panic("a fault in the sender")
	}
	var done <-chan time.Time
	if p.takes > 0 {
		done = time.After(p.takes)
	}
	select {
	case <-done:
		return p.reply
	case <-ctx.Done():
		s.mu.Lock()
		s.causes = append(s.causes, context.Cause(ctx))
		s.mu.Unlock()
		return pipe.Reply{Sent: true, Late: true, Err: ctx.Err()}
	}
}

func (s *upstreams) RecordAttempt(_ time.Time, job *pipe.Job, _ *roster.Upstream, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reasons = append(s.reasons, job.Outcome.Reason)
}

func (s *upstreams) RecordHedge(_ *pipe.Job, h Hedge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedges = append(s.hedges, h)
}

func newUpstreams(plans ...plan) *upstreams {
	return &upstreams{plans: plans, grants: map[*place.Grant]int{}}
}

// filter returns a filter whose budget has room for many second attempts.
func (s *upstreams) filter() *Filter {
	return &Filter{
		Placer: s, Sender: s, Recorder: s, Clock: time.Now, OnPanic: func(string, any) {},
		Budget: NewBudget(BudgetConfig{Ratio: 0.2, ExtraRetries: 1000, Window: 10 * time.Second}),
	}
}

func newJob(timeout time.Duration) *pipe.Job {
	now := time.Now()
	return &pipe.Job{
		ID: "j", Service: "s", Started: now, Deadline: now.Add(timeout), Objective: now,
		Route: &policy.Route{Attempts: 2}, View: &roster.View{Hosts: make([]roster.Host, 1)},
	}
}

// settle waits until no attempt is left, and checks that each grant was released once.
func (s *upstreams) settle(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		for g, n := range s.grants {
			if n != 1 {
				return poll.Continue("the grant of %s was released %d times", g.Upstream.ID, n)
			}
		}
		if len(s.reasons) < len(s.sends) {
			return poll.Continue("%d of %d attempts are recorded", len(s.reasons), len(s.sends))
		}
		if n := s.running.Load(); n > 0 {
			return poll.Continue("%d attempts still run", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// assertCauses checks the causes with which attempts were canceled.
func (s *upstreams) assertCauses(t *testing.T, want ...error) {
	t.Helper()
	assert.Assert(t, slices.EqualFunc(s.causes, want, errors.Is), "canceled with %v, want %v", s.causes, want)
}

// inconclusive returns the number of results that say nothing about their upstream.
func (s *upstreams) inconclusive() int {
	n := 0
	for _, r := range s.results {
		if r.Inconclusive {
			n++
		}
	}
	return n
}

var (
	long  = plan{}
	quick = plan{takes: 2 * time.Millisecond, reply: whole}
)

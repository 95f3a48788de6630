package serve

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Guards against answers that come at the end of a run that takes 7 times as long, although another run would have ended long before.
func TestALongRunGetsASecondAttemptWhoseAnswerWins(t *testing.T) {
	s := newUpstreams(long, quick)
	job := newJob(time.Minute)
	s.filter().Run(context.Background(), time.Now(), job)
	s.settle(t)
	assert.Equal(t, job.Outcome.Kind, pipe.Answered)
	assert.Equal(t, job.Upstream.ID, "u1")
	assert.Equal(t, job.Attempts, 2)
	s.assertCauses(t, pipe.ErrSuperseded)
	assert.Equal(t, s.inconclusive(), 1)
	assert.Equal(t, len(s.hedges), 1)
	h := s.hedges[0]
	assert.Equal(t, h.Result, HedgeWon)
	assert.Equal(t, h.Second.ID, "u1")
	// The first attempt is sent a little after the time begins to count.
	assert.Assert(t, h.Threshold == threshold && h.Delay > threshold/2 && h.Delay < time.Second, "%+v", h)
}

func TestTheFirstAttemptMayWinAgainstTheSecond(t *testing.T) {
	s := newUpstreams(plan{takes: threshold + 30*time.Millisecond, reply: whole}, long)
	job := newJob(time.Minute)
	s.filter().Run(context.Background(), time.Now(), job)
	s.settle(t)
	assert.Equal(t, job.Outcome.Kind, pipe.Answered)
	assert.Equal(t, job.Upstream.ID, "u0")
	assert.Equal(t, s.hedges[0].Result, HedgeLost)
	assert.Equal(t, s.inconclusive(), 1)
	assert.Assert(t, len(s.reasons) == 2)
}

// Guards against second attempts of jobs that may run once, of routes with one attempt, and without a long tail.
func TestOtherJobsGetNoSecondAttempt(t *testing.T) {
	for name, change := range map[string]func(s *upstreams, job *pipe.Job){
		"runs at most once":    func(_ *upstreams, job *pipe.Job) { job.Once = true },
		"one attempt":          func(_ *upstreams, job *pipe.Job) { job.Route.Attempts = 1 },
		"no attempt specified": func(_ *upstreams, job *pipe.Job) { job.Route.Attempts = 0 },
		"no long tail":         func(s *upstreams, _ *pipe.Job) { s.thresholdOff = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newUpstreams(plan{takes: 3 * threshold, reply: whole}, quick)
			job := newJob(time.Minute)
			change(s, job)
			s.filter().Run(context.Background(), time.Now(), job)
			s.settle(t)
			assert.Equal(t, len(s.sends), 1)
			assert.Equal(t, job.Outcome.Kind, pipe.Answered)
			assert.Equal(t, len(s.hedges), 0)
		})
	}
}

// Guards against waiting for a slot, and against losing the first attempt when there is none for the second.
func TestWithoutASlotOrBudgetTheFirstAttemptGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *upstreams, f *Filter)
		want   HedgeResult
	}{
		"no slot":   {func(s *upstreams, _ *Filter) { s.noFree = true }, HedgeUnplaced},
		"no budget": {func(_ *upstreams, f *Filter) { f.Budget.SetConfig(BudgetConfig{Window: time.Second}) }, HedgeUnpaid},
	} {
		t.Run(name, func(t *testing.T) {
			s := newUpstreams(plan{takes: 5 * threshold, reply: whole})
			f := s.filter()
			c.change(s, f)
			job := newJob(time.Minute)
			f.Run(context.Background(), time.Now(), job)
			s.settle(t)
			assert.Equal(t, job.Outcome.Kind, pipe.Answered)
			assert.Equal(t, job.Attempts, 1)
			assert.Equal(t, len(s.sends), 1)
			assert.Equal(t, s.hedges[0].Result, c.want)
		})
	}
}

// Guards against a long run without a second attempt because no slot was free at the one moment when it was due.
func TestASecondAttemptIsTriedAgainWhileTheFirstRuns(t *testing.T) {
	s := newUpstreams(long, quick)
	s.freeAt = 2
	job := newJob(time.Minute)
	began := time.Now()
	s.filter().Run(context.Background(), began, job)
	s.settle(t)
	assert.Assert(t, time.Since(began) >= threshold+3*firstHedgePause)
	assert.Equal(t, job.Upstream.ID, "u1")
	assert.Equal(t, job.Attempts, 2)
	var results []HedgeResult
	for _, h := range s.hedges {
		results = append(results, h.Result)
	}
	assert.DeepEqual(t, results, []HedgeResult{HedgeUnplaced, HedgeUnplaced, HedgeWon})
}

// Guards against an answer that waits for a placing host that fails between the two attempts.
func TestAnAnswerDoesNotWaitForTheSecondAttemptsPlacing(t *testing.T) {
	s := newUpstreams(plan{takes: 2 * threshold, reply: whole})
	s.noFree = true
	s.onAcquire = func(ctx context.Context) { <-ctx.Done() }
	job := newJob(time.Minute)
	began := time.Now()
	s.filter().Run(context.Background(), began, job)
	assert.Assert(t, time.Since(began) < 10*time.Second)
	s.settle(t)
	assert.Equal(t, job.Outcome.Kind, pipe.Answered)
	assert.Equal(t, s.hedges[0].Result, HedgeUnneeded)
}

// Guards against a slot that stays taken when it is granted after the first attempt was answered.
func TestAGrantThatComesTooLateIsReleasedUnused(t *testing.T) {
	s := newUpstreams(plan{takes: 2 * threshold, reply: whole})
	s.onAcquire = func(ctx context.Context) { <-ctx.Done() }
	f := s.filter()
	f.Run(context.Background(), time.Now(), newJob(time.Minute))
	s.settle(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.results) != 2 {
			return poll.Continue("%d grants released", len(s.results))
		}
		return poll.Success()
	})
	assert.Equal(t, len(s.sends), 1)
	assert.Equal(t, s.inconclusive(), 1)
}

// Guards against upstreams that go on working after the caller has left or the host has stopped.
func TestBothAttemptsEndWithTheCallerOrTheHost(t *testing.T) {
	for name, keep := range map[string]bool{"losers canceled": false, "losers kept": true} {
		for _, cause := range []error{context.Canceled, pipe.ErrStopping} {
			t.Run(fmt.Sprint(name, " ", cause), func(t *testing.T) {
				s := newUpstreams(long)
				f := s.filter()
				f.KeepLosers = keep
				ctx, cancel := context.WithCancelCause(context.Background())
				time.AfterFunc(3*threshold, func() { cancel(cause) })
				job := newJob(time.Minute)
				began := time.Now()
				f.Run(ctx, began, job)
				assert.Assert(t, time.Since(began) < 10*time.Second)
				s.settle(t)
				assert.Equal(t, len(s.sends), 2)
				s.assertCauses(t, cause, cause)
				assert.Equal(t, s.inconclusive(), 2)
				assert.Equal(t, job.Outcome.Kind, pipe.Unknown)
				want := pipe.CallerGone
				if errors.Is(cause, pipe.ErrStopping) {
					want = pipe.Stopping
				}
				assert.Equal(t, job.Outcome.Reason, want)
				assert.Equal(t, s.hedges[0].Result, HedgeFailed)
			})
		}
	}
}

func TestBothAttemptsEndAtTheDeadline(t *testing.T) {
	s := newUpstreams(long)
	job := newJob(5 * threshold)
	s.filter().Run(context.Background(), time.Now(), job)
	s.settle(t)
	assert.Equal(t, job.Outcome.Reason, pipe.TimedOut)
	assert.Equal(t, len(s.sends), 2)
}

// Guards against a failure of one attempt that ends the job while the other one still runs.
func TestAFailedAttemptLeavesTheOtherRunning(t *testing.T) {
	for name, c := range map[string]struct {
		first, second plan
		status        int
		upstream      string
		result        HedgeResult
	}{
		"first lost":       {plan{takes: 2 * threshold, reply: lost}, plan{takes: 3 * threshold, reply: whole}, 200, "u1", HedgeWon},
		"first failed":     {plan{takes: 2 * threshold, reply: failed}, plan{takes: 3 * threshold, reply: whole}, 200, "u1", HedgeWon},
		"second shed":      {plan{takes: 3 * threshold, reply: whole}, plan{takes: 1, reply: shed}, 200, "u0", HedgeLost},
		"second lost":      {plan{takes: 3 * threshold, reply: whole}, plan{takes: 1, reply: lost}, 200, "u0", HedgeLost},
		"second failed":    {plan{takes: 3 * threshold, reply: whole}, plan{takes: 1, reply: failed}, 200, "u0", HedgeLost},
		"only one answers": {plan{takes: 3 * threshold, reply: failed}, plan{takes: 1, reply: lost}, 500, "u0", HedgeFailed},
	} {
		t.Run(name, func(t *testing.T) {
			s := newUpstreams(c.first, c.second)
			job := newJob(time.Minute)
			s.filter().Run(context.Background(), time.Now(), job)
			s.settle(t)
			assert.Equal(t, job.Outcome.Kind, pipe.Answered)
			assert.Equal(t, job.Answer.Status, c.status)
			assert.Equal(t, job.Upstream.ID, c.upstream)
			assert.Equal(t, s.hedges[0].Result, c.result)
			assert.Equal(t, len(s.sends), 2) // The route allows no third attempt.
		})
	}
}

// Guards against a job that is reported as not run because one of its attempts was shed, while the other one may have run.
func TestAJobWithOneLostAttemptMayHaveRun(t *testing.T) {
	for name, plans := range map[string][]plan{
		"first lost":  {{takes: 2 * threshold, reply: lost}, {takes: 2 * threshold, reply: shed}},
		"second lost": {{takes: 2 * threshold, reply: shed}, {takes: 2 * threshold, reply: lost}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newUpstreams(plans...)
			job := newJob(time.Minute)
			s.filter().Run(context.Background(), time.Now(), job)
			s.settle(t)
			assert.Equal(t, job.Outcome.Kind, pipe.Unknown)
			assert.Assert(t, job.MayHaveRun)
		})
	}
}

// Guards against a crash that is forgotten because the other attempt was answered later.
func TestACrashOfEitherAttemptIsKept(t *testing.T) {
	crashed := pipe.Reply{Sent: true, Crashed: true}
	s := newUpstreams(plan{takes: 2 * threshold, reply: crashed}, plan{takes: 3 * threshold, reply: whole})
	job := newJob(time.Minute)
	s.filter().Run(context.Background(), time.Now(), job)
	s.settle(t)
	assert.Equal(t, job.Outcome.Kind, pipe.Answered)
	assert.Assert(t, !job.Crashed)
	assert.DeepEqual(t, job.CrashedUpstreams, []pipe.UpstreamRef{{ID: "u0"}})
}

// Guards against two answers that come at the same time: one must be used, and each grant released once.
func TestSimultaneousAnswersAreUsedOnce(t *testing.T) {
	for range 50 {
		s := newUpstreams(plan{takes: threshold + 2*time.Millisecond, reply: whole}, plan{takes: 2 * time.Millisecond, reply: whole})
		job := newJob(time.Minute)
		s.filter().Run(context.Background(), time.Now(), job)
		s.settle(t)
		assert.Equal(t, job.Outcome.Kind, pipe.Answered)
		assert.Assert(t, job.Upstream.ID == "u0" || job.Upstream.ID == "u1")
	}
}

// Guards against second attempts that use up the retries of jobs that have failed.
func TestSecondAttemptsLeaveHalfOfTheBudgetToRetries(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.2, Window: 10 * time.Second})
	for range 1000 {
		b.RecordRequest(start, "s")
	}
	hedges, retries := 0, 0
	for b.SpendHedge(start, "s", 1) {
		hedges++
	}
	for b.SpendRetry(start, "s", 1, true) {
		retries++
	}
	assert.Equal(t, hedges, 80)
	assert.Equal(t, retries, 80)
	assert.Assert(t, !b.MayHedge(start, "s", 1))
	later := start.Add(11 * time.Second)
	for range 1000 {
		b.RecordRequest(later, "s")
	}
	for retries = 0; b.SpendRetry(later, "s", 1, true); retries++ {
		assert.Assert(t, retries < 1000)
	}
	assert.Equal(t, retries, 160) // Without second attempts, retries may take all of it.
	assert.Assert(t, !b.MayHedge(later, "s", 1))
}

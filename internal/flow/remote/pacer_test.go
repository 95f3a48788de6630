package remote

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/bucket"
	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

type spending struct {
	at    time.Time
	bytes float64
}

// maxPerSecond returns the largest sum that was spent within any second.
func maxPerSecond(list []spending) float64 {
	var top, sum float64
	first := 0
	for _, s := range list {
		sum += s.bytes
		for !list[first].at.After(s.at.Add(-time.Second)) {
			sum -= list[first].bytes
			first++
		}
		top = max(top, sum)
	}
	return top
}

func TestNoSecondExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1000, 1e6).Draw(t, "limit")
		now := time.Unix(1000, 0)
		b := bucket.New(limit, now)
		var list []spending
		for range rapid.IntRange(1, 300).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Float64Range(1, limit*bucket.BurstFraction).Draw(t, "bytes")
			if wait := b.Take(n, now); wait > 0 {
				now = now.Add(wait)
				assert.Equal(t, b.Take(n, now), time.Duration(0))
			}
			list = append(list, spending{now, n})
		}
		assert.Assert(t, maxPerSecond(list) <= limit*1.0001, "%.0f in a second of %.0f", maxPerSecond(list), limit)
	})
}

func TestNoSecondMovesMoreJobsThanTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 200).Draw(t, "limit")
		now := time.Unix(1000, 0)
		b := bucket.New(limit, now)
		var list []spending
		for range rapid.IntRange(1, 500).Draw(t, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if b.TakeOne(now) {
				list = append(list, spending{now, 1})
			}
		}
		if len(list) > 0 {
			assert.Assert(t, maxPerSecond(list) <= limit, "%.0f in a second of %.2f", maxPerSecond(list), limit)
		}
	})
}

func pacerPlan(quota share.Quota) *plan.Plan {
	return &plan.Plan{
		Doc:   &spec.Document{Ranks: []spec.Rank{{Name: "top"}, {Name: "low", Minimum: 0.1}}},
		Links: map[string]share.Quota{"far": quota},
	}
}

func TestUrgentMessagesGoFirstAndOthersKeepTheirMinimum(t *testing.T) {
	p := NewPacer(time.Now)
	p.Update(time.Now(), pacerPlan(share.Quota{Floor: 200_000}))
	begin := time.Now()
	var mu sync.Mutex
	bytes := [2]int{}
	var wg sync.WaitGroup
	for level := range 2 {
		for range 100 {
			wg.Go(func() {
				if p.Wait(context.Background(), begin, "far", level, 2000, begin.Add(600*time.Millisecond)) {
					mu.Lock()
					defer mu.Unlock()
					bytes[level] += 2000
				}
			})
		}
	}
	wg.Wait()
	sum := bytes[0] + bytes[1]
	assert.Assert(t, sum <= 200_000, "%d bytes in less than a second", sum)
	assert.Assert(t, bytes[0] > bytes[1], "%v", bytes)
	assert.Assert(t, float64(bytes[1]) >= 0.05*float64(sum), "the low rank sent %d of %d", bytes[1], sum)
}

func TestExpiredShareFallsBackToItsFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPacer(func() time.Time { return now })
	p.Update(now, pacerPlan(share.Quota{Lent: 1_000_000, Until: now.Add(time.Second)}))
	now = now.Add(time.Second) // No newer plan has arrived, as after a pause of the process.
	ok := p.Wait(context.Background(), now, "far", 0, 100, now.Add(time.Hour))
	assert.Assert(t, !ok, "the loan has expired, and the floor is 0")
}

func TestRetriesAreBoundedByFirstTries(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.AddFirstTry("s", 0, 0.1)
		if b.TakeRetry("s", 0) {
			retries++
		}
	}
	assert.Assert(t, retries <= 100+maxSavedRetries, "%d retries of 1000 tries", retries)
}

type recordingRunner struct{ sent int }

func (r *recordingRunner) Run(_ context.Context, _ pipe.Target, job *pipe.Job) {
	r.sent++
	job.EndAnswered(pipe.Answer{Status: 200})
}

type noRouter struct{}

func (noRouter) AddTargets(time.Time, *pipe.Job) {}

func TestJobIsRefusedAtOnceIfTheLinkWaitIsTooLong(t *testing.T) {
	pacer := NewPacer(time.Now)
	pl := pacerPlan(share.Quota{Floor: 10_000})
	pacer.Update(time.Now(), pl)
	runner := &recordingRunner{}
	f := New(nil, noRouter{}, runner, pacer, nil, time.Now)
	send := func(timeout time.Duration) pipe.Outcome {
		now := time.Now()
		job := &pipe.Job{Plan: pl, Body: make([]byte, 2000), Deadline: now.Add(timeout), Targets: []pipe.Target{{Region: "far"}}}
		f.Run(context.Background(), now, job)
		return job.Outcome
	}
	// At this rate the link sends the 3,692 bytes of the message after 0.32 to 0.43 s.
	assert.Equal(t, send(time.Second).Reason, pipe.LinkFull)
	assert.Equal(t, runner.sent, 0)
	assert.Equal(t, send(4*time.Second).Kind, pipe.Answered)
}

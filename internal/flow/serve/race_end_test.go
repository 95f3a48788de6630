package serve

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Guards against an answer that waits for the other attempt, and against one that is cut off although it may end.
func TestAKeptLoserEndsByItself(t *testing.T) {
	s := newUpstreams(plan{takes: 10 * threshold, reply: whole}, quick)
	f := s.filter()
	f.KeepLosers = true
	job := newJob(time.Minute)
	began := time.Now()
	f.Run(context.Background(), began, job)
	assert.Assert(t, time.Since(began) < 9*threshold)
	assert.Equal(t, job.Upstream.ID, "u1")
	s.settle(t)
	assert.Equal(t, len(s.causes), 0)
	assert.Equal(t, s.inconclusive(), 0)
}

// Guards against a kept attempt that runs on after the job's deadline.
func TestAKeptLoserEndsAtTheDeadline(t *testing.T) {
	s := newUpstreams(long, quick)
	f := s.filter()
	f.KeepLosers = true
	f.Run(context.Background(), time.Now(), newJob(10*threshold))
	s.settle(t)
	s.assertCauses(t, context.DeadlineExceeded)
}

// Guards against a panic in an attempt that ends the process with all other requests.
func TestAPanicInAnAttemptEndsOnlyThat(t *testing.T) {
	s := newUpstreams(plan{takes: 3 * threshold, reply: whole}, plan{panic: true})
	f := s.filter()
	panics := make(chan string, 1)
	f.OnPanic = func(where string, _ any) { panics <- where }
	job := newJob(time.Minute)
	f.Run(context.Background(), time.Now(), job)
	assert.Equal(t, job.Outcome.Kind, pipe.Answered)
	assert.Equal(t, <-panics, "attempt")
}

// Guards against goroutines that outlive their jobs.
func TestNoGoroutineIsLeftByRaces(t *testing.T) {
	before := runtime.NumGoroutine()
	var jobs sync.WaitGroup
	for i := range 200 {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			s := newUpstreams([]plan{long, {takes: threshold * 2, reply: whole}}[i%2], []plan{quick, long}[i%2])
			f := s.filter()
			f.KeepLosers = i%4 > 1
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%5)*threshold)
			defer cancel()
			f.Run(ctx, time.Now(), newJob(10*threshold))
		}()
	}
	jobs.Wait()
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d goroutines, %d before", runtime.NumGoroutine(), before)
	}
}

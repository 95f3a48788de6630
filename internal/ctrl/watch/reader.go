package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("watch")

// ErrCompacted means that the store no longer holds the changes after a revision.
var ErrCompacted = Errors.NewType("compacted")

// Source reads the store.
type Source interface {
	// Load returns all entries.
	Load(ctx context.Context) (roster.Batch, error)
	// Next returns the changes after a revision; it waits up to the given time for one. It fails with
	// ErrCompacted if they are no longer held.
	Next(ctx context.Context, after int64, wait time.Duration) (roster.Batch, error)
}

const (
	// readPeriod is the least time between two reads: reports of upstreams come all the time, each call is
	// priced, and news must be in force within 2.5 s.
	readPeriod = 500 * time.Millisecond
	// readWait is how long a read waits for a change. A silent connection is noticed that late.
	readWait = 1500 * time.Millisecond
	// retryLeast and retryMost bound the delay after a failed read, which doubles.
	retryLeast = 250 * time.Millisecond
	retryMost  = time.Second
)

// Reader follows the store and feeds the loop.
type Reader struct {
	Source Source
	Loop   *Loop
	Clock  func() time.Time
	Done   chan struct{}
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	defer close(r.Done)
	after, delay := int64(0), retryLeast
	for ctx.Err() == nil {
		start := r.Clock()
		batch, err := r.read(ctx, after)
		switch {
		case errorx.IsOfType(err, ErrCompacted):
			after = 0
			continue
		case err != nil:
			r.Loop.Send(ctx, Lost{Err: err})
			sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, retryMost)
			continue
		}
		after, delay = batch.Revision, retryLeast
		r.Loop.Send(ctx, Read{Batch: batch})
		sleep(ctx, readPeriod-r.Clock().Sub(start))
	}
}

func (r *Reader) read(ctx context.Context, after int64) (roster.Batch, error) {
	if after == 0 {
		return r.Source.Load(ctx)
	}
	return r.Source.Next(ctx, after, readWait)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

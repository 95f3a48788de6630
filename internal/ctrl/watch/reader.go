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

// Relay asks another host for news of the store.
type Relay interface {
	News(ctx context.Context, from roster.Host, after int64) (News, error)
}

const (
	// readPeriod is the least time between two reads: reports of upstreams come all the time, each call is
	// priced, and news must be in force within 2.5 s.
	readPeriod = 500 * time.Millisecond
	// readWait is how long a read waits for a change: less than newsLife, so that a quiet store is no lost one.
	readWait = 800 * time.Millisecond
	// retryLeast and retryMost bound the delay after a failed read, which doubles: with the time of a call they
	// stay below the 3 s after which a host that was cut off counts as in touch again.
	retryLeast = 250 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// retryFollower is the longest delay of a host that need not read: it hears through the hosts that do as soon as one
	// of them has the store again, and each call is priced, also one that is refused.
	retryFollower = 750 * time.Millisecond
	// newsPeriod is the time between two questions to the host that reads for its region.
	newsPeriod = 250 * time.Millisecond
	// newsLife is the age of news after which a host reads the store itself: reports come more often than that.
	newsLife = 1200 * time.Millisecond
	// skipLife is how long a host that gave no news is not asked again.
	skipLife = 2 * time.Second
	// readersMost is how many hosts of a region are asked before a host reads the store itself.
	readersMost = 2
)

// Reader follows the store, or the host that reads it for its region, and feeds the loop.
type Reader struct {
	Source Source
	Relay  Relay
	Loop   *Loop
	Clock  func() time.Time
	Done   chan struct{}

	after   int64
	delay   time.Duration
	lost    bool                 // The last read failed.
	duty    bool                 // This host is one of those that read for the region.
	due     time.Time            // When the store may be read again.
	skipped map[string]time.Time // Until when a host is not asked.
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	defer close(r.Done)
	r.delay, r.skipped = retryLeast, map[string]time.Time{}
	for ctx.Err() == nil {
		start := r.Clock()
		switch {
		case r.ask(ctx):
			sleep(ctx, newsPeriod-r.Clock().Sub(start))
		case start.Before(r.due):
			sleep(ctx, min(newsPeriod, r.due.Sub(start)))
		default:
			r.read(ctx)
		}
	}
}

// ask asks the hosts that read for this region; it reports false if this host should read the store itself.
func (r *Reader) ask(ctx context.Context) bool {
	v := r.Loop.View()
	r.duty = true
	for i, h := range v.Placers(v.Self.Region, readerRole) {
		if r.duty = i < readersMost; !r.duty || h.Name == v.Self.Name {
			return false
		}
		if r.Clock().Before(r.skipped[h.Name]) {
			continue
		}
		n, err := r.Relay.News(ctx, h, r.after)
		if err != nil {
			r.skipped[h.Name] = r.Clock().Add(skipLife)
			continue
		}
		if n.Age <= newsLife {
			r.take(ctx, n)
			return true
		}
	}
	return false
}

// readerRole spreads the duty of reading and the placing of services over a region's hosts.
const readerRole = "reader"

// take feeds news to the loop, unless this host has read the store itself a moment ago.
func (r *Reader) take(ctx context.Context, n News) {
	if n.Batch.Revision < r.after {
		return
	}
	n.Batch.Age = n.Age
	r.after = n.Batch.Revision
	r.Loop.Send(ctx, Read{Batch: n.Batch})
}

func (r *Reader) read(ctx context.Context) {
	start := r.Clock()
	batch, err := r.next(ctx)
	switch {
	case errorx.IsOfType(err, ErrCompacted):
		r.after = 0
		return
	case err != nil:
		r.Loop.Send(ctx, Lost{Err: err})
		r.lost, r.due = true, r.Clock().Add(r.delay/2+rand.N(r.delay))
		most := retryFollower
		if r.duty {
			most = retryMost
		}
		r.delay = min(2*r.delay, most)
		return
	}
	r.after, r.delay, r.lost, r.due = batch.Revision, retryLeast, false, start.Add(readPeriod)
	r.Loop.Send(ctx, Read{Batch: batch})
}

func (r *Reader) next(ctx context.Context) (roster.Batch, error) {
	if r.after == 0 {
		return r.Source.Load(ctx)
	}
	if r.lost {
		return r.Source.Next(ctx, r.after, 0) // A call that need not wait is given up sooner.
	}
	return r.Source.Next(ctx, r.after, readWait)
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

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

// ErrCompacted means that the store no longer holds the changes after the requested revision.
var ErrCompacted = Errors.NewType("compacted")

// Source reads the store.
type Source interface {
	// Load returns a full read of all entries.
	Load(ctx context.Context) (roster.Batch, error)
	// Next returns the changes after a revision and waits up to the given time for the first one. It fails with
	// ErrCompacted if the store no longer holds them.
	Next(ctx context.Context, after int64, wait time.Duration) (roster.Batch, error)
}

// PeerSource fetches store changes from another host.
type PeerSource interface {
	Updates(ctx context.Context, from roster.Host, after int64) (Updates, error)
}

const (
	// minReadInterval is the minimum time between two store reads. Upstream reports arrive continuously and each
	// call to the store is billed, but changes must take effect within 2.5 s.
	minReadInterval = 500 * time.Millisecond
	// longPollTimeout is how long a read waits for a change. It is less than maxUpdateAge, so that a store without
	// changes isn't taken for an unreachable one.
	longPollTimeout = 800 * time.Millisecond
	// minRetryDelay and maxReaderRetryDelay bound the exponential backoff after a failed read. Together with the time
	// of a call they stay below the 3 s after which a host counts as connected again when a partition ends.
	minRetryDelay       = 250 * time.Millisecond
	maxReaderRetryDelay = 500 * time.Millisecond
	// maxFollowerRetryDelay bounds the backoff of a host that isn't one of the region's readers. It gets changes from
	// a reader as soon as one can read the store again, and even a refused call is billed.
	maxFollowerRetryDelay = 750 * time.Millisecond
	// peerPollInterval is the time between two requests to the region's reader.
	peerPollInterval = 250 * time.Millisecond
	// maxUpdateAge is the age from which a reader's changes are ignored and a host reads the store itself. Upstream
	// reports arrive more often than that.
	maxUpdateAge = 1200 * time.Millisecond
	// peerSkipPeriod is how long a host is skipped after a failed request.
	peerSkipPeriod = 2 * time.Second
	// maxReaders is the maximum number of hosts of a region that read the store for the others.
	maxReaders = 2
)

// Reader feeds the loop with store changes, from one of the region's readers or from the store itself.
type Reader struct {
	Source Source
	Peers  PeerSource
	Loop   *Loop
	Clock  func() time.Time
	Done   chan struct{}

	revision   int64
	retryDelay time.Duration
	failed     bool                 // The last store read failed.
	designated bool                 // This host is one of the region's readers; valid only after pollPeers returned false.
	nextRead   time.Time            // Earliest time of the next store read.
	skipUntil  map[string]time.Time // By host name.
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	defer close(r.Done)
	r.retryDelay, r.skipUntil = minRetryDelay, map[string]time.Time{}
	for ctx.Err() == nil {
		start := r.Clock()
		switch {
		case r.pollPeers(ctx):
			sleep(ctx, peerPollInterval-r.Clock().Sub(start))
		case start.Before(r.nextRead):
			sleep(ctx, min(peerPollInterval, r.nextRead.Sub(start)))
		default:
			r.readStore(ctx)
		}
	}
}

// pollPeers requests changes from the region's readers; it returns false if this host should read the store itself.
func (r *Reader) pollPeers(ctx context.Context) bool {
	v := r.Loop.View()
	r.designated = true
	for i, h := range v.DutyOrder(v.Self.Region, readerRole) {
		if r.designated = i < maxReaders; !r.designated || h.Name == v.Self.Name {
			return false
		}
		if r.Clock().Before(r.skipUntil[h.Name]) {
			continue
		}
		updates, err := r.Peers.Updates(ctx, h, r.revision)
		if err != nil {
			r.skipUntil[h.Name] = r.Clock().Add(peerSkipPeriod)
			continue
		}
		if updates.Age <= maxUpdateAge {
			r.forward(ctx, updates)
			return true
		}
	}
	return false
}

// readerRole is the duty of reading the store. It is hashed into the order of the hosts, so that reading and the
// placement of services spread over a region's hosts.
const readerRole = "reader"

// forward passes a peer's changes to the loop, unless this host has already read a later revision.
func (r *Reader) forward(ctx context.Context, updates Updates) {
	if updates.Batch.Revision < r.revision {
		return
	}
	updates.Batch.Age = updates.Age
	r.revision = updates.Batch.Revision
	r.Loop.Send(ctx, StoreRead{Batch: updates.Batch})
}

// readStore reads the store once and schedules the next read; failed reads back off with jitter.
func (r *Reader) readStore(ctx context.Context) {
	start := r.Clock()
	batch, err := r.fetch(ctx)
	switch {
	case errorx.IsOfType(err, ErrCompacted):
		r.revision = 0
		return
	case err != nil:
		r.Loop.Send(ctx, StoreFailed{Err: err})
		r.failed, r.nextRead = true, r.Clock().Add(r.retryDelay/2+rand.N(r.retryDelay))
		maxDelay := maxFollowerRetryDelay
		if r.designated {
			maxDelay = maxReaderRetryDelay
		}
		r.retryDelay = min(2*r.retryDelay, maxDelay)
		return
	}
	r.revision, r.retryDelay, r.failed, r.nextRead = batch.Revision, minRetryDelay, false, start.Add(minReadInterval)
	r.Loop.Send(ctx, StoreRead{Batch: batch})
}

func (r *Reader) fetch(ctx context.Context) (roster.Batch, error) {
	if r.revision == 0 {
		return r.Source.Load(ctx)
	}
	if r.failed {
		return r.Source.Next(ctx, r.revision, 0) // Without a long poll, an unanswered call times out sooner.
	}
	return r.Source.Next(ctx, r.revision, longPollTimeout)
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

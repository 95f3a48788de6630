package watch

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// Hosts returns the registered hosts. The answer may be a few seconds old and is cheaper than a full read.
	Hosts(ctx context.Context) ([]roster.Host, error)
	// Load returns a full read of all entries.
	Load(ctx context.Context) (roster.Batch, error)
	// Next returns the changes after a revision and waits up to the given time for the first one. It fails with
	// ErrCompacted if the store no longer holds them.
	Next(ctx context.Context, after int64, wait time.Duration) (roster.Batch, error)
}

// PeerSource fetches store changes from another host.
type PeerSource interface {
	// Updates returns the answer of another host, which may wait for news before it gives one.
	Updates(ctx context.Context, from roster.Host, q Query) (Updates, error)
	// Probe returns the age of another host's state, without its content, and waits up to the given time until it is at most
	// maxAge. A host that answers nothing else because it is still sending something is alive, and its age UnknownAge.
	Probe(ctx context.Context, from roster.Host, maxAge, wait time.Duration) (time.Duration, error)
}

const (
	// minReadInterval is the minimum time between two store reads. Upstream reports arrive continuously and each
	// call to the store is billed, but changes must take effect within 2.5 s.
	minReadInterval = 500 * time.Millisecond
	// longPollTimeout is the age of the state up to which a read waits for a change. It is less than maxFleetAge, so that a store without
	// changes isn't taken for an unreachable one.
	longPollTimeout = 600 * time.Millisecond
	// maxReadTime is how long a read may take, beyond its wait, to count as recent. It is the time in which the store must begin to answer.
	maxReadTime = time.Second
	// minRetryDelay and maxReaderRetryDelay bound the exponential backoff after a failed read. Together with the time
	// of a call they stay below the 3 s after which a host counts as connected again when a partition ends.
	minRetryDelay       = 250 * time.Millisecond
	maxReaderRetryDelay = 500 * time.Millisecond
	// maxFollowerRetryDelay bounds the backoff of a host that isn't one of the readers. It gets changes from a reader as
	// soon as one can read the store again, and even a refused call is billed.
	maxFollowerRetryDelay = 750 * time.Millisecond
	// minRetryShare and maxRetryShare bound the random part of a delay between two reads that fail.
	minRetryShare, maxRetryShare = 0.9, 1.4
	// peerPollInterval is the minimum time between two requests to another host, in which changes accumulate.
	peerPollInterval = 250 * time.Millisecond
	// otherTimeout bounds a request to a host that this one doesn't follow: two round trips between distant regions. With a
	// failed read and the delay after it, it stays below the 3 s after which a host counts as connected again.
	otherTimeout = 400 * time.Millisecond
	// bootstrapDelay is the time after its start in which a host that doesn't know its own entry leaves the store alone:
	// when the whole fleet starts, the hosts that read the store for the others are known only then.
	bootstrapDelay = 600 * time.Millisecond
	// bootstrapTimeout is the time after its start in which a host that isn't a reader waits for one.
	bootstrapTimeout = 2500 * time.Millisecond
)

// Reader feeds the loop with store changes, from another host that has them or from the store itself.
type Reader struct {
	Source Source
	Peers  PeerSource
	Loop   *Loop
	Clock  func() time.Time
	Done   chan struct{}

	startedAt  time.Time
	era        int64 // Of revision; 0 if it isn't known.
	revision   int64
	syncedAt   time.Time // When the store sent the newest state that this host has.
	retryDelay time.Duration
	failed     bool               // The last store read failed.
	designated bool               // This host is one of the fleet's readers; valid only after pollPeers returned false.
	nextRead   time.Time          // Earliest time of the next store read.
	sources    map[string]*health // By host name.
	probed     chan probeResult
	source     string // The host that the last changes came from, or "store".
	nextOther  int    // Index of the next of the hosts that are asked while the store rejects this one.
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	defer close(r.Done)
	r.init()
	for ctx.Err() == nil && r.revision == 0 && !r.bootstrap(ctx) {
		sleep(ctx, peerPollInterval)
	}
	for ctx.Err() == nil {
		start := r.Clock()
		switch {
		case r.pollPeers(ctx, r.Loop.View()):
			sleep(ctx, peerPollInterval-r.Clock().Sub(start))
		case r.Clock().Before(r.nextRead):
			if r.failed {
				r.askOther(ctx, r.Loop.View())
			}
			sleep(ctx, min(peerPollInterval-r.Clock().Sub(start), r.nextRead.Sub(r.Clock())))
		default:
			r.readStore(ctx)
		}
	}
}

func (r *Reader) init() {
	r.startedAt, r.retryDelay = r.Clock(), minRetryDelay
	r.sources, r.probed = map[string]*health{}, make(chan probeResult, probeBuffer)
}

// bootstrap fetches the first state from another host; it returns true when this host has it, or should read the store.
func (r *Reader) bootstrap(ctx context.Context) bool {
	now := r.Clock()
	hosts, err := r.Source.Hosts(ctx)
	if err != nil {
		r.Loop.Send(ctx, StoreFailed{Err: err})
		return now.Sub(r.startedAt) > bootstrapTimeout
	}
	v := *r.Loop.View()
	v.Hosts = hosts
	if r.pollPeers(ctx, &v) {
		return true
	}
	known := slices.ContainsFunc(hosts, func(h roster.Host) bool { return h.Name == v.Self.Name })
	if r.designated && (known || now.Sub(r.startedAt) > bootstrapDelay) {
		return true
	}
	return now.Sub(r.startedAt) > bootstrapTimeout
}

// query returns the question to a source that this host follows.
func (r *Reader) query(wait time.Duration) Query {
	return Query{Era: r.era, After: r.revision, Wait: wait, Age: r.stateAge()}
}

// firstStateAge stands for the age of the state before a host has any: a source has two round trips between distant regions to answer before
// it is probed.
const firstStateAge = probeAge - 2*answerTime

// stateAge returns the age of this host's state.
func (r *Reader) stateAge() time.Duration {
	if r.revision == 0 {
		return firstStateAge
	}
	return min(max(1, r.Clock().Sub(r.syncedAt)), UnknownAge)
}

// askOther requests changes from one of the hosts that this one doesn't follow, if the policy has workspaces, and reports
// whether they are recent. It answers a store that rejects this host and its sources but serves others, while keys are revoked.
func (r *Reader) askOther(ctx context.Context, v *roster.View) bool {
	if r.revision == 0 || v.Policy == nil || len(v.Policy.Workspaces) == 0 {
		return false
	}
	others := othersOf(v)
	if len(others) == 0 {
		return false
	}
	h := others[r.nextOther%len(others)]
	askCtx, cancel := context.WithTimeout(ctx, otherTimeout)
	defer cancel()
	updates, err := r.Peers.Updates(askCtx, h, Query{Era: r.era, After: r.revision})
	if err != nil || updates.Age > maxDomainAge || r.precedes(&updates.Batch) {
		r.nextOther++
		return false
	}
	updates.Batch.Indirect = true
	r.forward(ctx, h.Name, updates)
	return true
}

// precedes reports whether a batch of changes is older than this host's state: of an earlier era, or of an earlier revision of the same one.
func (r *Reader) precedes(b *roster.Batch) bool {
	if b.Era != r.era && b.Era > 0 && r.era > 0 {
		return b.Era < r.era
	}
	return b.Revision < r.revision
}

// restart makes this host read everything anew, since it has learned that the store was restored.
func (r *Reader) restart(era int64) { r.era, r.revision = era, 0 }

// forward passes a peer's changes to the loop, unless this host has already read a later revision.
func (r *Reader) forward(ctx context.Context, from string, updates Updates) {
	if r.precedes(&updates.Batch) {
		return
	}
	if isOlderEra(r.era, updates.Batch.Era) && !updates.Batch.Snapshot {
		r.restart(updates.Batch.Era)
		return
	}
	updates.Batch.Age = updates.Age
	r.noteSource(from, updates.Batch.Revision)
	r.era, r.revision, r.syncedAt = max(r.era, updates.Batch.Era), updates.Batch.Revision, later(r.syncedAt, r.Clock().Add(-updates.Age))
	r.Loop.Send(ctx, StoreRead{Batch: updates.Batch})
}

// noteSource reports from where this host got its first state, and each time that it gets changes from elsewhere than before.
func (r *Reader) noteSource(from string, revision int64) {
	switch {
	case r.revision == 0:
		r.Loop.Observer.StateChanged(r.Clock(), StateChange{Message: "state loaded", Name: from, Revision: revision})
	case from != r.source:
		r.Loop.Observer.StateChanged(r.Clock(), StateChange{Message: "source changed", Name: from, Revision: revision})
	}
	r.source = from
}

// readStore reads the store once and schedules the next read; failed reads back off with jitter.
func (r *Reader) readStore(ctx context.Context) {
	start, wait := r.Clock(), max(0, longPollTimeout-r.stateAge())
	if r.failed {
		wait = 0 // Without a long poll, an unanswered call times out sooner.
	}
	batch, err := r.fetch(ctx, wait)
	switch {
	case errorx.IsOfType(err, ErrCompacted):
		r.revision = 0
		return
	case err != nil:
		if !r.askOther(ctx, r.Loop.View()) {
			r.Loop.Send(ctx, StoreFailed{Err: err})
		}
		r.failed, r.nextRead = true, r.Clock().Add(jitter(r.retryDelay, rand.Float64()))
		maxDelay := maxFollowerRetryDelay
		if r.designated {
			maxDelay = maxReaderRetryDelay
		}
		r.retryDelay = min(2*r.retryDelay, maxDelay)
		return
	}
	if isOlderEra(r.era, batch.Era) && !batch.Snapshot {
		r.restart(batch.Era)
		return
	}
	r.noteSource("store", batch.Revision)
	r.era, r.revision, r.retryDelay, r.failed, r.nextRead = max(r.era, batch.Era), batch.Revision, minRetryDelay, false, start.Add(minReadInterval)
	if took := r.Clock().Sub(start); took > wait+maxReadTime {
		batch.Age = lateness(took, wait)
	}
	r.syncedAt = r.Clock().Add(-batch.Age)
	r.Loop.Send(ctx, StoreRead{Batch: batch})
}

// jitter spreads a delay over minRetryShare to maxRetryShare of it; random is in [0, 1).
func jitter(delay time.Duration, random float64) time.Duration {
	return time.Duration((minRetryShare + (maxRetryShare-minRetryShare)*random) * float64(delay))
}

func (r *Reader) fetch(ctx context.Context, wait time.Duration) (roster.Batch, error) {
	if r.revision == 0 {
		return r.Source.Load(ctx)
	}
	return r.Source.Next(ctx, r.revision, wait)
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

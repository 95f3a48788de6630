package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/commit"
	"github.com/boragelane/boragelane/internal/ctrl/state"
)

// executor executes the actions of the control loop.
type executor struct {
	host   *Host
	leases leaseManager
}

// Execute executes one action and emits the events that result from it.
func (e *executor) Execute(ctx context.Context, action state.Action, emit func(state.Event)) {
	h := e.host
	switch a := action.(type) {
	case state.SendHeartbeat:
		requestedAt := h.Clock()
		r, err := h.peerClient.Heartbeat(ctx, a.To.Peer, a.Heartbeat)
		emit(state.HeartbeatResult{Seat: a.To.Name, RequestedAt: requestedAt, Sent: a.Heartbeat, Reply: r, Err: err})
	case state.SendExchange:
		r, err := h.peerClient.Exchange(ctx, a.To.Peer, a.Exchange)
		emit(state.ExchangeResult{Seat: a.To.Name, Domain: a.Domain, SentSeq: a.SentSeq, Reply: r, Err: err})
	case state.SendNotice:
		e.sendNotice(ctx, a)
	case state.FetchDocument:
		e.fetchDocument(ctx, a.From, emit)
	case state.RequestLease:
		emit(e.leases.request(ctx, h, a))
	case state.ReleaseLease:
		e.leases.release(ctx, h, a.Domain)
	case state.SetRelay:
		h.watcher.setActive(ctx, a.On, emit)
		if !a.On {
			e.leases.releaseAll(ctx, h)
		}
	}
}

// sendNotice sends a notice to several hosts in parallel.
func (e *executor) sendNotice(ctx context.Context, notice state.SendNotice) {
	var wg sync.WaitGroup
	for _, seat := range notice.To {
		wg.Go(func() { _ = e.host.peerClient.SendNotice(ctx, seat.Peer, notice) })
	}
	wg.Wait()
}

// fetchDocument fetches a newer document from another host.
func (e *executor) fetchDocument(ctx context.Context, from spec.Seat, emit func(state.Event)) {
	doc, ok, err := e.host.peerClient.Fetch(ctx, from.Peer, e.host.loop.Plan().Doc)
	if err != nil || !ok {
		emit(state.FetchFailed{})
		return
	}
	emit(state.DocumentReceived{Doc: doc})
}

// platformWatcher watches the platform's configuration and upstream list while this host is a relay of its
// failure domain.
type platformWatcher struct {
	host *Host

	mu   sync.Mutex
	stop context.CancelFunc
}

// active reports whether the watches are running.
func (w *platformWatcher) active() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stop != nil
}

// setActive starts or stops the watches.
func (w *platformWatcher) setActive(ctx context.Context, active bool, emit func(state.Event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if active == (w.stop != nil) {
		return
	}
	if !active {
		w.stop()
		w.stop = nil
		return
	}
	ctx, w.stop = context.WithCancel(ctx)
	go w.watchDocument(ctx, emit)
	go w.watchUpstreams(ctx, emit)
}

// Timing of the watches and of their retries.
const (
	longPollTimeout = 30 * time.Second
	minRetryDelay   = 250 * time.Millisecond
	maxRetryDelay   = 3 * time.Second
	// startJitter is the maximum random delay before the first call to the platform; it spreads the calls of hosts that start together.
	startJitter = time.Second
)

// watchDocument fetches the configuration document from the seeds if this host has none, then watches the platform's.
func (w *platformWatcher) watchDocument(ctx context.Context, emit func(state.Event)) {
	h := w.host
	if h.loop.Plan().Doc == nil && !w.fetchFromSeeds(ctx, emit) {
		sleep(ctx, rand.N(startJitter))
	}
	var index uint64
	delay := minRetryDelay
	for ctx.Err() == nil {
		v, err := h.store.Get(ctx, commit.HeadKey, index, longPollTimeout)
		if err != nil {
			h.Log.Debug("cannot watch the configuration on the platform", errorField(err))
			delay = backOff(ctx, delay)
			continue
		}
		delay = minRetryDelay
		if v.Data != nil && v.Index != index {
			w.applyDocument(ctx, v.Data, emit)
		}
		if index = v.Index; v.Index == 0 {
			sleep(ctx, minRetryDelay)
		}
	}
}

// applyDocument emits the document that the platform holds, or logs an error if it is invalid.
func (w *platformWatcher) applyDocument(ctx context.Context, data []byte, emit func(state.Event)) {
	doc, err := commit.Parse(ctx, w.host.store, data, w.host.loop.Plan().Doc)
	if err == nil {
		err = doc.Validate()
	}
	if err != nil {
		w.host.Log.Error("the platform holds a document that can't be used", errorField(err))
		return
	}
	emit(state.DocumentReceived{Doc: doc})
}

// fetchFromSeeds asks the seeds in random order for their document, and reports whether one of them returned it.
func (w *platformWatcher) fetchFromSeeds(ctx context.Context, emit func(state.Event)) bool {
	seeds := w.host.Settings.Seeds
	for _, i := range rand.Perm(len(seeds)) {
		doc, ok, err := w.host.peerClient.Fetch(ctx, seeds[i], nil)
		if err == nil && ok {
			emit(state.DocumentReceived{Doc: doc})
			return true
		}
	}
	return false
}

// watchUpstreams watches the platform's list of upstreams once this host has a configuration.
func (w *platformWatcher) watchUpstreams(ctx context.Context, emit func(state.Event)) {
	h := w.host
	for h.loop.Plan().Doc == nil && ctx.Err() == nil {
		sleep(ctx, minRetryDelay)
	}
	var index uint64
	delay := minRetryDelay
	for ctx.Err() == nil {
		members, next, err := h.store.ListUpstreams(ctx, h.Self.Domain, index, longPollTimeout)
		if err != nil {
			h.Log.Debug("cannot watch the list of upstreams on the platform", errorField(err))
			delay = backOff(ctx, delay)
			continue
		}
		delay, index = minRetryDelay, next
		emit(state.MembersReceived{Members: members})
	}
}

// sleep waits for a duration or until the context is canceled.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// backOff sleeps for 0.5 to 1.5 times the delay, and returns the delay of the next retry.
func backOff(ctx context.Context, delay time.Duration) time.Duration {
	sleep(ctx, delay/2+rand.N(delay))
	return min(maxRetryDelay, delay*2)
}

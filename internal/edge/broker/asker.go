package broker

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/loans"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
)

const (
	// loanPollInterval is the time between two requests for loans, and so the delay with which loans follow demand.
	loanPollInterval = 500 * time.Millisecond
	// loanRequestTimeout bounds a request; distant regions answer in 110 ms.
	loanRequestTimeout = 700 * time.Millisecond
)

// LoanRequester builds this host's request for loans.
type LoanRequester interface {
	LoanRequest(now time.Time) loans.Request
}

// plannerDuty is the duty of planning loans. It is hashed into the order of the hosts.
const plannerDuty = "planner"

// LoanPoller periodically requests the loans of upstreams from the planning host, the first live host in the order of
// that duty. Only hosts that place jobs, or do so when another one fails, need the loans.
type LoanPoller struct {
	Requester LoanRequester
	Local     LoanPlanner // Used when this host is the planning host.
	View      func() *roster.View
	OnLoans   func(l loans.Loans)          // Called with the received loans.
	OnError   func(host string, err error) // Called when a request failed.
	Clock     func() time.Time
	Done      chan struct{}

	peers *peerPool
}

// Run requests loans until the context ends.
func (l *LoanPoller) Run(ctx context.Context) {
	defer close(l.Done)
	l.peers = newPeerPool(l.Clock)
	defer l.peers.close()
	t := time.NewTicker(loanPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v := l.View()
		if !mayPlace(v) {
			continue
		}
		l.poll(ctx, v.Self.Name, v.FleetOrder(plannerDuty))
	}
}

// poll requests loans from the first host in the order that isn't skipped. If that fails, it asks the next one that answers a ping.
func (l *LoanPoller) poll(ctx context.Context, self string, order []roster.Host) {
	for i, h := range order {
		if l.peers.skipped(h) {
			continue
		}
		if l.request(ctx, h) {
			return
		}
		if next, ok := l.peers.firstSound(ctx, self, order[i+1:]); ok {
			l.request(ctx, next)
		}
		return
	}
}

// request requests loans from a host; it returns false, and skips the host, if that failed.
func (l *LoanPoller) request(ctx context.Context, h roster.Host) bool {
	loans, err := l.requestLoans(ctx, h)
	if err != nil {
		l.OnError(h.Name, err)
		l.peers.markFailed(h)
		return false
	}
	l.OnLoans(loans)
	return true
}

// mayPlace reports whether this host is among the first that place the jobs of some service.
func mayPlace(v *roster.View) bool {
	for _, hosts := range v.DutyHosts {
		for i := 0; i < len(hosts) && i <= maxRemoteTries; i++ {
			if hosts[i].Name == v.Self.Name {
				return true
			}
		}
	}
	return false
}

// requestLoans requests loans from a host, or from this host's own planner.
func (l *LoanPoller) requestLoans(ctx context.Context, h roster.Host) (loans.Loans, error) {
	ctx, cancel := context.WithTimeout(ctx, loanRequestTimeout)
	defer cancel()
	req := l.Requester.LoanRequest(l.Clock())
	if h.Name == l.View().Self.Name {
		loans, ok := l.Local.RequestLoans(ctx, req)
		if !ok {
			return nil, ErrCall.New("this host is stopping")
		}
		return loans, nil
	}
	p, err := l.peers.get(ctx, h)
	if err != nil {
		return nil, err
	}
	var loans loans.Loans
	if err := p.call(ctx, methodLoans, req, &loans); err != nil {
		return nil, ErrCall.Wrap(err, "requesting loans from host %s", h.Name)
	}
	return loans, nil
}

// updatesTimeout bounds a request for updates, on top of the time for which it waits for a change. A policy of a
// thousand routes takes half a second over a link of 10 Mbit/s, and after a timeout there must be time left to read the
// store within 2.5 s. Whoever waits for the answer decides earlier whether the host is silent.
const updatesTimeout = 1200 * time.Millisecond

// UpdateFetcher fetches store changes from other hosts. It skips none: whoever follows a host decides when to ask it.
type UpdateFetcher struct {
	peers *peerPool
	clock func() time.Time
}

// NewUpdateFetcher returns a fetcher without connections, which are opened on demand.
func NewUpdateFetcher(clock func() time.Time) *UpdateFetcher {
	return &UpdateFetcher{peers: newPeerPool(clock), clock: clock}
}

// Close closes all connections.
func (f *UpdateFetcher) Close() { f.peers.close() }

// Updates fetches the store changes after a revision from a host, which may wait for news.
func (f *UpdateFetcher) Updates(ctx context.Context, from roster.Host, q watch.Query) (watch.Updates, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+updatesTimeout)
	defer cancel()
	p, err := f.peers.connect(ctx, from)
	if err != nil {
		return watch.Updates{}, err
	}
	asked := f.clock()
	var w wireUpdates
	if err := p.send(ctx, methodUpdates, wireUpdatesRequest(q), &w); err != nil {
		if !p.heardSince(asked) {
			_ = p.conn.Close()
		}
		return watch.Updates{}, ErrCall.Wrap(err, "requesting store changes from host %s", from.Name)
	}
	changes, err := w.decodeChanges()
	if err != nil {
		return watch.Updates{}, ErrCall.Wrap(err, "store changes from host %s", from.Name)
	}
	return watch.Updates{Batch: roster.Batch{Changes: changes, Era: w.Era, Revision: w.Revision, Snapshot: w.Snapshot, Steady: w.Steady, Outage: w.Outage}, Age: w.Age}, nil
}

// Probe returns the age of a host's state, which the host waits to be at most maxAge. A host that sends something else instead, such as a
// large answer, is alive, but the age of its state is unknown.
func (f *UpdateFetcher) Probe(ctx context.Context, from roster.Host, maxAge, wait time.Duration) (time.Duration, error) {
	p, err := f.peers.connect(ctx, from)
	if err != nil {
		return 0, err
	}
	asked := f.clock()
	var w wireUpdates
	if err := p.send(ctx, methodUpdates, wireUpdatesRequest{After: watch.NoChanges, Wait: wait, Age: maxAge}, &w); err == nil {
		return w.Age, nil
	} else if !p.heardSince(asked) {
		return 0, ErrCall.Wrap(err, "probing host %s", from.Name)
	}
	return watch.UnknownAge, nil
}

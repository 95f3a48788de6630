package broker

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/deal"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
)

const (
	// askPeriod is the time between two calls for loans: demand is followed that closely.
	askPeriod = 500 * time.Millisecond
	// askLife bounds a call; far regions answer in 110 ms.
	askLife = 700 * time.Millisecond
)

// Needer tells what to ask for.
type Needer interface {
	Ask(now time.Time) deal.Ask
}

// Asker asks for loans of upstreams, again and again.
type Asker struct {
	Needer Needer
	Local  Dealer // This host as the one that deals.
	View   func() *roster.View
	Give   func(l deal.Loans) // Takes the loans.
	Lost   func(host string, err error)
	Clock  func() time.Time
	Done   chan struct{}

	peers *peers
}

// Run asks until the context ends.
func (a *Asker) Run(ctx context.Context) {
	defer close(a.Done)
	a.peers = newPeers(a.Clock)
	defer a.peers.close()
	t := time.NewTicker(askPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, h := range a.View().Hosts {
			if a.peers.skipped(h) {
				continue
			}
			loans, err := a.ask(ctx, h)
			if err != nil {
				a.Lost(h.Name, err)
				a.peers.lose(h)
			} else {
				a.Give(loans)
			}
			break
		}
	}
}

func (a *Asker) ask(ctx context.Context, h roster.Host) (deal.Loans, error) {
	ctx, cancel := context.WithTimeout(ctx, askLife)
	defer cancel()
	ask := a.Needer.Ask(a.Clock())
	if h.Name == a.View().Self.Name {
		loans, ok := a.Local.Ask(ctx, ask)
		if !ok {
			return nil, ErrCall.New("this host is stopping")
		}
		return loans, nil
	}
	p, err := a.peers.get(ctx, h)
	if err != nil {
		return nil, err
	}
	var loans deal.Loans
	if err := p.call(ctx, a.Clock, methodDeal, ask, &loans); err != nil {
		return nil, ErrCall.Wrap(err, "asking %s for loans", h.Name)
	}
	return loans, nil
}

// newsLife bounds a question for news, within a region: a policy of a thousand routes over a link of 10 Mbit/s takes
// half a second, and a host that can't be asked must leave time to read the store within 2.5 s.
const newsLife = 1500 * time.Millisecond

// Relay asks other hosts of the region for news of the store.
type Relay struct {
	peers *peers
	clock func() time.Time
}

// NewRelay returns a relay without connections.
func NewRelay(clock func() time.Time) *Relay { return &Relay{peers: newPeers(clock), clock: clock} }

// Close ends the connections.
func (r *Relay) Close() { r.peers.close() }

// News asks a host what changed after a revision.
func (r *Relay) News(ctx context.Context, from roster.Host, after int64) (watch.News, error) {
	ctx, cancel := context.WithTimeout(ctx, newsLife)
	defer cancel()
	p, err := r.peers.get(ctx, from)
	if err != nil {
		return watch.News{}, err
	}
	var w wireNews
	if err := p.call(ctx, r.clock, methodNews, wireFollow{After: after}, &w); err != nil {
		_ = p.conn.Close()
		return watch.News{}, ErrCall.Wrap(err, "asking %s for news", from.Name)
	}
	return watch.News{Batch: roster.Batch{Changes: w.Changes, Revision: w.Revision, Full: w.Full}, Age: w.Age}, nil
}

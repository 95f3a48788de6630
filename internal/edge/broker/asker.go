package broker

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/deal"
)

const (
	// askPeriod is the time between two calls for loans: demand is followed that closely.
	askPeriod = 500 * time.Millisecond
	// askLife bounds a call; far regions answer in 110 ms.
	askLife = 700 * time.Millisecond
)

// Teller tells what to ask for.
type Teller interface {
	Ask(now time.Time) deal.Ask
}

// Asker asks for loans of upstreams, again and again.
type Asker struct {
	Teller Teller
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
			if a.peers.shunned(h) {
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
	ask := a.Teller.Ask(a.Clock())
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

package watch

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/deal"
)

const (
	// askLife is how long what a host told of its demand counts: several periods of asking.
	askLife = 2 * time.Second
	// dealPeriod is the least time between two deals.
	dealPeriod = 150 * time.Millisecond
	// sharesLife is how long shares hold without a new deal; then all hosts split the slots evenly.
	sharesLife = 3 * time.Second
)

// Asked is a host that asks this one for its shares.
type Asked struct {
	Ask   deal.Ask
	Reply chan deal.Shares
}

// Dealt is the shares that this host was given.
type Dealt struct{ Shares deal.Shares }

func (Asked) event() {}
func (Dealt) event() {}

// asked is what a host told, and when.
type asked struct {
	ask deal.Ask
	at  time.Time
}

// deals is what control knows of the split of slots.
type deals struct {
	book    map[string]asked // By host.
	split   deal.Split
	splitAt time.Time
	shares  deal.Shares // This host's own.
	dealt   time.Time
}

// answer notes what a host told and returns its shares.
func (s *State) answer(a deal.Ask, now time.Time) deal.Shares {
	s.book[a.Host] = asked{ask: a, at: now}
	if now.Sub(s.splitAt) >= dealPeriod {
		s.split, s.splitAt = deal.Deal(s.input(now)), now
	}
	return s.split[a.Host]
}

// input is what the next deal depends on. Hosts that have not asked yet keep what the last deal gave them.
func (s *State) input(now time.Time) deal.Input {
	in := deal.Input{
		Hosts: s.list(), Upstreams: s.usable(now), Demand: map[string]deal.Demand{}, Held: deal.Split{}, Down: map[string]bool{},
	}
	for _, h := range in.Hosts {
		in.Held[h.Name] = s.split[h.Name]
		a, ok := s.book[h.Name]
		if !ok || now.Sub(a.at) > askLife {
			continue
		}
		in.Demand[h.Name] = a.ask.Demand
		if _, dealt := s.split[h.Name]; !dealt {
			in.Held[h.Name] = a.ask.Held
		}
		for _, id := range a.ask.Down {
			in.Down[id] = true
		}
	}
	return in
}

// own returns this host's shares: the ones that it was dealt, or its even part while nobody deals.
func (s *State) own(now time.Time, hosts []roster.Host, ups map[string][]*roster.Upstream) map[string]int {
	if s.shares != nil && (s.leaving || now.Sub(s.dealt) < sharesLife) {
		return s.shares
	}
	return deal.Deal(deal.Input{Hosts: hosts, Upstreams: ups})[s.self.Name]
}

package watch

import (
	"maps"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/ctrl/deal"
)

const (
	// askLife is how long what a region told of its demand counts: several periods of asking.
	askLife = 3 * time.Second
	// dealPeriod is the least time between two deals. Each moves one upstream of a service to a region at the most.
	dealPeriod = time.Second
	// loansLife is how long loans hold without news; then each region uses its own upstreams.
	loansLife = 3 * time.Second
)

// Asked is a host that asks this one for its region's loans.
type Asked struct {
	Ask   deal.Ask
	Reply chan deal.Loans
}

// Lent is the loans that this host was told of.
type Lent struct{ Loans deal.Loans }

func (Asked) event() {}
func (Lent) event()  {}

// asked is the demand of a region for a service, and when it was told.
type asked struct {
	slots float64
	down  []string
	at    time.Time
}

// deals is what control knows of the loans between regions.
type deals struct {
	book   map[[2]string]asked // By region and service.
	held   deal.Loans          // What this host dealt or, before its first deal, was told by others.
	heldAt time.Time
	loans  deal.Loans // In force here.
	told   time.Time
}

// answer notes a region's demand and returns the loans.
func (s *State) answer(a deal.Ask, now time.Time) deal.Loans {
	for service, slots := range a.Demand {
		s.book[[2]string{a.Region, service}] = asked{slots: slots, down: a.Down, at: now}
	}
	if now.Sub(s.heldAt) < dealPeriod {
		return s.held
	}
	if now.Sub(s.heldAt) > loansLife {
		s.held = a.Held // This host has not dealt for a while: it goes on from what is in force.
	}
	s.held, s.heldAt = deal.Deal(s.input(now)), now
	return s.held
}

func (s *State) input(now time.Time) deal.Input {
	in := deal.Input{Upstreams: s.usable(now), Demand: map[string]deal.Demand{}, Held: s.held, Down: map[string]bool{}}
	regions := map[string]bool{}
	for _, h := range s.hosts {
		regions[h.Region] = true
	}
	in.Regions = slices.Sorted(maps.Keys(regions))
	for k, a := range s.book {
		if now.Sub(a.at) > askLife {
			delete(s.book, k)
			continue
		}
		if in.Demand[k[0]] == nil {
			in.Demand[k[0]] = deal.Demand{}
		}
		in.Demand[k[0]][k[1]] = a.slots
		for _, id := range a.down {
			in.Down[id] = true
		}
	}
	return in
}

// current returns the loans in force: none while no host that deals is heard.
func (s *State) current(now time.Time) deal.Loans {
	if now.Sub(s.told) > loansLife {
		return nil
	}
	return s.loans
}

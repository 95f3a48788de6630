package state

import (
	"maps"
	"time"

	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// Names and name prefixes of the resources whose limits are shared, and the prefix of pools in State.Allocations.
const (
	resourceCapacity   = "cap"
	resourceLinkPrefix = "link/"
	resourceSlotPrefix = "slot/"
	poolPrefix         = "pool/"
)

// regionLimits returns a failure domain's share of each limit that is split among the domains of its region.
func (s *State) regionLimits(domain string) map[string]int64 {
	region, _, ok := s.Doc.FindDomain(domain)
	if !ok {
		return nil
	}
	names := make([]string, len(region.Domains))
	at := 0
	for i, d := range region.Domains {
		names[i] = d.Name
		if d.Name == domain {
			at = i
		}
	}
	out := map[string]int64{resourceCapacity: share.Split(resourceCapacity, int64(region.Capacity), names)[at]}
	for _, l := range s.Doc.Links {
		if l.From == region.Name {
			out[resourceLinkPrefix+l.To] = share.Split(resourceLinkPrefix+l.To, l.Rate, names)[at]
		}
	}
	return out
}

// domainLimits returns the limits of this failure domain: its share of the region's limits and the slots of its upstreams.
func (s *State) domainLimits() map[string]int64 {
	out := s.regionLimits(s.Self.Domain)
	if out == nil {
		return nil
	}
	for _, m := range s.Members {
		if svc, ok := s.Doc.Service(m.Service); ok && m.Domain == s.Self.Domain {
			out[resourceSlotPrefix+m.ID] = int64(svc.Slots)
		}
	}
	return out
}

// dropUnits removes the units of one resource from the grant. It clears the hash, which no longer matches the units.
func (g *Grant) dropUnits(res string) {
	if _, ok := g.Units[res]; !ok {
		return
	}
	g.Units = maps.Clone(g.Units)
	delete(g.Units, res)
	g.Hash = 0
}

func (s *State) domainSeatNames() ([]string, int) {
	seats := s.domainSeats()
	names, self := make([]string, len(seats)), -1
	for i, seat := range seats {
		names[i] = seat.Name
		if seat.Name == s.Self.Seat {
			self = i
		}
	}
	return names, self
}

// updateAllocations recomputes this host's floors and the pools. Growth takes effect only after a delay in which all
// hosts receive the revision that caused it.
func (s *State) updateAllocations(now time.Time) {
	names, self := s.domainSeatNames()
	seen := map[string]bool{}
	for res, limit := range s.domainLimits() {
		floors, pool := share.FloorsAndPool(res, limit, s.Doc.Floor, names)
		floor := int64(0)
		if self >= 0 {
			floor = floors[self]
		}
		s.setAllocation(res, floor, now)
		s.setPool(poolPrefix, res, pool, now)
		seen[res], seen[poolPrefix+res] = true, true
	}
	for _, d := range s.index.siblings {
		prefix := siblingPoolPrefix(d.Name)
		for res, limit := range s.regionLimits(d.Name) {
			s.setPool(prefix, res, limit-share.FloorTotal(limit, s.Doc.Floor, len(d.Seats)), now)
			seen[prefix+res] = true
		}
	}
	for name := range s.Allocations {
		if !seen[name] {
			s.Grant.dropUnits(resource(name))
			delete(s.Allocations, name)
		}
	}
	s.updateLedgerPools(now)
}

// setPool updates the size of a pool. When the pool shrinks, the host gives up the units that were lent to it.
func (s *State) setPool(prefix, res string, units int64, now time.Time) {
	if units < s.Allocations[prefix+res].Units {
		s.Grant.dropUnits(res)
	}
	s.setAllocation(prefix+res, units, now)
}

func (s *State) setAllocation(res string, units int64, now time.Time) {
	alloc, ok := s.Allocations[res]
	switch {
	case !ok:
		alloc = Allocation{Units: units, Pending: units}
	case units <= alloc.Units:
		alloc = Allocation{Units: units, Pending: units}
	case units != alloc.Pending:
		alloc.Pending, alloc.EffectiveAt = units, now.Add(s.growthDelay())
	}
	s.Allocations[res] = alloc
}

// growthDelay returns how long the growth of an allocation is delayed. It exceeds the duration of any loan from a pool
// that shrank, since an unreachable host keeps using its loan until it expires.
func (s *State) growthDelay() time.Duration {
	delay := MinGrowthDelay
	for _, d := range s.index.regionDomains {
		delay = max(delay, LoanTTL(len(d.Seats))+time.Second)
	}
	return delay
}

// applyPendingGrowth applies the growth of allocations whose delay has passed.
func (s *State) applyPendingGrowth(now time.Time) {
	for res, alloc := range s.Allocations {
		if alloc.Pending > alloc.Units && !now.Before(alloc.EffectiveAt) {
			s.Allocations[res] = Allocation{Units: alloc.Pending, Pending: alloc.Pending}
		}
	}
	s.updateLedgerPools(now)
}

// quota returns this host's quota of a limit: its floor and what is lent to it.
func (s *State) quota(res string) share.Quota {
	return share.Quota{Floor: s.Allocations[res].Units, Lent: s.Grant.Units[res], Until: s.Grant.ExpiresAt}
}

// connectionLimit returns this host's share of the connections that an upstream allows.
func (s *State) connectionLimit(id string, svc spec.Service) int64 {
	names, self := s.domainSeatNames()
	if self < 0 {
		return 0
	}
	return share.Split("conn/"+id, int64(svc.Conns), names)[self]
}

package state

import (
	"slices"
	"strings"
	"time"

	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// Takeover is the lease of a silent failure domain of the same region. While this host holds it as the relay of its own
// domain, it lends the silent domain's pools to its own domain's hosts.
type Takeover struct {
	FirstRequestedAt time.Time // When the lease was first requested.
	LastRequestedAt  time.Time // When the lease was last requested.
	Lease            share.Lease
	EndedAt          time.Time // When lending stopped; the lease is released after the last loan has expired.
}

// requestTakeovers acquires the leases of silent failure domains, renews those already requested and releases those
// that are no longer needed.
func (s *State) requestTakeovers(now time.Time) []Action {
	acts := s.endTakeovers(now)
	if !s.Lease.Valid(now) {
		return acts
	}
	for _, d := range s.index.siblings {
		takeover, ok := s.Takeovers[d.Name]
		switch {
		case !ok && s.isSilent(d.Name, now) && s.isFirstLiveDomain(d.Name, now):
			takeover.FirstRequestedAt = now
		case !ok || !takeover.EndedAt.IsZero() || now.Sub(takeover.LastRequestedAt) < LeaseRenewalPeriod(len(s.domainSeats())):
			continue
		}
		takeover.LastRequestedAt = now
		s.Takeovers[d.Name] = takeover
		acts = append(acts, RequestLease{Domain: d.Name, TTL: LeaseTTL(len(s.domainSeats()))})
	}
	return acts
}

// endTakeovers stops lending the pools of failure domains that are no longer silent, or of all if this host's own lease
// has expired. It releases each lease once the last loan under it has expired.
func (s *State) endTakeovers(now time.Time) []Action {
	var acts []Action
	for name, takeover := range s.Takeovers {
		switch {
		case takeover.EndedAt.IsZero() && (!s.Lease.Valid(now) || !s.isSibling(name) || !s.isSilent(name, now)):
			s.endTakeover(name, now)
		case !takeover.EndedAt.IsZero() && now.Sub(takeover.EndedAt) > s.Ledger.LoanTTL+share.ClockDriftMargin:
			delete(s.Takeovers, name)
			acts = append(acts, ReleaseLease{Domain: name})
		}
	}
	return acts
}

func (s *State) endTakeover(name string, now time.Time) {
	takeover := s.Takeovers[name]
	takeover.EndedAt = now
	s.Takeovers[name] = takeover
	s.updateLedgerPools(now)
}

// handleTakeoverLeaseResult records the result of a request for another failure domain's lease.
func (s *State) handleTakeoverLeaseResult(e LeaseResult, now time.Time) []Action {
	takeover, ok := s.Takeovers[e.Domain]
	switch {
	case !ok && e.Held:
		return []Action{ReleaseLease{Domain: e.Domain}}
	case !ok || e.Err != nil || e.RequestedAt.Before(takeover.FirstRequestedAt) || !takeover.EndedAt.IsZero():
	case !e.Held:
		s.endTakeover(e.Domain, now)
	default:
		takeover.Lease = share.Lease{Until: e.RequestedAt.Add(e.TTL)}
		s.Takeovers[e.Domain] = takeover
		s.updateLedgerPools(now)
	}
	return nil
}

// isSilent reports whether the summary of a failure domain is stale, or has been missing since this host began to relay
// for longer than the same timeout.
func (s *State) isSilent(domain string, now time.Time) bool {
	record, ok := s.Summaries[domain]
	if !ok {
		return !s.firstRelayedAt.IsZero() && now.Sub(s.firstRelayedAt) > s.summaryTimeout()
	}
	return now.Sub(record.ReceivedAt) > s.summaryTimeout()
}

// isFirstLiveDomain reports whether no other live failure domain of the region precedes this one in document order. It
// disregards the domain to take over.
func (s *State) isFirstLiveDomain(silent string, now time.Time) bool {
	for _, d := range s.index.regionDomains {
		switch {
		case d.Name == s.Self.Domain:
			return true
		case d.Name != silent && !s.isSilent(d.Name, now):
			return false
		}
	}
	return false
}

func (s *State) isSibling(domain string) bool {
	return slices.ContainsFunc(s.index.siblings, func(d spec.Domain) bool { return d.Name == domain })
}

// isLending reports whether a silent domain's pools are being lent. With too little time left on its lease they are not,
// since new loans, which must end within every lease, would become too short.
func (s *State) isLending(t Takeover, now time.Time) bool {
	return t.EndedAt.IsZero() && t.Lease.Remaining(now) > 2*HeartbeatPeriod(len(s.domainSeats()))
}

// lendingLease returns the lease that bounds new loans: the one that expires first.
func (s *State) lendingLease(now time.Time) share.Lease {
	l := s.Lease
	for _, t := range s.Takeovers {
		if s.isLending(t, now) && t.Lease.Until.Before(l.Until) {
			l = t.Lease
		}
	}
	return l
}

// updateLedgerPools sets the pools that the ledger may lend: this failure domain's and those taken over.
func (s *State) updateLedgerPools(now time.Time) {
	pools := map[string]int64{}
	add := func(prefix string) {
		for name, p := range s.Allocations {
			if res, ok := strings.CutPrefix(name, prefix); ok && p.Units > 0 {
				pools[res] += p.Units
			}
		}
	}
	add(poolPrefix)
	for name, t := range s.Takeovers {
		if s.isLending(t, now) {
			add(siblingPoolPrefix(name))
		}
	}
	s.Ledger.SetPools(pools)
	s.Ledger.LoanTTL = LoanTTL(len(s.domainSeats()))
}

// isPool reports whether an allocation is a pool rather than a share of this host.
func isPool(name string) bool {
	return strings.HasPrefix(name, poolPrefix) || strings.HasPrefix(name, siblingPoolsPrefix)
}

const siblingPoolsPrefix = "spare/"

// resource returns the name of the resource to which an allocation belongs.
func resource(allocation string) string {
	if res, ok := strings.CutPrefix(allocation, poolPrefix); ok {
		return res
	}
	if rest, ok := strings.CutPrefix(allocation, siblingPoolsPrefix); ok {
		_, res, _ := strings.Cut(rest, "/")
		return res
	}
	return allocation
}

// siblingPoolPrefix returns the name prefix of another failure domain's pools, which are lent only during a takeover.
func siblingPoolPrefix(domain string) string { return siblingPoolsPrefix + domain + "/" }

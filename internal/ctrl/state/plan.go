package state

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// LookupTTL is how long callers may cache the answer to a lookup.
const LookupTTL = 5 * time.Second

// Plan returns an immutable snapshot of the state for the data path.
func Plan(s *State, now time.Time) *plan.Plan {
	p := &plan.Plan{Self: s.Self, Doc: s.Doc, ShuttingDown: s.Leaving}
	if s.Doc == nil {
		return p
	}
	p.Capacity = s.quota(resourceCapacity)
	p.Links = s.links()
	p.Services = s.services()
	p.Shifts = s.shifts()
	p.Domains = s.planDomains(now)
	p.SetSites()
	p.Lookup = s.lookup(p)
	return p
}

func (s *State) links() map[string]share.Quota {
	out := map[string]share.Quota{}
	for _, l := range s.Doc.Links {
		if l.From == s.Self.Region {
			out[l.To] = s.quota(resourceLinkPrefix + l.To)
		}
	}
	return out
}

// services returns each service with the upstreams of this failure domain that accept new jobs.
func (s *State) services() map[string]*plan.Service {
	out := make(map[string]*plan.Service, len(s.Doc.Services))
	for _, svc := range s.Doc.Services {
		out[svc.Name] = &plan.Service{Service: svc, Level: s.Doc.RankIndex(svc.Rank)}
	}
	for _, m := range s.Members {
		svc := out[m.Service]
		if svc == nil || m.Domain != s.Self.Domain || m.Leaving || s.Doc.Drained(spec.DrainUpstream, m.ID) {
			continue
		}
		svc.Upstreams = append(svc.Upstreams, plan.Upstream{
			ID: m.ID, Address: m.Address, Slots: s.quota(resourceSlotPrefix + m.ID), Conns: s.connectionLimit(m.ID, svc.Service),
		})
	}
	return out
}

// planDomains lists this host, the other hosts of its failure domain, and the other failure domains.
func (s *State) planDomains(now time.Time) []plan.Domain {
	out := make([]plan.Domain, 0, s.domainCount()+1)
	for _, r := range s.Doc.Regions {
		drained := s.Doc.Drained(spec.DrainRegion, r.Name)
		for _, d := range r.Domains {
			domain := plan.Domain{
				Name: d.Name, Region: r.Name, Delay: s.index.linkDelays[r.Name],
				Drained: drained || s.Doc.Drained(spec.DrainDomain, d.Name),
			}
			if r.Name == s.Self.Region {
				domain.Delay = assumedDomainDelay
			}
			if d.Name == s.Self.Domain {
				out = append(out, s.localDomain(domain))
			}
			out = append(out, s.remoteDomain(domain, d, now))
		}
	}
	return out
}

// assumedDomainDelay is the assumed one-way network delay between failure domains of a region.
const assumedDomainDelay = 1500 * time.Microsecond

func (s *State) localDomain(domain plan.Domain) plan.Domain {
	domain.Self, domain.Delay = true, 0
	domain.Hosts = []spec.Seat{{Name: s.Self.Seat}}
	domain.Loads = s.Loads
	return domain
}

func (s *State) remoteDomain(domain plan.Domain, d spec.Domain, now time.Time) plan.Domain {
	record, ok := s.Summaries[d.Name]
	if !ok || now.Sub(record.ReceivedAt) > s.summaryTimeout() {
		return domain
	}
	domain.Hosts = s.usableHosts(d, record.Unavailable, now)
	domain.Loads = record.Loads
	if d.Name == s.Self.Domain {
		domain.Loads = subtractLoads(record.Loads, s.Loads)
	}
	return domain
}

// unreachableDomainThreshold is the number of unreachable hosts at which a whole failure domain is avoided, since it has
// then probably failed or been cut off.
const unreachableDomainThreshold = 3

// usableHosts returns the hosts of a failure domain that accept jobs from other hosts, or none if too many are unreachable.
func (s *State) usableHosts(d spec.Domain, unavailable []string, now time.Time) []spec.Seat {
	out := make([]spec.Seat, 0, len(d.Seats))
	unreachable := 0
	for _, seat := range d.Seats {
		if s.isUnreachable(seat.Name, now) {
			if unreachable++; unreachable >= unreachableDomainThreshold {
				return nil
			}
		}
		if seat.Name == s.Self.Seat || slices.Contains(unavailable, seat.Name) {
			continue
		}
		if s.isUnreachable(seat.Name, now) || s.Doc.Drained(spec.DrainHost, seat.Name) {
			continue
		}
		out = append(out, seat)
	}
	return out
}

func subtractLoads(total, own map[string]plan.Load) map[string]plan.Load {
	out := make(map[string]plan.Load, len(total))
	for svc, l := range total {
		o := own[svc]
		l.Slots, l.Busy, l.Queued = max(0, l.Slots-o.Slots), max(0, l.Busy-o.Busy), max(0, l.Queued-o.Queued)
		out[svc] = l
	}
	return out
}

// lookup returns the hosts of this region that callers may use.
func (s *State) lookup(p *plan.Plan) plan.Lookup {
	lookup := plan.Lookup{TTL: LookupTTL}
	for _, d := range p.Domains {
		if d.Region != s.Self.Region || d.Drained {
			continue
		}
		for _, host := range d.Hosts {
			seat, _ := s.findSeat(host.Name)
			if host.Name == s.Self.Seat && (s.Leaving || s.Doc.Drained(spec.DrainHost, host.Name)) {
				continue
			}
			lookup.Hosts = append(lookup.Hosts, seat)
			lookup.Sites = append(lookup.Sites, rendez.NewSite(seat.Name, 1))
		}
	}
	return lookup
}

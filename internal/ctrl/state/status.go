package state

import (
	"slices"
	"strings"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/share"
)

// Status is a report of a host's control state for operators.
type Status struct {
	Self      plan.Identity
	Revision  uint64
	Relay     string
	Lender    bool
	Takeovers []string // Silent failure domains whose pools this host also lends.
	Leaving   bool
	Hosts     []HostStatus
	Loads     []LoadStatus
	Shares    []ShareStatus
	Shifts    map[string]Progress
}

// HostStatus is a relay's record of a host of its failure domain.
type HostStatus struct {
	Seat     string
	Revision uint64
	Leaving  bool
	Age      time.Duration
}

// LoadStatus is the load of a service in a failure domain and the age of that information.
type LoadStatus struct {
	Domain  string
	Service string
	Load    plan.Load
	Age     time.Duration
}

// ShareStatus is this host's share of a limit.
type ShareStatus struct {
	Resource string
	Quota    share.Quota
	Lent     int64
}

func (s *State) status(now time.Time) Status {
	status := Status{
		Self: s.Self, Revision: s.Revision(), Lender: s.IsRelay && s.Lease.Valid(now),
		Leaving: s.Leaving, Shifts: map[string]Progress{},
	}
	if s.Doc == nil {
		return status
	}
	status.Relay = s.currentRelay(now).Name
	for name, h := range s.Hosts {
		status.Hosts = append(status.Hosts, HostStatus{Seat: name, Revision: h.Revision, Leaving: h.Leaving, Age: now.Sub(h.ReceivedAt)})
	}
	for name, record := range s.Summaries {
		for svc, l := range record.Loads {
			status.Loads = append(status.Loads, LoadStatus{Domain: name, Service: svc, Load: l, Age: now.Sub(record.ReceivedAt)})
		}
	}
	for res := range s.Allocations {
		if isPool(res) {
			continue
		}
		a := s.quota(res)
		status.Shares = append(status.Shares, ShareStatus{Resource: res, Quota: a, Lent: a.At(now) - a.Floor})
	}
	for name, p := range s.Shifts {
		status.Shifts[name] = p
	}
	for name, t := range s.Takeovers {
		if s.isLending(t, now) {
			status.Takeovers = append(status.Takeovers, name)
		}
	}
	slices.Sort(status.Takeovers)
	slices.SortFunc(status.Hosts, func(a, b HostStatus) int { return strings.Compare(a.Seat, b.Seat) })
	slices.SortFunc(status.Loads, func(a, b LoadStatus) int { return strings.Compare(a.Domain+" "+a.Service, b.Domain+" "+b.Service) })
	slices.SortFunc(status.Shares, func(a, b ShareStatus) int { return strings.Compare(a.Resource, b.Resource) })
	return status
}

package watch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/loans"
)

const (
	// restoreGrace is how long an entry stays usable that was removed during a store outage. The platform restores
	// live entries within about 2 s after the store recovers.
	restoreGrace = 2200 * time.Millisecond
	// maxCrashes bounds the crash reports that are kept.
	maxCrashes = 500
	// tombstoneTTL is how long a tombstone is kept, so that a delayed write can't bring back a drained incarnation.
	tombstoneTTL = time.Minute
	// coldMargin extends the assumed cold time after an evacuation ends, to cover the delay of store updates.
	coldMargin = time.Second
)

// State is the replica of the store and the loan state; only the loop's goroutine accesses it.
type State struct {
	self              roster.Host
	policy            *policy.Policy
	upstreams         map[string]roster.Upstream
	hosts             map[string]roster.Host
	crashes           []roster.Crash
	evacuated         map[string]bool
	evacuationEndedAt map[string]time.Time // By failure domain.
	graceUntil        map[string]time.Time // Removed entries that may be restored until then, by kind and name.
	tombstones        map[string]tombstone
	lastSync          time.Time                  // Time of the last successful store read.
	directSync        time.Time                  // The same without indirect changes, as other hosts are told.
	recoveredAt       time.Time                  // End of the last store outage.
	restoredAt        time.Time                  // When the store was last restored from an older copy, as this host knows it.
	withheld          map[string]roster.Upstream // Upstreams that had left and that the restored store contains, by ID.
	steadySince       time.Time                  // The same, or when this host or the one that it learned from first read the store.
	disconnected      bool
	leaving           bool
	domainPools       map[string]bool // Services whose upstreams are pooled by failure domain.
	cached            *roster.View    // The last view; nil if all of it must be built anew.
	staleServices     map[string]bool // Services whose upstreams have changed since the last view.
	staleHosts        bool            // Hosts have changed since the last view.
	versions          uint64
	loanState
	quotaState
	changeLog
}

const (
	// maxRegionPool is the mean number of a service's upstreams in a region from which each failure domain has a pool of its own.
	// A placing host looks at all upstreams of its pool for each job, and the parts of so many still have room enough.
	maxRegionPool = 100
	// keepDomainShare is the share of maxRegionPool below which the service returns to one pool a region. It is below
	// 1 so that a few upstreams that come and go don't change the pools.
	keepDomainShare = 0.75
)

// tombstone marks an incarnation that is draining or whose entry was removed.
type tombstone struct {
	born       int64
	draining   bool // It reported draining, which is final for an incarnation.
	recordedAt time.Time
}

// NewState returns an empty state for a host.
func NewState(self roster.Host) *State {
	return &State{
		self: self, upstreams: map[string]roster.Upstream{}, hosts: map[string]roster.Host{},
		evacuated: map[string]bool{}, evacuationEndedAt: map[string]time.Time{},
		graceUntil: map[string]time.Time{}, withheld: map[string]roster.Upstream{}, tombstones: map[string]tombstone{}, domainPools: map[string]bool{}, staleServices: map[string]bool{},
		loanState: loanState{demands: map[[2]string]poolDemand{}, credits: loans.Credits{}}, quotaState: newQuotaState(),
	}
}

// View returns an immutable snapshot for request handling. It builds only what has changed since the last one.
func (s *State) View(now time.Time) *roster.View {
	if s.cached == nil || s.staleHosts || len(s.staleServices) > 0 {
		s.cached = s.build(now)
	}
	v := *s.cached
	v.ShuttingDown, v.Crashes, v.SyncedAt, v.Loans = s.leaving, slices.Clip(s.crashes), s.lastSync, s.activeLoans(now)
	return &v
}

// build returns a view with the fields that are expensive to compute and change rarely, and reuses the parts of the last view
// that are current.
func (s *State) build(now time.Time) *roster.View {
	s.versions++
	v := &roster.View{Self: s.self, Policy: s.policy, Evacuated: maps.Clone(s.evacuated), Version: s.versions}
	if s.cached == nil {
		v.Upstreams = s.usableUpstreams(now)
	} else {
		v.Upstreams = maps.Clone(s.cached.Upstreams)
		s.rebuildServices(v, now)
	}
	if s.cached == nil || s.staleHosts {
		v.Hosts = s.sortedHosts()
	} else {
		v.Hosts = s.cached.Hosts
	}
	poolsChanged := s.updateDomainPools()
	if s.cached != nil && !s.staleHosts && !poolsChanged {
		v.DomainPools, v.DutyHosts = s.cached.DomainPools, s.cached.DutyHosts
	} else {
		v.DomainPools, v.DutyHosts = maps.Clone(s.domainPools), map[string][]roster.Host{}
		if s.policy != nil {
			for service := range s.policy.Services {
				v.DutyHosts[service] = v.PlacingOrder(service)
			}
		}
	}
	clear(s.staleServices)
	s.staleHosts = false
	return v
}

// rebuildServices replaces the upstreams of the services that have changed.
func (s *State) rebuildServices(v *roster.View, now time.Time) {
	for service := range s.staleServices {
		delete(v.Upstreams, service)
	}
	for _, u := range s.upstreams {
		if s.staleServices[u.Service] {
			s.appendUsable(v.Upstreams, u, now)
		}
	}
	for service := range s.staleServices {
		sortUpstreams(v.Upstreams[service])
	}
}

// updateDomainPools decides which services have a pool in each failure domain, and reports whether that has changed.
func (s *State) updateDomainPools() bool {
	before := maps.Clone(s.domainPools)
	counts, regions := map[string]int{}, map[string]map[string]bool{}
	for _, u := range s.upstreams {
		counts[u.Service]++
		if regions[u.Service] == nil {
			regions[u.Service] = map[string]bool{}
		}
		regions[u.Service][u.Region] = true
	}
	for service, total := range counts {
		limit := float64(maxRegionPool)
		if s.domainPools[service] {
			limit *= keepDomainShare
		}
		s.domainPools[service] = float64(total) >= limit*float64(len(regions[service]))
	}
	return !maps.Equal(before, s.domainPools)
}

// usableUpstreams returns the upstreams that are neither draining nor evacuated, by service and sorted by ID.
func (s *State) usableUpstreams(now time.Time) map[string][]*roster.Upstream {
	out := map[string][]*roster.Upstream{}
	for _, u := range s.upstreams {
		s.appendUsable(out, u, now)
	}
	for _, list := range out {
		sortUpstreams(list)
	}
	return out
}

// appendUsable appends an upstream to those of its service, unless it is draining or evacuated.
func (s *State) appendUsable(out map[string][]*roster.Upstream, u roster.Upstream, now time.Time) {
	if u.Draining || s.evacuated[u.Domain] {
		return
	}
	s.assumeCold(&u, now)
	out[u.Service] = append(out[u.Service], &u)
}

func sortUpstreams(list []*roster.Upstream) {
	slices.SortFunc(list, func(a, b *roster.Upstream) int { return strings.Compare(a.ID, b.ID) })
}

// sortedHosts returns the live hosts, sorted by name.
func (s *State) sortedHosts() []roster.Host {
	return slices.SortedFunc(maps.Values(s.hosts), func(a, b roster.Host) int { return strings.Compare(a.Name, b.Name) })
}

// assumeCold marks an upstream as cold just after the evacuation of its failure domain ended: requests reach it before
// its next report, which would say so.
func (s *State) assumeCold(u *roster.Upstream, now time.Time) {
	endedAt, ok := s.evacuationEndedAt[u.Domain]
	if !ok || s.policy == nil {
		return
	}
	coldPeriod := s.policy.Services[u.Service].ColdLife + coldMargin
	if until := endedAt.Add(coldPeriod); now.Before(until) && u.ColdUntil().Before(until) {
		u.Reported, u.Cold = now, until.Sub(now)
	}
}

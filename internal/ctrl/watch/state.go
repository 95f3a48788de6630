package watch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// lapseGrace is how long an entry that was removed while the store was away may still come back. The
	// platform restores live entries within about 2 s of the store's return.
	lapseGrace = 2200 * time.Millisecond
	// awayAfter is the silence of the store after which entries may have lapsed unseen: below the shortest
	// lease of three heartbeats.
	awayAfter = 2500 * time.Millisecond
	// crashesMost bounds the crashes that are remembered.
	crashesMost = 500
	// tombstoneLife is how long a leaving incarnation is remembered, so that a late write cannot revive it.
	tombstoneLife = time.Minute
	// returnCold is added to the cold time of a failure domain that is taken back, for the delay of news.
	returnCold = time.Second
)

// State is all that control believes; only the loop's goroutine touches it.
type State struct {
	self       roster.Host
	policy     *policy.Policy
	upstreams  map[string]roster.Upstream
	hosts      map[string]roster.Host
	crashes    []roster.Crash
	evacuated  map[string]bool
	returned   map[string]time.Time // When a domain's evacuation ended.
	lapsed     map[string]time.Time // Until when a removed entry may come back, by kind and name.
	tombstones map[string]tombstone
	heard      time.Time // When the store last answered.
	back       time.Time // When the store last came back.
	lost       bool
	leaving    bool
	deals
	relay
}

// tombstone remembers an incarnation that was seen leaving, or whose entry was removed.
type tombstone struct {
	born int64
	left bool // It said that it leaves; it does not come back.
	at   time.Time
}

// NewState returns the state of a host that has heard nothing yet.
func NewState(self roster.Host) *State {
	return &State{
		self: self, upstreams: map[string]roster.Upstream{}, hosts: map[string]roster.Host{},
		evacuated: map[string]bool{}, returned: map[string]time.Time{},
		lapsed: map[string]time.Time{}, tombstones: map[string]tombstone{}, deals: deals{book: map[[2]string]asked{}},
	}
}

// View returns a snapshot for traffic.
func (s *State) View(now time.Time) *roster.View {
	v := &roster.View{
		Self: s.self, Policy: s.policy, Upstreams: s.usable(now), Hosts: s.list(), Leaving: s.leaving,
		Crashes: slices.Clip(s.crashes), Evacuated: maps.Clone(s.evacuated), Synced: s.heard,
	}
	v.Loans = s.current(now)
	v.Duties = map[string][]roster.Host{}
	if s.policy != nil {
		for service := range s.policy.Services {
			v.Duties[service] = v.Placers(s.self.Region, service)
		}
	}
	return v
}

// usable lists the upstreams that may get work, by service.
func (s *State) usable(now time.Time) map[string][]*roster.Upstream {
	out := map[string][]*roster.Upstream{}
	for _, u := range s.upstreams {
		if u.Draining || s.evacuated[u.Domain] {
			continue
		}
		s.assumeCold(&u, now)
		out[u.Service] = append(out[u.Service], &u)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *roster.Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return out
}

// list returns the live hosts by name.
func (s *State) list() []roster.Host {
	return slices.SortedFunc(maps.Values(s.hosts), func(a, b roster.Host) int { return strings.Compare(a.Name, b.Name) })
}

// assumeCold takes an upstream for cold just after its failure domain was taken back: its next report, which
// would say so, comes later than the first requests.
func (s *State) assumeCold(u *roster.Upstream, now time.Time) {
	end, ok := s.returned[u.Domain]
	if !ok || s.policy == nil {
		return
	}
	life := s.policy.Services[u.Service].ColdLife + returnCold
	if until := end.Add(life); now.Before(until) && u.ColdUntil().Before(until) {
		u.Reported, u.Cold = now, until.Sub(now)
	}
}

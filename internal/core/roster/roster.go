package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/rendez"
)

// Upstream is the last report of one incarnation of an upstream.
type Upstream struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Region   string
	Slots    int
	Draining bool
	Born     int64 // Start time in Unix milliseconds; orders the incarnations of an ID.
	Seq      int64 // Sequence number of the report within the incarnation.
	Cold     time.Duration
	Reported time.Time // When this host read the report.
}

// ColdUntil returns when the upstream stops being cold, according to its last report.
func (u *Upstream) ColdUntil() time.Time { return u.Reported.Add(u.Cold) }

// Host is an entry host.
type Host struct {
	Name        string
	Domain      string
	Region      string
	Front       string // Address for callers.
	Peer        string // Address for other hosts.
	Incarnation string
	Cores       float64 // Processor time available to the host, in cores.
}

// Crash records that an upstream crashed while it ran a request with the given digest.
type Crash struct {
	Digest   uint64
	Upstream string
	Born     int64 // Identifies the upstream's incarnation; 0 if the report doesn't name it.
}

// View is an immutable snapshot of the state that is used to handle requests.
type View struct {
	Self         Host
	Policy       *policy.Policy
	Upstreams    map[string][]*Upstream // By service; excludes upstreams that are draining or evacuated.
	Hosts        []Host                 // Live hosts, sorted by name.
	DutyHosts    map[string][]Host      // The hosts of this host's pool that may place jobs, in order of preference, by service.
	DomainPools  map[string]bool        // Services whose upstreams are pooled by failure domain instead of by region.
	Loans        map[string]string      // The pool that borrows an upstream, by upstream ID.
	Crashes      []Crash
	Evacuated    map[string]bool // Failure domains that get no jobs.
	Version      uint64          // Changes with Upstreams, Hosts, DomainPools and Policy; equal versions of one process have equal values.
	ShuttingDown bool            // This host is shutting down.
	SyncedAt     time.Time       // Time of the newest data from the store.
}

// PoolName returns the name of the pool to which a region's or a failure domain's upstreams of one service belong. One
// host at a time places all jobs of a pool.
func PoolName(byDomain bool, region, domain string) string {
	if byDomain {
		return region + "/" + domain
	}
	return region
}

// PoolOf returns the pool to which an upstream belongs while it is not lent.
func (v *View) PoolOf(u *Upstream) string {
	return PoolName(v.DomainPools[u.Service], u.Region, u.Domain)
}

// OwnPool returns the pool from which this host's jobs of a service are served.
func (v *View) OwnPool(service string) string {
	return PoolName(v.DomainPools[service], v.Self.Region, v.Self.Domain)
}

// UsedBy returns the pool that uses an upstream: the borrower of a loaned one, or else its own.
func (v *View) UsedBy(u *Upstream) string {
	if to, lent := v.Loans[u.ID]; lent {
		return to
	}
	return v.PoolOf(u)
}

// PlacingOrder returns the hosts of this host's pool of a service in the order in which they place its jobs. The first reachable
// host does. Hosts with more processor time come first.
func (v *View) PlacingOrder(service string) []Host { return v.poolOrder(service, v.OwnPool(service)) }

// poolOrder returns the hosts of a pool of a service in the order in which they place its jobs.
func (v *View) poolOrder(service, pool string) []Host {
	byDomain := v.DomainPools[service]
	return v.orderHosts(service, func(h *Host) bool { return PoolName(byDomain, h.Region, h.Domain) == pool })
}

// FleetOrder returns all hosts in the order in which they perform a duty for the fleet, such as reading the store.
func (v *View) FleetOrder(duty string) []Host {
	return v.orderHosts(duty, func(*Host) bool { return true })
}

// orderHosts orders hosts by processor time, and those with as much by a hash of the duty, so that duties spread.
func (v *View) orderHosts(duty string, included func(*Host) bool) []Host {
	type scored struct {
		host  Host
		score uint64
	}
	var list []scored
	key := rendez.Hash(duty)
	for i := range v.Hosts {
		if h := &v.Hosts[i]; included(h) {
			list = append(list, scored{*h, rendez.UnweightedScore(key, rendez.Hash(h.Name))})
		}
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.host.Cores, a.host.Cores); c != 0 {
			return c
		}
		return cmp.Compare(b.score, a.score)
	})
	hosts := make([]Host, len(list))
	for i := range list {
		hosts[i] = list[i].host
	}
	return hosts
}

// Kind classifies changes by the entry of the store that they affect.
type Kind int

// Kinds of change.
const (
	// Ignored is a change that this host does not use.
	Ignored Kind = iota
	// PolicyKind is a change of the policy.
	PolicyKind
	// UpstreamKind is a change of an upstream.
	UpstreamKind
	// HostKind is a change of an entry host.
	HostKind
	// EvacuationKind is the start or end of a failure domain's evacuation.
	EvacuationKind
	// CrashKind is an upstream's crash that another host reported.
	CrashKind
)

var kindNames = [...]string{"ignored", "policy", "upstream", "host", "evacuation", "crash"}

// String returns the kind's name for logs.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Change is a decoded change in the store; Name is the upstream, host or failure domain that it affects.
type Change struct {
	Kind     Kind
	Name     string
	Revision int64
	Removed  bool
	Pending  bool // An upstream or evacuation that the store has to confirm, since it was restored from an older copy.
	Policy   *policy.Policy
	Upstream Upstream
	Host     Host
	Crash    Crash
	Err      error // Why the entry is invalid, or nil.
}

// Batch is a group of consecutive changes in the store.
type Batch struct {
	Changes  []Change
	Era      int64         // Rises each time that the store comes back from an older copy; 0 if it isn't known.
	Revision int64         // The store's revision after the changes, within the era.
	Snapshot bool          // The changes are a full snapshot of the store, not an increment.
	Age      time.Duration // Time since the store sent the changes, if another host forwarded them.
	Steady   time.Duration // Time without an outage of the store before the changes, as the host that forwarded them knows it; 0 if it doesn't.
	Outage   bool          // An outage ended at the beginning of Steady.
	Indirect bool          // From a host that may itself request changes from this one, which must not take them for recent.
}

const (
	// minEntryHosts is the number of large hosts from which a failure domain serves its callers alone.
	minEntryHosts = 3
	// largeShare is the share of the largest host's processor time from which a host counts as large.
	largeShare = 0.5
	// entryShare is the share of the hosts' processor time that takes callers. Fewer hosts share fewer connections to
	// upstreams, each of which is reused more often.
	entryShare = 0.33
)

// EntryHosts returns the hosts that a caller in the given region and failure domain should use: the large ones of its failure
// domain, or of its region if there are few. Callers choose among them at random, so a small host would be overloaded.
func (v *View) EntryHosts(region, domain string) []Host {
	hosts := v.Nearest(region, domain)
	largest := 0.0
	for i := range hosts {
		largest = max(largest, hosts[i].Cores)
	}
	near := 0
	for near < len(hosts) && hosts[near].Domain == domain {
		near++
	}
	if chosen := largeHosts(hosts[:near], largest); len(chosen) >= minEntryHosts {
		return chosen
	}
	if chosen := largeHosts(hosts, largest); len(chosen) >= minEntryHosts {
		return chosen
	}
	return hosts
}

// largeHosts returns the first large hosts that together have entryShare of the processor time, and at least minEntryHosts.
func largeHosts(hosts []Host, largest float64) []Host {
	var chosen []Host
	total, sum := 0.0, 0.0
	for i := range hosts {
		total += hosts[i].Cores
	}
	for i := range hosts {
		if hosts[i].Cores >= largeShare*largest && (len(chosen) < minEntryHosts || sum < entryShare*total) {
			chosen = append(chosen, hosts[i])
			sum += hosts[i].Cores
		}
	}
	return chosen
}

// Nearest returns the hosts near a caller in the given region and failure domain: those of its region, with those of its
// failure domain first, or all others if its region has none.
func (v *View) Nearest(region, domain string) []Host {
	var near, same, far []Host
	self := false
	for _, h := range v.Hosts {
		if h.Name == v.Self.Name {
			self = true
			if v.ShuttingDown {
				continue
			}
		}
		near, same, far = appendByLocality(h, region, domain, near, same, far)
	}
	if !self && !v.ShuttingDown {
		near, same, far = appendByLocality(v.Self, region, domain, near, same, far)
	}
	if len(near)+len(same) > 0 {
		return append(near, same...)
	}
	return far
}

func appendByLocality(h Host, region, domain string, near, same, far []Host) ([]Host, []Host, []Host) {
	switch {
	case h.Domain == domain:
		near = append(near, h)
	case h.Region == region:
		same = append(same, h)
	default:
		far = append(far, h)
	}
	return near, same, far
}

package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/rendez"
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Region   string
	Slots    int
	Draining bool
	Born     int64 // Unix milliseconds of its start; it orders incarnations of one ID.
	Seq      int64 // Counts the reports of one incarnation.
	Cold     time.Duration
	Reported time.Time // When this host read the report.
}

// ColdUntil returns when the upstream is warm, as far as its last report tells.
func (u *Upstream) ColdUntil() time.Time { return u.Reported.Add(u.Cold) }

// Host is one entry host.
type Host struct {
	Name        string
	Domain      string
	Region      string
	Front       string // Address for callers.
	Peer        string // Address for other hosts.
	Incarnation string
	Cores       float64 // Processor time that it may use, in cores.
}

// Crash is the loss of an upstream while it ran a request with a fingerprint.
type Crash struct {
	Digest   uint64
	Upstream string
}

// View is an immutable snapshot of what traffic decides by.
type View struct {
	Self      Host
	Policy    *policy.Policy
	Upstreams map[string][]*Upstream // By service, without those that leave or are evacuated.
	Hosts     []Host                 // Live hosts, sorted by name.
	Duties    map[string][]Host      // The hosts of this region that take on a duty, in their order, by duty.
	Loans     map[string]string      // The region that uses an upstream which is not its own, by upstream.
	Crashes   []Crash
	Evacuated map[string]bool // Failure domains that get no work.
	Leaving   bool            // This host is stopping.
	Synced    time.Time       // When the store was last heard.
}

// User returns the region that uses an upstream.
func (v *View) User(u *Upstream) string {
	if to, lent := v.Loans[u.ID]; lent {
		return to
	}
	return u.Region
}

// Placers lists the hosts of a region in the order in which they take on a duty for all of them, such as placing
// a service's jobs: the first one that can be reached does. Those with the most processor time come first.
func (v *View) Placers(region, duty string) []Host {
	var hosts []Host
	key := rendez.Hash(duty)
	for _, h := range v.Hosts {
		if h.Region == region {
			hosts = append(hosts, h)
		}
	}
	slices.SortStableFunc(hosts, func(a, b Host) int {
		if c := cmp.Compare(b.Cores, a.Cores); c != 0 {
			return c
		}
		return cmp.Compare(rendez.Score(key, rendez.NewSite(b.Name, 1)), rendez.Score(key, rendez.NewSite(a.Name, 1)))
	})
	return hosts
}

// Kind says what a change is about.
type Kind int

// Kinds of change.
const (
	// Ignored changes concern nobody here.
	Ignored Kind = iota
	// PolicyKind is a change of the policy.
	PolicyKind
	// UpstreamKind is a change of an upstream.
	UpstreamKind
	// HostKind is a change of an entry host.
	HostKind
	// EvacuationKind is the start or end of a failure domain's evacuation.
	EvacuationKind
	// CrashKind is the loss of an upstream that another host saw.
	CrashKind
)

var kindNames = [...]string{"ignored", "policy", "upstream", "host", "evacuation", "crash"}

// String returns the kind's name in logs.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Change is one decoded change in the store; Name is the upstream, host or failure domain that it concerns.
type Change struct {
	Kind     Kind
	Name     string
	Revision int64
	Removed  bool
	Policy   *policy.Policy
	Upstream Upstream
	Host     Host
	Crash    Crash
	Err      error // The entry can't be used, and why.
}

// Batch is the changes that follow one another in the store.
type Batch struct {
	Changes  []Change
	Revision int64         // The store's revision after them.
	Full     bool          // The changes are all that the store holds, not what was added.
	Age      time.Duration // Since the store told them, if another host passed them on.
}

// Nearest lists the hosts that a caller of a region and failure domain should use: those of its region, the
// ones of its failure domain first; all others if the region has none.
func (v *View) Nearest(region, domain string) []Host {
	var near, same, far []Host
	self := false
	for _, h := range v.Hosts {
		if h.Name == v.Self.Name {
			self = true
			if v.Leaving {
				continue
			}
		}
		near, same, far = sortInto(h, region, domain, near, same, far)
	}
	if !self && !v.Leaving {
		near, same, far = sortInto(v.Self, region, domain, near, same, far)
	}
	if len(near)+len(same) > 0 {
		return append(near, same...)
	}
	return far
}

func sortInto(h Host, region, domain string, near, same, far []Host) ([]Host, []Host, []Host) {
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

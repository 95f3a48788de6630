package state

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// Periods and timeouts of the control state machine.
const (
	// TickPeriod is the interval between Tick events.
	TickPeriod = 250 * time.Millisecond
	// UnreachableTimeout is how long a host is avoided after it could not be reached.
	UnreachableTimeout = 2 * time.Second
	// MinGrowthDelay is the shortest delay before an allocation that a new revision enlarged takes effect, so that the
	// other hosts have reduced theirs first.
	MinGrowthDelay = 5 * time.Second
	// FetchTimeout is how long a fetch may take before another one is started.
	FetchTimeout = 2 * time.Second
)

// SummaryRefreshPeriod returns how often a failure domain publishes its unchanged summary. It grows with the number of
// domains, so that the control traffic of each host does not.
func SummaryRefreshPeriod(domains int) time.Duration {
	return max(2*time.Second, time.Duration(domains)*600*time.Millisecond)
}

// ExchangePeriod returns how often a relay sends an exchange to the relay of another failure domain.
func ExchangePeriod(domains int) time.Duration {
	return max(time.Second, time.Duration(domains)*20*time.Millisecond)
}

// maxMissedRefreshes is the number of refresh periods after which a summary is stale.
const maxMissedRefreshes = 3

// HeartbeatPeriod returns how often a host sends a heartbeat to its relay. It grows with the number of hosts of the
// failure domain, so that the relay's traffic does not, and every timeout that depends on heartbeats grows with it.
func HeartbeatPeriod(hosts int) time.Duration {
	return max(time.Second, time.Duration(hosts)*250*time.Millisecond)
}

// LoanTTL returns the duration of a grant, which survives the loss of two heartbeats.
func LoanTTL(hosts int) time.Duration {
	return max(share.DefaultLoanTTL, 2*HeartbeatPeriod(hosts)+time.Second)
}

// LeaseTTL returns the duration of the lender's lease. After the loss of two renewals it still covers a whole grant.
func LeaseTTL(hosts int) time.Duration { return max(10*time.Second, 2*LoanTTL(hosts)) }

// LeaseRenewalPeriod returns how often a lender renews its lease.
func LeaseRenewalPeriod(hosts int) time.Duration { return LeaseTTL(hosts) / 4 }

// SeatTimeout returns how long a host of the same failure domain counts as alive without a heartbeat or a reply.
func SeatTimeout(hosts int) time.Duration { return 3 * HeartbeatPeriod(hosts) }

// State is the control state of one entry host. Only events modify it.
type State struct {
	Self    plan.Identity
	Doc     *spec.Document
	Leaving bool

	Hosts          map[string]HostRecord    // By seat.
	Unreachable    map[string]time.Time     // When contact with a host last failed, by seat.
	LastReply      map[string]time.Time     // When a host of this failure domain last answered a heartbeat, by seat.
	Summaries      map[string]SummaryRecord // By failure domain.
	Seq            uint64
	Peers          map[string]Peer // By seat.
	Members        []Member
	MembersVersion uint64
	Loads          map[string]plan.Load // This host's loads by service.

	IsRelay bool
	Lease   share.Lease
	Ledger  *share.Ledger
	// Takeovers are the leases of silent failure domains by domain name.
	Takeovers   map[string]Takeover
	Grant       Grant
	Allocations map[string]Allocation // By resource, or by pool prefix and resource.
	Shifts      map[string]Progress   // By name of the shift.

	index        *documentIndex
	loadAverages map[string]LoadAverage
	lastReport   loadReport

	firstRelayedAt, candidateSince, lastHeartbeat, lastExchange, lastLeaseRequest, fetchStartedAt, lastSummary time.Time
	exchangeCount                                                                                              int
}

// HostRecord is the last heartbeat that a relay received from a host of its failure domain.
type HostRecord struct {
	ReceivedAt  time.Time
	Incarnation string
	Revision    uint64
	Leaving     bool
	Loads       map[string]plan.Load
}

// loadReport holds the loads that this host last reported in full, and the incarnation of the relay that received them.
type loadReport struct {
	relayIncarnation string
	loads            map[string]plan.Load
}

// LoadAverage is the moving average of the load of one service.
type LoadAverage struct {
	Busy   float64
	Queued float64
}

// SummaryRecord is a received summary with its source and its position in the order of this host's updates.
type SummaryRecord struct {
	Summary
	ReceivedAt time.Time // When it was last received, published here, or confirmed as current by the relay.
	Seq        uint64
	// ChangedSeq is the sequence number at which anything besides the version last changed.
	ChangedSeq uint64
	Source     string // The host from which it was received.
}

// Peer records how far this host and another one have synchronized their summaries.
type Peer struct {
	Incarnation    string
	SeenSeq        uint64 // The peer's sequence number up to which this host has its summaries.
	AckedSeq       uint64 // This host's sequence number up to which the peer has its summaries.
	MembersVersion uint64
}

// Grant holds the units that the lender lent to this host.
type Grant struct {
	Units       map[string]int64
	Hash        uint64 // Identifies the units in heartbeats; 0 if some were dropped.
	RequestedAt time.Time
	ExpiresAt   time.Time
}

// Allocation is a part of a limit. A reduction takes effect at once, growth only after a delay.
type Allocation struct {
	Units       int64 // The part in force.
	Pending     int64 // The part in force from EffectiveAt on; equal to Units if no growth is pending.
	EffectiveAt time.Time
}

// Progress is the progress of a shift along its ramp.
type Progress struct {
	Fraction    float64 // The fraction of the ramp that is done, from 0 to 1.
	UpdatedAt   time.Time
	BaseLatency time.Duration // The target's latency when the shift began.
	Paused      bool
}

// New returns the initial state of a host.
func New(self plan.Identity) *State {
	return &State{
		Self:         self,
		Hosts:        map[string]HostRecord{},
		Unreachable:  map[string]time.Time{},
		LastReply:    map[string]time.Time{},
		Summaries:    map[string]SummaryRecord{},
		Peers:        map[string]Peer{},
		Loads:        map[string]plan.Load{},
		loadAverages: map[string]LoadAverage{},
		Ledger:       share.NewLedger(),
		Takeovers:    map[string]Takeover{},
		Allocations:  map[string]Allocation{},
		Shifts:       map[string]Progress{},
	}
}

// Revision returns the document revision in force on this host, 0 if it has no document.
func (s *State) Revision() uint64 {
	if s.Doc == nil {
		return 0
	}
	return s.Doc.Revision
}

// documentIndex speeds up lookups in a document. It is built once per revision.
type documentIndex struct {
	seats         map[string]spec.Seat
	domains       []spec.Domain // All domains, in document order.
	selfIndex     int           // The index of this host's failure domain in domains, or -1.
	regionDomains []spec.Domain // The domains of this host's region.
	// siblings are the other failure domains of this host's region.
	siblings   []spec.Domain
	linkDelays map[string]time.Duration
}

func newDocumentIndex(doc *spec.Document, self plan.Identity) *documentIndex {
	ix := &documentIndex{seats: map[string]spec.Seat{}, selfIndex: -1, linkDelays: map[string]time.Duration{}}
	for _, r := range doc.Regions {
		for _, d := range r.Domains {
			if d.Name == self.Domain {
				ix.selfIndex = len(ix.domains)
			}
			ix.domains = append(ix.domains, d)
			if r.Name == self.Region {
				ix.regionDomains = append(ix.regionDomains, d)
			}
			if r.Name == self.Region && d.Name != self.Domain {
				ix.siblings = append(ix.siblings, d)
			}
			for _, seat := range d.Seats {
				ix.seats[seat.Name] = seat
			}
		}
	}
	for _, l := range doc.Links {
		if l.From == self.Region {
			ix.linkDelays[l.To] = time.Duration(l.Delay)
		}
	}
	return ix
}

// domainSeats returns the seats of this host's failure domain, or nil if this host has no document that contains it.
func (s *State) domainSeats() []spec.Seat {
	if s.Doc == nil || s.index.selfIndex < 0 {
		return nil
	}
	return s.index.domains[s.index.selfIndex].Seats
}

func (s *State) findSeat(name string) (spec.Seat, bool) {
	if s.Doc == nil {
		return spec.Seat{}, false
	}
	seat, ok := s.index.seats[name]
	return seat, ok
}

func (s *State) isUnreachable(seat string, now time.Time) bool {
	at, ok := s.Unreachable[seat]
	return ok && now.Sub(at) < UnreachableTimeout
}

// currentRelay returns the seat that should relay for this failure domain: the first one in document order that is
// alive and, if it is this host, not leaving. With no such seat it returns this host's own, if the document has one.
func (s *State) currentRelay(now time.Time) spec.Seat {
	var self spec.Seat
	for _, seat := range s.domainSeats() {
		if seat.Name == s.Self.Seat {
			if !s.Leaving {
				return seat
			}
			self = seat
			continue
		}
		if at, ok := s.LastReply[seat.Name]; ok && now.Sub(at) < SeatTimeout(len(s.domainSeats())) {
			return seat
		}
	}
	return self
}

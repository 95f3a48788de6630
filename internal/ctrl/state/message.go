package state

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
)

// Member is an upstream registered with the platform.
type Member struct {
	ID      string
	Address string
	Service string
	Domain  string
	Leaving bool
}

// Summary is the versioned status that a failure domain publishes to the others.
type Summary struct {
	Domain      string
	Version     int64
	Relay       string               // Seat of the domain's relay.
	Unavailable []string             // Hosts that accept no new jobs.
	Loads       map[string]plan.Load // The domain's loads by service.
	Unchanged   bool                 // Only the version changed; the relay, hosts and loads are omitted.
}

// Heartbeat is the periodic report of an entry host to its relay.
type Heartbeat struct {
	Seat            string
	Incarnation     string
	Revision        uint64
	Leaving         bool
	Loads           map[string]plan.Load // The sender's loads by service.
	LoadsUnchanged  bool                 // The loads have not changed enough to be sent again and are omitted.
	PeerIncarnation string               // The incarnation of the relay to which the next two fields refer.
	SeenSeq         uint64               // The relay's sequence number up to which the sender has its summaries.
	MembersVersion  uint64               // The version of the upstream list that the sender has.
	GrantHash       uint64               // The hash of the grant that the sender holds, 0 for none.
}

// HeartbeatReply answers a heartbeat with the sender's grant and the summaries that it lacks.
type HeartbeatReply struct {
	Incarnation    string
	Revision       uint64
	Leaving        bool
	Seq            uint64           // The relay's sequence number up to which the reply is complete.
	Units          map[string]int64 // The grant by resource; nil if the sender already holds it.
	TTL            time.Duration    // The duration of the grant, 0 for none.
	GrantHash      uint64           // The hash of the granted units.
	Summaries      []Summary
	StaleDomains   []string // Failure domains whose summaries are out of date at the relay.
	MembersVersion uint64   // The version of the upstream list.
	Members        []Member // The failure domain's upstreams; nil if the sender already has this version.
}

// Exchange carries summaries from a relay to the relay of another failure domain.
type Exchange struct {
	Domain          string
	Seat            string
	Incarnation     string
	Revision        uint64
	PeerIncarnation string // The receiver's incarnation to which the next field refers.
	SeenSeq         uint64 // The receiver's sequence number up to which the sender has its summaries.
	Summaries       []Summary
}

// ExchangeReply returns the summaries that the sender of an Exchange lacks.
type ExchangeReply struct {
	Incarnation string
	Revision    uint64
	Seq         uint64 // The receiver's sequence number up to which the reply is complete.
	Summaries   []Summary
}

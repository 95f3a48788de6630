package state

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// Event is an input of the control state machine.
type Event interface{ event() }

// Events of the control state machine.
type (
	// Tick is the periodic timer event; Loads is the current load of this host by service.
	Tick struct{ Loads map[string]plan.Load }
	// Adopt delivers a configuration document.
	Adopt struct {
		Doc spec.Document
		Own bool // An operator changed it through this host; otherwise it is from the platform or another host.
	}
	// HeartbeatIn is a heartbeat received from a host of the same failure domain. Exactly one reply is sent to Reply.
	HeartbeatIn struct {
		Heartbeat Heartbeat
		Reply     chan HeartbeatReply
	}
	// HeartbeatOut is the result of a heartbeat that this host sent.
	HeartbeatOut struct {
		Seat  string
		Asked time.Time
		Sent  Heartbeat
		Reply HeartbeatReply
		Err   error
	}
	// ExchangeIn is an exchange received from another relay. Exactly one reply is sent to Reply.
	ExchangeIn struct {
		Exchange Exchange
		Reply    chan ExchangeReply
	}
	// ExchangeOut is the result of an exchange that this host sent.
	ExchangeOut struct {
		Seat   string
		Domain string
		Sent   uint64
		Reply  ExchangeReply
		Err    error
	}
	// LeaseOut is the result of a lease request to the platform.
	LeaseOut struct {
		Domain string
		Asked  time.Time
		Life   time.Duration
		Held   bool
		Err    error
	}
	// ListOut delivers the platform's list of this failure domain's upstreams.
	ListOut struct{ Members []Member }
	// Notice announces that a host has a revision and carries the most recent changes up to it.
	Notice struct {
		Seat     string
		Revision uint64
		Changes  []spec.Entry
	}
	// FetchOut reports that a fetch returned no document.
	FetchOut struct{}
	// Unreachable reports that the data path failed to reach a host.
	Unreachable struct{ Seat string }
	// Ask requests the host's status. Exactly one answer is sent to Reply.
	Ask struct{ Reply chan Status }
	// Leave starts the planned stop of this host.
	Leave struct{}
)

func (Tick) event()         {}
func (Adopt) event()        {}
func (HeartbeatIn) event()  {}
func (HeartbeatOut) event() {}
func (ExchangeIn) event()   {}
func (ExchangeOut) event()  {}
func (LeaseOut) event()     {}
func (ListOut) event()      {}
func (Notice) event()       {}
func (FetchOut) event()     {}
func (Unreachable) event()  {}
func (Ask) event()          {}
func (Leave) event()        {}

// Action is an output of the control state machine that the host executes.
type Action interface{ action() }

// Actions of the control state machine.
type (
	// SendHeartbeat sends a heartbeat to a host. Its result comes back as an event.
	SendHeartbeat struct {
		To        spec.Seat
		Heartbeat Heartbeat
	}
	// SendExchange sends an exchange to the relay of another failure domain. Its result comes back as an event.
	SendExchange struct {
		To       spec.Seat
		Domain   string
		Sent     uint64
		Exchange Exchange
	}
	// SendNotice announces a revision and its most recent changes to hosts.
	SendNotice struct {
		To       []spec.Seat
		Revision uint64
		Changes  []spec.Entry
	}
	// AskLease acquires or renews a failure domain's lease on the platform. Its result comes back as an event.
	AskLease struct {
		Domain string
		Life   time.Duration
	}
	// ReleaseLease releases a failure domain's lease.
	ReleaseLease struct{ Domain string }
	// Relay starts or stops watching the platform on behalf of this host's failure domain.
	Relay struct{ On bool }
	// Fetch requests the document of a host. The document, or the lack of one, comes back as an event.
	Fetch struct{ From spec.Seat }
)

func (SendHeartbeat) action() {}
func (SendExchange) action()  {}
func (SendNotice) action()    {}
func (AskLease) action()      {}
func (ReleaseLease) action()  {}
func (Relay) action()         {}
func (Fetch) action()         {}

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
	// DocumentReceived delivers a configuration document.
	DocumentReceived struct {
		Doc   spec.Document
		Local bool // An operator changed it through this host; otherwise it is from the platform or another host.
	}
	// HeartbeatReceived is a heartbeat received from a host of the same failure domain. Exactly one reply is sent to Reply.
	HeartbeatReceived struct {
		Heartbeat Heartbeat
		Reply     chan HeartbeatReply
	}
	// HeartbeatResult is the result of a heartbeat that this host sent.
	HeartbeatResult struct {
		Seat        string
		RequestedAt time.Time
		Sent        Heartbeat
		Reply       HeartbeatReply
		Err         error
	}
	// ExchangeReceived is an exchange received from another relay. Exactly one reply is sent to Reply.
	ExchangeReceived struct {
		Exchange Exchange
		Reply    chan ExchangeReply
	}
	// ExchangeResult is the result of an exchange that this host sent.
	ExchangeResult struct {
		Seat    string
		Domain  string
		SentSeq uint64
		Reply   ExchangeReply
		Err     error
	}
	// LeaseResult is the result of a lease request to the platform.
	LeaseResult struct {
		Domain      string
		RequestedAt time.Time
		TTL         time.Duration
		Held        bool
		Err         error
	}
	// MembersReceived delivers the platform's list of this failure domain's upstreams.
	MembersReceived struct{ Members []Member }
	// NoticeReceived reports the revision of the document that another host has, with the most recent changes up to it.
	NoticeReceived struct {
		Seat     string
		Revision uint64
		Changes  []spec.Entry
	}
	// FetchFailed reports that a fetch returned no document.
	FetchFailed struct{}
	// HostUnreachable reports that the data path failed to reach a host.
	HostUnreachable struct{ Seat string }
	// StatusRequested requests the host's status. Exactly one answer is sent to Reply.
	StatusRequested struct{ Reply chan Status }
	// ShutdownRequested starts the graceful shutdown of this host.
	ShutdownRequested struct{}
)

func (Tick) event()              {}
func (DocumentReceived) event()  {}
func (HeartbeatReceived) event() {}
func (HeartbeatResult) event()   {}
func (ExchangeReceived) event()  {}
func (ExchangeResult) event()    {}
func (LeaseResult) event()       {}
func (MembersReceived) event()   {}
func (NoticeReceived) event()    {}
func (FetchFailed) event()       {}
func (HostUnreachable) event()   {}
func (StatusRequested) event()   {}
func (ShutdownRequested) event() {}

// Action is an output of the control state machine that the host executes.
type Action interface{ action() }

// Actions of the control state machine.
type (
	// SendHeartbeat sends a heartbeat to a host. The result is the event HeartbeatResult.
	SendHeartbeat struct {
		To        spec.Seat
		Heartbeat Heartbeat
	}
	// SendExchange sends an exchange to the relay of another failure domain. The result is the event ExchangeResult.
	SendExchange struct {
		To       spec.Seat
		Domain   string
		SentSeq  uint64
		Exchange Exchange
	}
	// SendNotice announces a revision and its most recent changes to hosts.
	SendNotice struct {
		To       []spec.Seat
		Revision uint64
		Changes  []spec.Entry
	}
	// RequestLease acquires or renews a failure domain's lease on the platform. The result is the event LeaseResult.
	RequestLease struct {
		Domain string
		TTL    time.Duration
	}
	// ReleaseLease releases a failure domain's lease.
	ReleaseLease struct{ Domain string }
	// SetRelay starts or stops watching the platform on behalf of this host's failure domain.
	SetRelay struct{ On bool }
	// FetchDocument requests the configuration document from a host. The result is the event DocumentReceived or FetchFailed.
	FetchDocument struct{ From spec.Seat }
)

func (SendHeartbeat) action() {}
func (SendExchange) action()  {}
func (SendNotice) action()    {}
func (RequestLease) action()  {}
func (ReleaseLease) action()  {}
func (SetRelay) action()      {}
func (FetchDocument) action() {}

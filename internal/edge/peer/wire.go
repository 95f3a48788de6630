package peer

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/state"
)

// protocolVersion is sent in hello; a server refuses any other value.
const protocolVersion = 1

// Names of the RPC methods.
const (
	methodHello     = "hello"
	methodRun       = "run"
	methodOwn       = "own"
	methodCancel    = "cancel"
	methodHeartbeat = "beat"
	methodExchange  = "swap"
	methodNotice    = "notice"
	methodFetch     = "fetch"
	methodCrash     = "crash"
	methodHandOver  = "hand"
)

type wireHello struct {
	Version int    `json:"version"`
	Seat    string `json:"seat"`
}

type wireCancel struct {
	ID uint64 `json:"id"`
}

// wireLoad holds slots, busy slots, queued jobs and the latency in microseconds, in this order.
type wireLoad [4]int64

func fromLoads(m map[string]plan.Load) map[string]wireLoad {
	out := make(map[string]wireLoad, len(m))
	for k, l := range m {
		out[k] = wireLoad{l.Slots, l.Busy, l.Queued, l.Latency.Microseconds()}
	}
	return out
}

func toLoads(m map[string]wireLoad) map[string]plan.Load {
	out := make(map[string]plan.Load, len(m))
	for k, l := range m {
		out[k] = plan.Load{Slots: l[0], Busy: l[1], Queued: l[2], Latency: time.Duration(l[3]) * time.Microsecond}
	}
	return out
}

// wireSummary is the encoding of state.Summary.
type wireSummary struct {
	Domain      string              `json:"d"`
	Version     int64               `json:"v"`
	Relay       string              `json:"r,omitempty"`
	Unavailable []string            `json:"a,omitempty"`
	Loads       map[string]wireLoad `json:"l,omitempty"`
	Unchanged   bool                `json:"s,omitempty"`
}

func fromSummaries(list []state.Summary) []wireSummary {
	out := make([]wireSummary, 0, len(list))
	for _, s := range list {
		out = append(out, wireSummary{Domain: s.Domain, Version: s.Version, Relay: s.Relay, Unavailable: s.Unavailable, Loads: fromLoads(s.Loads), Unchanged: s.Unchanged})
	}
	return out
}

func toSummaries(list []wireSummary) []state.Summary {
	out := make([]state.Summary, 0, len(list))
	for _, s := range list {
		out = append(out, state.Summary{Domain: s.Domain, Version: s.Version, Relay: s.Relay, Unavailable: s.Unavailable, Loads: toLoads(s.Loads), Unchanged: s.Unchanged})
	}
	return out
}

// wireHeartbeat is the encoding of state.Heartbeat.
type wireHeartbeat struct {
	Seat            string              `json:"seat"`
	Incarnation     string              `json:"inc"`
	Revision        uint64              `json:"rev"`
	Leaving         bool                `json:"leaving,omitempty"`
	Loads           map[string]wireLoad `json:"loads,omitempty"`
	LoadsUnchanged  bool                `json:"same,omitempty"`
	PeerIncarnation string              `json:"peer,omitempty"`
	SeenSeq         uint64              `json:"got,omitempty"`
	MembersVersion  uint64              `json:"list,omitempty"`
	GrantHash       uint64              `json:"mark,omitempty"`
}

func fromHeartbeat(hb state.Heartbeat) wireHeartbeat {
	return wireHeartbeat{
		Seat: hb.Seat, Incarnation: hb.Incarnation, Revision: hb.Revision, Leaving: hb.Leaving,
		Loads: fromLoads(hb.Loads), LoadsUnchanged: hb.LoadsUnchanged, PeerIncarnation: hb.PeerIncarnation, SeenSeq: hb.SeenSeq, MembersVersion: hb.MembersVersion, GrantHash: hb.GrantHash,
	}
}

func (w wireHeartbeat) heartbeat() state.Heartbeat {
	return state.Heartbeat{
		Seat: w.Seat, Incarnation: w.Incarnation, Revision: w.Revision, Leaving: w.Leaving,
		Loads: toLoads(w.Loads), LoadsUnchanged: w.LoadsUnchanged, PeerIncarnation: w.PeerIncarnation, SeenSeq: w.SeenSeq, MembersVersion: w.MembersVersion, GrantHash: w.GrantHash,
	}
}

type wireMember struct {
	ID      string `json:"id"`
	Address string `json:"addr"`
	Service string `json:"svc"`
	Domain  string `json:"dom"`
	Leaving bool   `json:"leaving,omitempty"`
}

// wireHeartbeatReply is the encoding of state.HeartbeatReply.
type wireHeartbeatReply struct {
	Incarnation    string           `json:"inc"`
	Revision       uint64           `json:"rev"`
	Leaving        bool             `json:"leaving,omitempty"`
	Seq            uint64           `json:"stamp"`
	Units          map[string]int64 `json:"units,omitempty"`
	TTL            int64            `json:"left,omitempty"` // In microseconds.
	GrantHash      uint64           `json:"mark,omitempty"`
	Summaries      []wireSummary    `json:"news,omitempty"`
	StaleDomains   []string         `json:"stale,omitempty"`
	MembersVersion uint64           `json:"list,omitempty"`
	Members        []wireMember     `json:"members,omitempty"`
}

func fromHeartbeatReply(r state.HeartbeatReply) wireHeartbeatReply {
	w := wireHeartbeatReply{
		Incarnation: r.Incarnation, Revision: r.Revision, Leaving: r.Leaving, Seq: r.Seq, Units: r.Units,
		TTL: r.TTL.Microseconds(), GrantHash: r.GrantHash, Summaries: fromSummaries(r.Summaries), StaleDomains: r.StaleDomains, MembersVersion: r.MembersVersion,
	}
	for _, m := range r.Members {
		w.Members = append(w.Members, wireMember(m))
	}
	return w
}

func (w wireHeartbeatReply) reply() state.HeartbeatReply {
	r := state.HeartbeatReply{
		Incarnation: w.Incarnation, Revision: w.Revision, Leaving: w.Leaving, Seq: w.Seq, Units: w.Units,
		TTL: time.Duration(w.TTL) * time.Microsecond, GrantHash: w.GrantHash, Summaries: toSummaries(w.Summaries), StaleDomains: w.StaleDomains, MembersVersion: w.MembersVersion,
	}
	for _, m := range w.Members {
		r.Members = append(r.Members, state.Member(m))
	}
	return r
}

// wireExchange is the encoding of state.Exchange.
type wireExchange struct {
	Domain          string        `json:"dom"`
	Seat            string        `json:"seat"`
	Incarnation     string        `json:"inc"`
	Revision        uint64        `json:"rev"`
	PeerIncarnation string        `json:"peer,omitempty"`
	SeenSeq         uint64        `json:"got,omitempty"`
	Summaries       []wireSummary `json:"news,omitempty"`
}

func fromExchange(s state.Exchange) wireExchange {
	return wireExchange{
		Domain: s.Domain, Seat: s.Seat, Incarnation: s.Incarnation, Revision: s.Revision,
		PeerIncarnation: s.PeerIncarnation, SeenSeq: s.SeenSeq, Summaries: fromSummaries(s.Summaries),
	}
}

func (w wireExchange) exchange() state.Exchange {
	return state.Exchange{
		Domain: w.Domain, Seat: w.Seat, Incarnation: w.Incarnation, Revision: w.Revision,
		PeerIncarnation: w.PeerIncarnation, SeenSeq: w.SeenSeq, Summaries: toSummaries(w.Summaries),
	}
}

// wireExchangeReply is the encoding of state.ExchangeReply.
type wireExchangeReply struct {
	Incarnation string        `json:"inc"`
	Revision    uint64        `json:"rev"`
	Seq         uint64        `json:"stamp"`
	Summaries   []wireSummary `json:"news,omitempty"`
}

// wireNotice announces the revision that a host has, with the most recent changes up to it.
type wireNotice struct {
	Seat     string       `json:"seat"`
	Revision uint64       `json:"rev"`
	Changes  []spec.Entry `json:"changes,omitempty"`
}

type wireFetch struct {
	Have uint64 `json:"have"`
}

// wireFetchReply holds the changes since the requested revision, or the full document.
type wireFetchReply struct {
	Changes  []spec.Entry   `json:"changes,omitempty"`
	Document *spec.Document `json:"doc,omitempty"`
}

// newFetchReply returns the changes since a revision, or the full document if not all of them are retained.
func newFetchReply(doc *spec.Document, since uint64) wireFetchReply {
	if doc == nil {
		return wireFetchReply{}
	}
	if changes, ok := doc.Since(since); ok && since > 0 {
		return wireFetchReply{Changes: changes}
	}
	return wireFetchReply{Document: doc}
}

// document returns the fetched document, or the known one with the changes applied; it returns false without either,
// or if the changes don't apply.
func (w wireFetchReply) document(known *spec.Document) (spec.Document, bool) {
	if w.Document != nil {
		return *w.Document, w.Document.Revision > 0
	}
	if known == nil || len(w.Changes) == 0 {
		return spec.Document{}, false
	}
	doc, err := known.Replay(w.Changes)
	return doc, err == nil
}

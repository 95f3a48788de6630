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
	Domain  string              `json:"d"`
	Version int64               `json:"v"`
	Relay   string              `json:"r,omitempty"`
	Away    []string            `json:"a,omitempty"`
	Loads   map[string]wireLoad `json:"l,omitempty"`
	Same    bool                `json:"s,omitempty"`
}

func fromSummaries(list []state.Summary) []wireSummary {
	out := make([]wireSummary, 0, len(list))
	for _, s := range list {
		out = append(out, wireSummary{Domain: s.Domain, Version: s.Version, Relay: s.Relay, Away: s.Unavailable, Loads: fromLoads(s.Loads), Same: s.Unchanged})
	}
	return out
}

func toSummaries(list []wireSummary) []state.Summary {
	out := make([]state.Summary, 0, len(list))
	for _, s := range list {
		out = append(out, state.Summary{Domain: s.Domain, Version: s.Version, Relay: s.Relay, Unavailable: s.Away, Loads: toLoads(s.Loads), Unchanged: s.Same})
	}
	return out
}

// wireHeartbeat is the encoding of state.Heartbeat.
type wireHeartbeat struct {
	Seat        string              `json:"seat"`
	Incarnation string              `json:"inc"`
	Revision    uint64              `json:"rev"`
	Leaving     bool                `json:"leaving,omitempty"`
	Loads       map[string]wireLoad `json:"loads,omitempty"`
	Same        bool                `json:"same,omitempty"`
	Peer        string              `json:"peer,omitempty"`
	Got         uint64              `json:"got,omitempty"`
	List        uint64              `json:"list,omitempty"`
	Hash        uint64              `json:"mark,omitempty"`
}

func fromHeartbeat(b state.Heartbeat) wireHeartbeat {
	return wireHeartbeat{
		Seat: b.Seat, Incarnation: b.Incarnation, Revision: b.Revision, Leaving: b.Leaving,
		Loads: fromLoads(b.Loads), Same: b.LoadsUnchanged, Peer: b.PeerIncarnation, Got: b.SeenSeq, List: b.MembersVersion, Hash: b.GrantHash,
	}
}

func (w wireHeartbeat) heartbeat() state.Heartbeat {
	return state.Heartbeat{
		Seat: w.Seat, Incarnation: w.Incarnation, Revision: w.Revision, Leaving: w.Leaving,
		Loads: toLoads(w.Loads), LoadsUnchanged: w.Same, PeerIncarnation: w.Peer, SeenSeq: w.Got, MembersVersion: w.List, GrantHash: w.Hash,
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
	Incarnation string           `json:"inc"`
	Revision    uint64           `json:"rev"`
	Leaving     bool             `json:"leaving,omitempty"`
	Stamp       uint64           `json:"stamp"`
	Units       map[string]int64 `json:"units,omitempty"`
	Left        int64            `json:"left,omitempty"` // In microseconds.
	Hash        uint64           `json:"mark,omitempty"`
	News        []wireSummary    `json:"news,omitempty"`
	Stale       []string         `json:"stale,omitempty"`
	List        uint64           `json:"list,omitempty"`
	Members     []wireMember     `json:"members,omitempty"`
}

func fromHeartbeatReply(r state.HeartbeatReply) wireHeartbeatReply {
	w := wireHeartbeatReply{
		Incarnation: r.Incarnation, Revision: r.Revision, Leaving: r.Leaving, Stamp: r.Seq, Units: r.Units,
		Left: r.TTL.Microseconds(), Hash: r.GrantHash, News: fromSummaries(r.Summaries), Stale: r.StaleDomains, List: r.MembersVersion,
	}
	for _, m := range r.Members {
		w.Members = append(w.Members, wireMember(m))
	}
	return w
}

func (w wireHeartbeatReply) reply() state.HeartbeatReply {
	r := state.HeartbeatReply{
		Incarnation: w.Incarnation, Revision: w.Revision, Leaving: w.Leaving, Seq: w.Stamp, Units: w.Units,
		TTL: time.Duration(w.Left) * time.Microsecond, GrantHash: w.Hash, Summaries: toSummaries(w.News), StaleDomains: w.Stale, MembersVersion: w.List,
	}
	for _, m := range w.Members {
		r.Members = append(r.Members, state.Member(m))
	}
	return r
}

// wireExchange is the encoding of state.Exchange.
type wireExchange struct {
	Domain      string        `json:"dom"`
	Seat        string        `json:"seat"`
	Incarnation string        `json:"inc"`
	Revision    uint64        `json:"rev"`
	Peer        string        `json:"peer,omitempty"`
	Got         uint64        `json:"got,omitempty"`
	News        []wireSummary `json:"news,omitempty"`
}

func fromExchange(s state.Exchange) wireExchange {
	return wireExchange{
		Domain: s.Domain, Seat: s.Seat, Incarnation: s.Incarnation, Revision: s.Revision,
		Peer: s.PeerIncarnation, Got: s.SeenSeq, News: fromSummaries(s.Summaries),
	}
}

func (w wireExchange) exchange() state.Exchange {
	return state.Exchange{
		Domain: w.Domain, Seat: w.Seat, Incarnation: w.Incarnation, Revision: w.Revision,
		PeerIncarnation: w.Peer, SeenSeq: w.Got, Summaries: toSummaries(w.News),
	}
}

// wireExchangeReply is the encoding of state.ExchangeReply.
type wireExchangeReply struct {
	Incarnation string        `json:"inc"`
	Revision    uint64        `json:"rev"`
	Stamp       uint64        `json:"stamp"`
	News        []wireSummary `json:"news,omitempty"`
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

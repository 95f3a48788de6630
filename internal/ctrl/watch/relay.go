package watch

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// logMost bounds the changes that are kept for followers; one that is further behind gets the whole state.
const logMost = 1000

// Follow is a host that follows this one instead of the store.
type Follow struct {
	After int64
	Reply chan News
}

// News is what changed after a revision, and how old it is.
type News struct {
	Batch roster.Batch
	Age   time.Duration // Since the store was last heard.
}

func (Follow) event() {}

// relay keeps what followers have not heard yet.
type relay struct {
	log      []roster.Change
	revision int64 // Of the store, as last read.
	start    int64 // The log holds all changes after this revision.
}

// record keeps a change for followers; reports that change nothing are left out.
func (s *State) record(c *roster.Change) {
	s.log = append(s.log, *c)
	if len(s.log) > logMost {
		s.start = s.log[0].Revision
		s.log = s.log[1:]
	}
}

// news returns what a follower needs to know.
func (s *State) news(after int64, now time.Time) News {
	n := News{Batch: roster.Batch{Revision: s.revision}, Age: now.Sub(s.heard)}
	if after == 0 || after < s.start {
		n.Batch.Full = true
		n.Batch.Changes = s.whole()
		return n
	}
	for i := range s.log {
		if s.log[i].Revision > after {
			n.Batch.Changes = append(n.Batch.Changes, s.log[i])
		}
	}
	return n
}

// whole returns all that is known as changes, without entries that may yet come back: a follower gives them its
// own grace.
func (s *State) whole() []roster.Change {
	var out []roster.Change
	if s.policy != nil {
		out = append(out, roster.Change{Kind: roster.PolicyKind, Name: "policy", Policy: s.policy})
	}
	for id, u := range s.upstreams {
		if _, lapsed := s.lapsed[roster.UpstreamKind.String()+id]; lapsed {
			continue
		}
		out = append(out, roster.Change{Kind: roster.UpstreamKind, Name: id, Upstream: u})
	}
	for name, h := range s.hosts {
		if _, lapsed := s.lapsed[roster.HostKind.String()+name]; lapsed {
			continue
		}
		out = append(out, roster.Change{Kind: roster.HostKind, Name: name, Host: h})
	}
	for domain := range s.evacuated {
		out = append(out, roster.Change{Kind: roster.EvacuationKind, Name: domain})
	}
	for _, c := range s.crashes {
		out = append(out, roster.Change{Kind: roster.CrashKind, Name: c.Upstream, Crash: c})
	}
	return out
}

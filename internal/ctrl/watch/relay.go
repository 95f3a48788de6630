package watch

import (
	"math"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// maxLoggedChanges bounds the change log; a follower that is further behind gets a snapshot.
const maxLoggedChanges = 1000

// Query is what a host that follows another one asks for.
type Query struct {
	Era   int64         // The era of After; 0 if it isn't known.
	After int64         // Changes after this revision.
	Wait  time.Duration // How long to wait for news.
	// Age is the age of the asking host's state. More recent news are worth an answer even if they contain no changes. 0 asks for
	// changes only, as earlier releases do.
	Age time.Duration
}

// UpdatesRequest is a request from a host that follows this host instead of reading the store.
type UpdatesRequest struct {
	Era   int64
	After int64
	Reply chan Updates
}

// Updates holds the changes after a revision, or a snapshot of the state.
type Updates struct {
	Batch roster.Batch
	Age   time.Duration // Time since the last successful store read, without indirect changes.
}

func (UpdatesRequest) event() {}

// changeLog holds the recent changes for followers.
type changeLog struct {
	changes     []roster.Change
	era         int64 // The store's era, or 0 if it isn't known. The log holds changes of this era only.
	revision    int64 // Latest revision read from the store.
	compactedTo int64 // The log is complete after this revision.
	recorded    int64 // Number of changes and full reads recorded so far.
}

// NoChanges is later than any revision, so that an answer contains no changes.
const NoChanges = math.MaxInt64

// isOlderEra reports whether an era precedes another one; both must be known.
func isOlderEra(era, other int64) bool { return 0 < era && era < other }

// UnknownAge is the age of the state of a host that has not read the store yet, and the greatest one that is reported.
const UnknownAge = 24 * time.Hour

// resetLog empties the log for a full read. The entries of a full read are not logged: they are ordered by name, and those that
// another host passed on carry no revision, so the log could not tell which changes it lacks. Followers that need them get a
// snapshot.
func (l *changeLog) resetLog(b roster.Batch) {
	l.changes, l.era, l.revision, l.compactedTo = nil, max(l.era, b.Era), b.Revision, b.Revision
	for i := range b.Changes {
		l.compactedTo = max(l.compactedTo, b.Changes[i].Revision) // Later pages of a full read may be newer than its revision.
	}
	l.recorded++
}

// recordChange appends a change that modified the state to the log and drops the oldest one when the log is full.
func (s *State) recordChange(c *roster.Change) {
	s.changes = append(s.changes, *c)
	s.recorded++
	if len(s.changes) > maxLoggedChanges {
		s.compactedTo = s.changes[0].Revision
		s.changes = s.changes[1:]
	}
}

// updatesSince returns the changes after a revision, or a snapshot if the log doesn't reach back that far or the revision is of an earlier
// era. A host that knows a later era gets nothing.
func (s *State) updatesSince(era, after int64, now time.Time) Updates {
	updates := Updates{Batch: roster.Batch{Era: s.era, Revision: s.revision, Steady: s.steadyFor(now), Outage: !s.recoveredAt.IsZero()}, Age: min(now.Sub(s.directSync), UnknownAge)}
	if isOlderEra(s.era, era) {
		return updates
	}
	if after == 0 || after < s.compactedTo || isOlderEra(era, s.era) && after != NoChanges {
		updates.Batch.Snapshot = true
		updates.Batch.Changes = s.snapshot()
		return updates
	}
	for i := range s.changes {
		if s.changes[i].Revision > after {
			updates.Batch.Changes = append(updates.Batch.Changes, s.changes[i])
		}
	}
	return updates
}

// steadyFor returns the time for which this host has known of no outage of the store, or 0 if it doesn't know.
func (s *State) steadyFor(now time.Time) time.Duration {
	if s.disconnected || s.steadySince.IsZero() {
		return 0
	}
	return max(1, min(now.Sub(s.steadySince), UnknownAge))
}

// snapshot returns the whole state as changes, with the tombstones of removed upstreams, so that a host that starts doesn't
// use one that a delayed report brings back. Entries in their grace period are left out: the follower sees them as
// removed and applies a grace period of its own.
func (s *State) snapshot() []roster.Change {
	var out []roster.Change
	if s.policy != nil {
		out = append(out, roster.Change{Kind: roster.PolicyKind, Name: "policy", Policy: s.policy})
	}
	for id, u := range s.upstreams {
		if _, inGrace := s.graceUntil[roster.UpstreamKind.String()+id]; inGrace {
			continue
		}
		out = append(out, roster.Change{Kind: roster.UpstreamKind, Name: id, Upstream: u})
	}
	for id, t := range s.tombstones {
		if _, known := s.upstreams[id]; !known {
			u := roster.Upstream{ID: id, Born: t.born, Draining: t.draining}
			out = append(out, roster.Change{Kind: roster.UpstreamKind, Name: id, Removed: true, Upstream: u})
		}
	}
	for name, h := range s.hosts {
		if _, inGrace := s.graceUntil[roster.HostKind.String()+name]; inGrace {
			continue
		}
		out = append(out, roster.Change{Kind: roster.HostKind, Name: name, Host: h})
	}
	for domain := range s.evacuated {
		_, inGrace := s.graceUntil[roster.EvacuationKind.String()+domain]
		out = append(out, roster.Change{Kind: roster.EvacuationKind, Name: domain, Pending: inGrace})
	}
	for id, u := range s.withheld {
		out = append(out, roster.Change{Kind: roster.UpstreamKind, Name: id, Upstream: u, Pending: true})
	}
	for _, c := range s.crashes {
		out = append(out, roster.Change{Kind: roster.CrashKind, Name: c.Upstream, Crash: c})
	}
	return out
}

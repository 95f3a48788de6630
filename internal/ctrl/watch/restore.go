package watch

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// isOtherEra reports whether changes can't be applied to the state: those of an earlier era never, those of a later one only as a full read.
func (s *State) isOtherEra(b *roster.Batch) bool {
	return isOlderEra(b.Era, s.era) || isOlderEra(s.era, b.Era) && !b.Snapshot
}

// noteEra prepares the state for a full read of a later era, or for one of a host that waits for entries to be written again.
func (s *State) noteEra(b *roster.Batch, now time.Time) []StateChange {
	if isOlderEra(s.era, b.Era) {
		change := StateChange{
			Message: "store restored", Name: fmt.Sprintf("era %d at revision %d, then era %d", s.era, s.revision, b.Era), Revision: b.Revision,
		}
		s.restore(b, now)
		s.withhold(b.Changes)
		return []StateChange{change}
	}
	if b.Snapshot && slices.ContainsFunc(b.Changes, func(c roster.Change) bool { return c.Pending }) {
		s.restore(b, now)
	}
	return nil
}

// restore prepares the state for a full read of a store that was restored from an older copy. For restoreGrace, what others wrote since the
// copy may be written again.
func (s *State) restore(b *roster.Batch, now time.Time) {
	s.restoredAt = now.Add(-min(b.Steady, UnknownAge)) // Steady is 0 in what the store itself sends.
	s.recoveredAt, s.steadySince = s.restoredAt, s.restoredAt
	clear(s.withheld)
}

// isRestoring reports whether entries may still be written again after the store was restored.
func (s *State) isRestoring(now time.Time) bool {
	return !s.restoredAt.IsZero() && now.Before(s.restoredAt.Add(restoreGrace))
}

// withhold marks the upstreams of a restored store as pending that are known to have left. The copy may show them as they were before.
func (s *State) withhold(changes []roster.Change) {
	for i := range changes {
		c := &changes[i]
		_, known := s.upstreams[c.Name]
		if c.Kind == roster.UpstreamKind && !c.Removed && c.Err == nil && !known && c.Upstream.Born == s.tombstones[c.Name].born {
			c.Pending = true
		}
	}
}

// releaseWithheld takes the upstreams for live that the restored store still contains when everything has been written again.
func (s *State) releaseWithheld(now time.Time) []StateChange {
	if len(s.withheld) == 0 || s.isRestoring(now) || s.disconnected {
		return nil
	}
	var stateChanges []StateChange
	for id, u := range s.withheld {
		change := s.applyUpstream(&roster.Change{Kind: roster.UpstreamKind, Name: id, Upstream: u}, now)
		change.Name = id
		stateChanges = append(stateChanges, change)
	}
	clear(s.withheld)
	return stateChanges
}

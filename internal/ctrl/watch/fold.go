package watch

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Event is an input of the control loop.
type Event interface{ event() }

// StoreRead carries the result of a successful store read.
type StoreRead struct{ Batch roster.Batch }

// StoreFailed reports a failed store call.
type StoreFailed struct{ Err error }

// ShutdownRequested starts the graceful shutdown of this host.
type ShutdownRequested struct{}

// Tick triggers the removal of expired entries.
type Tick struct{}

func (StoreRead) event()         {}
func (StoreFailed) event()       {}
func (ShutdownRequested) event() {}
func (Tick) event()              {}

// StateChange describes one change of the state, for logs and metrics; Message is the log message and the metric label.
type StateChange struct {
	Message  string
	Name     string
	Revision int64
	Err      error
	Count    int // The number of changes, if they are reported together; Name and Err are then empty.
}

// Apply updates the state with an event and returns the changes to log.
func Apply(s *State, ev Event, now time.Time) []StateChange {
	var stateChanges []StateChange
	switch ev := ev.(type) {
	case StoreRead:
		stateChanges = s.applyBatch(ev.Batch, now)
	case StoreFailed:
		if !s.disconnected {
			s.disconnected = true
			stateChanges = append(stateChanges, StateChange{Message: "store lost", Err: ev.Err})
		}
	case ShutdownRequested:
		s.leaving = true
	case LoanRequest:
		ev.Reply <- s.answerLoanRequest(ev.Request, now)
	case UpdatesRequest:
		ev.Reply <- s.updatesSince(ev.Era, ev.After, now)
	case QuotaRequest:
		ev.Reply <- s.drawQuota(&ev.Request, now)
	case QuotaSettingsChanged:
		s.changeQuotaSettings(ev, now)
	case Tick:
		stateChanges = s.checkQuota(now)
	case LoansReceived:
		s.active, s.activeAt = ev.Loans, now
	}
	return summarize(append(stateChanges, s.expire(now)...))
}

// maxListedChanges is the number of changes of one kind that one event reports by name; more are reported as a count,
// because a host that starts learns of the whole fleet at once.
const maxListedChanges = 16

// summarized marks a kind of change whose count has been reported.
const summarized = -1

// summarize replaces the changes of each kind of which there are more than maxListedChanges with their count.
func summarize(changes []StateChange) []StateChange {
	if len(changes) <= maxListedChanges {
		return changes
	}
	counts := map[string]int{}
	for i := range changes {
		counts[changes[i].Message]++
	}
	out := changes[:0]
	for _, c := range changes {
		switch n := counts[c.Message]; {
		case n == summarized:
		case n <= maxListedChanges:
			out = append(out, c)
		default:
			out = append(out, StateChange{Message: c.Message, Count: n, Revision: c.Revision})
			counts[c.Message] = summarized
		}
	}
	return out
}

// applyBatch applies the changes of a store read. It records those that modified the state for followers: hosts that
// request changes from this one instead of reading the store.
func (s *State) applyBatch(b roster.Batch, now time.Time) []StateChange {
	if s.isOtherEra(&b) {
		return []StateChange{{Message: "changes of another era dropped", Name: fmt.Sprintf("era %d in era %d", b.Era, s.era), Revision: b.Revision}}
	}
	stateChanges := s.noteEra(&b, now)
	s.noteSteady(&b, now)
	if s.disconnected {
		stateChanges = append(stateChanges, StateChange{Message: "store regained", Revision: b.Revision})
	}
	s.disconnected = false
	at := now.Add(-b.Age) // May be earlier than that of news from another source.
	s.lastSync = later(s.lastSync, at)
	if !b.Indirect {
		s.directSync = later(s.directSync, at)
	}
	if b.Snapshot {
		s.resetLog(b)
		b.Changes = append(b.Changes, s.removals(b)...)
	} else {
		s.era, s.revision = max(s.era, b.Era), max(s.revision, b.Revision)
	}
	for i := range b.Changes {
		change := s.applyChange(&b.Changes[i], now)
		// What this host knows already may be new to a follower that has read the copy.
		if !b.Snapshot && (change.Message != "" || s.isRestoring(now)) {
			s.recordChange(&b.Changes[i])
		}
		if change.Message != "" {
			change.Name, change.Revision, change.Err = b.Changes[i].Name, b.Changes[i].Revision, b.Changes[i].Err
			stateChanges = append(stateChanges, change)
		}
	}
	return stateChanges
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// steadyMargin is how much later than known an outage must have ended to count as another one. What a host passes on seems to have ended
// later by the time that it took to arrive.
const steadyMargin = 500 * time.Millisecond

// noteSteady records the end of an outage of the store. That is known from a call to the store that failed, here or at the host that passes
// the changes on. If that host has read the store in the meantime, the store has turned away this one alone.
func (s *State) noteSteady(b *roster.Batch, now time.Time) {
	since := now
	if b.Steady > 0 {
		since = now.Add(-b.Steady)
	}
	isLater := since.After(s.steadySince.Add(steadyMargin))
	switch {
	case s.lastSync.IsZero():
		s.steadySince = since
		if b.Outage {
			s.recoveredAt = since
		}
	case isLater && (s.disconnected || b.Outage):
		s.steadySince, s.recoveredAt = since, since
	}
}

// removals returns a removal for each known entry that a full read of the store no longer contains.
func (s *State) removals(b roster.Batch) []roster.Change {
	present := map[string]bool{}
	for i := range b.Changes {
		present[b.Changes[i].Kind.String()+b.Changes[i].Name] = true
	}
	var out []roster.Change
	addIfMissing := func(k roster.Kind, name string) {
		if !present[k.String()+name] {
			out = append(out, roster.Change{Kind: k, Name: name, Removed: true, Revision: b.Revision})
		}
	}
	for name := range s.upstreams {
		addIfMissing(roster.UpstreamKind, name)
	}
	for name := range s.hosts {
		addIfMissing(roster.HostKind, name)
	}
	for name := range s.evacuated {
		addIfMissing(roster.EvacuationKind, name)
	}
	return out
}

func (s *State) applyChange(c *roster.Change, now time.Time) StateChange {
	switch c.Kind {
	case roster.PolicyKind:
		return s.applyPolicy(c)
	case roster.UpstreamKind:
		return s.applyUpstream(c, now)
	case roster.HostKind:
		return s.applyHost(c, now)
	case roster.EvacuationKind:
		return s.applyEvacuation(c, now)
	case roster.CrashKind:
		return s.applyCrash(c)
	}
	return StateChange{}
}

// applyPolicy adopts a policy only if its version is newer than the active one, so that versions never go back.
func (s *State) applyPolicy(c *roster.Change) StateChange {
	switch {
	case c.Err != nil:
		return StateChange{Message: "policy unreadable"}
	case c.Removed || s.policy != nil && c.Policy.Version <= s.policy.Version:
		return StateChange{}
	}
	s.policy, s.cached = c.Policy, nil
	return StateChange{Message: "policy in force"}
}

// applyCrash records a crash report for the lifetime of the process, up to the newest maxCrashes.
func (s *State) applyCrash(c *roster.Change) StateChange {
	if c.Removed || c.Err != nil || slices.Contains(s.crashes, c.Crash) {
		return StateChange{}
	}
	if len(s.crashes) >= maxCrashes {
		s.crashes = slices.Clone(s.crashes[1:])
	}
	s.crashes = append(s.crashes, c.Crash)
	return StateChange{Message: "crash reported"}
}

func (s *State) applyEvacuation(c *roster.Change, now time.Time) StateChange {
	key := c.Kind.String() + c.Name
	switch {
	case !c.Removed:
		delete(s.graceUntil, key)
		if c.Pending && s.isRestoring(now) {
			s.graceUntil[key] = s.restoredAt.Add(restoreGrace)
		}
		if s.evacuated[c.Name] {
			return StateChange{}
		}
		s.evacuated[c.Name], s.cached = true, nil
		return StateChange{Message: "evacuation began"}
	case s.evacuated[c.Name] && s.isRestoring(now): // It may be written again.
		if _, ok := s.graceUntil[key]; !ok {
			s.graceUntil[key] = s.restoredAt.Add(restoreGrace)
		}
	case s.evacuated[c.Name]:
		delete(s.evacuated, c.Name)
		s.evacuationEndedAt[c.Name], s.cached = now, nil
		return StateChange{Message: "evacuation ended"}
	}
	return StateChange{}
}

func (s *State) applyHost(c *roster.Change, now time.Time) StateChange {
	if c.Err != nil {
		return StateChange{Message: "host entry unreadable"}
	}
	if c.Removed {
		return s.removeOrDefer(c, now)
	}
	_, inGrace := s.graceUntil[c.Kind.String()+c.Name]
	delete(s.graceUntil, c.Kind.String()+c.Name)
	old, known := s.hosts[c.Name]
	s.hosts[c.Name] = c.Host
	s.staleHosts = s.staleHosts || !known || old != c.Host
	if !known || inGrace || old.Incarnation != c.Host.Incarnation {
		return StateChange{Message: "host joined"}
	}
	return StateChange{}
}

// removeOrDefer removes an entry at once, or after restoreGrace if its lease may have expired only because the store
// was unavailable.
func (s *State) removeOrDefer(c *roster.Change, now time.Time) StateChange {
	until := s.recoveredAt.Add(restoreGrace)
	if s.recoveredAt.IsZero() || !now.Before(until) {
		return s.deleteEntry(c.Kind, c.Name, now)
	}
	if _, ok := s.graceUntil[c.Kind.String()+c.Name]; ok {
		return StateChange{}
	}
	s.graceUntil[c.Kind.String()+c.Name] = until
	return StateChange{Message: c.Kind.String() + " lapsed"}
}

// deleteEntry removes an upstream or host; an upstream leaves a tombstone.
func (s *State) deleteEntry(k roster.Kind, name string, now time.Time) StateChange {
	delete(s.graceUntil, k.String()+name)
	if u, ok := s.upstreams[name]; ok && k == roster.UpstreamKind {
		delete(s.upstreams, name)
		s.staleServices[u.Service] = true
		s.tombstones[name] = tombstone{born: u.Born, draining: u.Draining, recordedAt: now}
		return StateChange{Message: "upstream gone"}
	}
	if k == roster.EvacuationKind && s.evacuated[name] {
		delete(s.evacuated, name)
		s.evacuationEndedAt[name], s.cached = now, nil
		return StateChange{Message: "evacuation ended"}
	}
	if _, ok := s.hosts[name]; ok && k == roster.HostKind {
		delete(s.hosts, name)
		s.staleHosts = true
		return StateChange{Message: "host gone"}
	}
	return StateChange{}
}

// expire removes entries whose grace period has ended, and tombstones older than tombstoneTTL. Grace periods don't end
// while the store is unavailable.
func (s *State) expire(now time.Time) []StateChange {
	var stateChanges []StateChange
	for key, until := range s.graceUntil {
		if now.Before(until) || s.disconnected {
			continue
		}
		delete(s.graceUntil, key)
		for _, k := range []roster.Kind{roster.UpstreamKind, roster.HostKind, roster.EvacuationKind} {
			if name, ok := cutKindPrefix(key, k); ok {
				change := s.deleteEntry(k, name, now)
				change.Name = name
				stateChanges = append(stateChanges, change)
			}
		}
	}
	stateChanges = append(stateChanges, s.releaseWithheld(now)...)
	for name, t := range s.tombstones {
		if now.Sub(t.recordedAt) > tombstoneTTL {
			delete(s.tombstones, name)
		}
	}
	return stateChanges
}

// cutKindPrefix returns the name in a key made of kind and name, and whether the key is of that kind.
func cutKindPrefix(key string, k roster.Kind) (string, bool) {
	prefix := k.String()
	if len(key) < len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

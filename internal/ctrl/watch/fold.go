package watch

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Event is something that control learns.
type Event interface{ event() }

// Read is an answer of the store.
type Read struct{ Batch roster.Batch }

// Lost is a call to the store that failed.
type Lost struct{ Err error }

// Leave is the start of a planned stop.
type Leave struct{}

// Tick is the passing of time.
type Tick struct{}

func (Read) event()  {}
func (Lost) event()  {}
func (Leave) event() {}
func (Tick) event()  {}

// Note is something that changed what this host believes, for the log.
type Note struct {
	What     string
	Name     string
	Revision int64
	Err      error
}

// Fold takes an event into the state and returns what changed.
func Fold(s *State, ev Event, now time.Time) []Note {
	var notes []Note
	switch ev := ev.(type) {
	case Read:
		notes = s.read(ev.Batch, now)
	case Lost:
		if !s.lost {
			s.lost = true
			notes = append(notes, Note{What: "store lost", Err: ev.Err})
		}
	case Leave:
		s.leaving = true
	case Asked:
		ev.Reply <- s.answer(ev.Ask, now)
	case Follow:
		ev.Reply <- s.news(ev.After, now)
	case Lent:
		s.loans, s.told = ev.Loans, now
	}
	return append(notes, s.expire(now)...)
}

func (s *State) read(b roster.Batch, now time.Time) []Note {
	var notes []Note
	if s.lost || now.Sub(s.heard) > awayAfter && !s.heard.IsZero() {
		s.back = now
		notes = append(notes, Note{What: "store regained", Revision: b.Revision})
	}
	s.lost, s.heard = false, now.Add(-b.Age)
	s.revision = max(s.revision, b.Revision)
	if b.Full {
		s.log, s.start = nil, b.Revision
		b.Changes = append(b.Changes, s.missing(b)...)
	}
	for i := range b.Changes {
		if n := s.change(&b.Changes[i], now); n.What != "" {
			s.record(&b.Changes[i])
			n.Name, n.Revision, n.Err = b.Changes[i].Name, b.Changes[i].Revision, b.Changes[i].Err
			notes = append(notes, n)
		}
	}
	return notes
}

// missing lists what this host knows and a whole reading of the store does not hold.
func (s *State) missing(b roster.Batch) []roster.Change {
	found := map[string]bool{}
	for i := range b.Changes {
		found[b.Changes[i].Kind.String()+b.Changes[i].Name] = true
	}
	var out []roster.Change
	gone := func(k roster.Kind, name string) {
		if !found[k.String()+name] {
			out = append(out, roster.Change{Kind: k, Name: name, Removed: true, Revision: b.Revision})
		}
	}
	for name := range s.upstreams {
		gone(roster.UpstreamKind, name)
	}
	for name := range s.hosts {
		gone(roster.HostKind, name)
	}
	for name := range s.evacuated {
		gone(roster.EvacuationKind, name)
	}
	return out
}

func (s *State) change(c *roster.Change, now time.Time) Note {
	switch c.Kind {
	case roster.PolicyKind:
		return s.adopt(c)
	case roster.UpstreamKind:
		return s.upstream(c, now)
	case roster.HostKind:
		return s.host(c, now)
	case roster.EvacuationKind:
		return s.evacuate(c, now)
	case roster.CrashKind:
		return s.crash(c)
	}
	return Note{}
}

// adopt takes a policy that is newer than the one in force; versions never go back.
func (s *State) adopt(c *roster.Change) Note {
	switch {
	case c.Err != nil:
		return Note{What: "policy unreadable"}
	case c.Removed || s.policy != nil && c.Policy.Version <= s.policy.Version:
		return Note{}
	}
	s.policy = c.Policy
	return Note{What: "policy in force"}
}

// crash remembers a crash for as long as the process lives, the newest ones at least.
func (s *State) crash(c *roster.Change) Note {
	if c.Removed || c.Err != nil || slices.Contains(s.crashes, c.Crash) {
		return Note{}
	}
	if len(s.crashes) >= crashesMost {
		s.crashes = slices.Clone(s.crashes[1:])
	}
	s.crashes = append(s.crashes, c.Crash)
	return Note{What: "crash reported"}
}

func (s *State) evacuate(c *roster.Change, now time.Time) Note {
	switch {
	case !c.Removed && !s.evacuated[c.Name]:
		s.evacuated[c.Name] = true
		return Note{What: "evacuation began"}
	case c.Removed && s.evacuated[c.Name]:
		delete(s.evacuated, c.Name)
		s.returned[c.Name] = now
		return Note{What: "evacuation ended"}
	}
	return Note{}
}

func (s *State) host(c *roster.Change, now time.Time) Note {
	if c.Err != nil {
		return Note{What: "host entry unreadable"}
	}
	if c.Removed {
		return s.remove(c, now)
	}
	_, lapsed := s.lapsed[c.Kind.String()+c.Name]
	delete(s.lapsed, c.Kind.String()+c.Name)
	old, known := s.hosts[c.Name]
	s.hosts[c.Name] = c.Host
	if !known || lapsed || old.Incarnation != c.Host.Incarnation {
		return Note{What: "host joined"}
	}
	return Note{}
}

// upstream takes a report unless an older incarnation or an older report of the same one was written late.
func (s *State) upstream(c *roster.Change, now time.Time) Note {
	old, known := s.upstreams[c.Name]
	if c.Err != nil {
		delete(s.upstreams, c.Name)
		return Note{What: "upstream entry unreadable"}
	}
	if c.Removed {
		return s.remove(c, now)
	}
	c.Upstream.Reported = now // Followers are told the rest of its cold time from here.
	u := c.Upstream
	if known && older(&u, &old) || u.Born < s.tombstones[u.ID].born {
		return Note{}
	}
	s.markLeaving(&u, now)
	_, lapsed := s.lapsed[c.Kind.String()+c.Name]
	delete(s.lapsed, c.Kind.String()+c.Name)
	s.upstreams[c.Name] = u
	switch {
	case lapsed && !u.Draining:
		return Note{What: "upstream back"}
	case u.Draining && !old.Draining:
		return Note{What: "upstream draining"}
	case !known || u.Born != old.Born:
		return Note{What: "upstream joined"}
	case u.Cold > 0 && old.Cold == 0:
		return Note{What: "upstream cold"}
	}
	return Note{}
}

// older tells whether a report was made before another one of the same upstream.
func older(u, than *roster.Upstream) bool {
	return u.Born < than.Born || u.Born == than.Born && u.Seq < than.Seq
}

// markLeaving remembers an incarnation that leaves; a report of it that is written late does not bring it back.
func (s *State) markLeaving(u *roster.Upstream, now time.Time) {
	if g := s.tombstones[u.ID]; g.left && u.Born == g.born {
		u.Draining = true
	}
	if u.Draining {
		s.tombstones[u.ID] = tombstone{born: u.Born, left: true, at: now}
	}
}

// remove drops a removed entry at once, or after a grace if it may have lapsed while the store was away.
func (s *State) remove(c *roster.Change, now time.Time) Note {
	until := s.back.Add(lapseGrace)
	if s.back.IsZero() || !now.Before(until) {
		return s.drop(c.Kind, c.Name, now)
	}
	if _, ok := s.lapsed[c.Kind.String()+c.Name]; ok {
		return Note{}
	}
	s.lapsed[c.Kind.String()+c.Name] = until
	return Note{What: c.Kind.String() + " lapsed"}
}

func (s *State) drop(k roster.Kind, name string, now time.Time) Note {
	delete(s.lapsed, k.String()+name)
	if u, ok := s.upstreams[name]; ok && k == roster.UpstreamKind {
		delete(s.upstreams, name)
		s.tombstones[name] = tombstone{born: u.Born, left: u.Draining, at: now}
		return Note{What: "upstream gone"}
	}
	if _, ok := s.hosts[name]; ok && k == roster.HostKind {
		delete(s.hosts, name)
		return Note{What: "host gone"}
	}
	return Note{}
}

// expire drops entries whose grace has passed, and forgets what is old.
func (s *State) expire(now time.Time) []Note {
	var notes []Note
	for key, until := range s.lapsed {
		if now.Before(until) || s.lost {
			continue
		}
		delete(s.lapsed, key)
		for _, k := range []roster.Kind{roster.UpstreamKind, roster.HostKind} {
			if name, ok := cut(key, k); ok {
				n := s.drop(k, name, now)
				n.Name = name
				notes = append(notes, n)
			}
		}
	}
	for name, g := range s.tombstones {
		if now.Sub(g.at) > tombstoneLife {
			delete(s.tombstones, name)
		}
	}
	return notes
}

func cut(key string, k roster.Kind) (string, bool) {
	prefix := k.String()
	if len(key) < len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

package watch

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// applyUpstream stores an upstream's report. A delayed write from an older incarnation, or with a lower sequence
// number, is ignored.
func (s *State) applyUpstream(c *roster.Change, now time.Time) StateChange {
	delete(s.withheld, c.Name)
	if c.Pending && s.isRestoring(now) {
		s.withheld[c.Name] = c.Upstream
		return StateChange{}
	}
	old, known := s.upstreams[c.Name]
	if c.Err != nil {
		delete(s.upstreams, c.Name)
		s.staleServices[old.Service] = true
		return StateChange{Message: "upstream entry unreadable"}
	}
	if c.Removed {
		s.inheritTombstone(c, now)
		return s.removeOrDefer(c, now)
	}
	c.Upstream.Reported = now // Base for the remaining cold time that is sent to followers.
	u := c.Upstream
	if known && isOlder(&u, &old) || u.Born < s.tombstones[u.ID].born {
		return StateChange{}
	}
	s.trackDraining(&u, now)
	if !sameTarget(&u, &old) {
		s.staleServices[old.Service], s.staleServices[u.Service] = true, true
	}
	_, inGrace := s.graceUntil[c.Kind.String()+c.Name]
	delete(s.graceUntil, c.Kind.String()+c.Name)
	s.upstreams[c.Name] = u
	message := describeReport(&u, &old, known, inGrace)
	if message == messageCold {
		s.staleServices[u.Service] = true
	}
	return StateChange{Message: message}
}

// messageCold reports an upstream that has become cold, or cold again.
const messageCold = "upstream cold"

// describeReport returns the message for a report of an upstream whose last one, if known, is old; it returns "" if nothing
// worth a log line has changed.
func describeReport(u, old *roster.Upstream, known, inGrace bool) string {
	switch {
	case inGrace && !u.Draining:
		return "upstream back"
	case u.Draining && !old.Draining:
		return "upstream draining"
	case !known || u.Born != old.Born:
		return "upstream joined"
	case u.Cold > 0 && u.ColdUntil().Sub(old.ColdUntil()) > coldAgainMargin:
		return messageCold
	}
	return ""
}

// inheritTombstone records the tombstone that another host passed on with the removal of an upstream.
func (s *State) inheritTombstone(c *roster.Change, now time.Time) {
	if _, known := s.upstreams[c.Name]; known || c.Upstream.Born == 0 || s.tombstones[c.Name].born >= c.Upstream.Born {
		return
	}
	s.tombstones[c.Name] = tombstone{born: c.Upstream.Born, draining: c.Upstream.Draining, recordedAt: now}
}

// sameTarget reports whether two reports of an upstream place jobs alike.
func sameTarget(a, b *roster.Upstream) bool {
	return a.Born == b.Born && a.Draining == b.Draining && a.Slots == b.Slots && a.Address == b.Address && a.Service == b.Service && a.Domain == b.Domain && (a.Cold > 0) == (b.Cold > 0)
}

// coldAgainMargin is how much longer than before an upstream must report to stay cold to count as cold again. Reports
// of one cold period differ by the delay of their delivery.
const coldAgainMargin = 300 * time.Millisecond

// isOlder reports whether report u was sent before other; both are of the same upstream.
func isOlder(u, other *roster.Upstream) bool {
	return u.Born < other.Born || u.Born == other.Born && u.Seq < other.Seq
}

// trackDraining records a tombstone for a draining incarnation, and marks a delayed report of that incarnation as
// draining, so that it does not become usable again.
func (s *State) trackDraining(u *roster.Upstream, now time.Time) {
	if t := s.tombstones[u.ID]; t.draining && u.Born == t.born {
		u.Draining = true
	}
	if u.Draining {
		s.tombstones[u.ID] = tombstone{born: u.Born, draining: true, recordedAt: now}
	}
}

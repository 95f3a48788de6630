package place

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// duration returns how long a job is expected to take at an upstream, without a wait for a slot.
func (t *Table) duration(l *load, ask *Ask) time.Duration {
	return t.trips.expect(&ask.Host, l.upstream) + time.Duration(t.run(l, ask))
}

// run returns the expected work of a job at an upstream, in nanoseconds.
func (t *Table) run(l *load, ask *Ask) float64 {
	w := t.work(l.upstream.Service)
	return l.ratio * float64(w.expect(w.remembers(l.memory, ask.key())))
}

// cost returns the time by which upstreams are compared: round trip, work, wait for a slot, and what speaks against
// an upstream besides.
func (t *Table) cost(l *load, ask *Ask) time.Duration {
	d := t.trips.expect(&ask.Host, l.upstream)
	if tier := tierOf(&ask.Host, l.upstream); tier == Far && t.view.User(l.upstream) == t.view.Self.Region {
		d /= 2 // Borrowed upstreams are used nearly as much as others: the part of jobs that leave the region changes slowly.
	} else {
		d += crossing[tier]
	}
	d += time.Duration((1 + failPenalty*l.failing) * t.run(l, ask))
	return d + time.Duration(l.queueing()*l.ratio*float64(t.work(l.upstream.Service).mean()))
}

// failPenalty is how many times its work an upstream that fails always seems to cost besides.
const failPenalty = 4

// candidates lists the upstreams that a job may be sent to, also those without a free slot.
func (t *Table) candidates(now time.Time, ask *Ask) []Candidate {
	ups := t.view.Upstreams[ask.Service]
	out := make([]Candidate, 0, len(ups))
	key, home := ask.key(), -1
	guest := t.guest(now, ask, ups)
	for _, u := range ups {
		l := t.loads[u.ID]
		if l == nil || l.down(now) || !ask.allows(u.Region) || slices.Contains(ask.Tried, u.ID) {
			continue
		}
		if l.share = t.share(l, ask, guest); l.share == 0 {
			continue
		}
		c := Candidate{Upstream: u, Free: l.share - l.running}
		if l.cold(now) {
			if ask.Isolated || !t.mayWarm(now, l) {
				continue
			}
			c.Warming = now.Sub(l.warmed) > warmGap && ask.Rank > 0
		}
		if float64(ask.Deadline.Sub(now)) < startLeast*float64(t.duration(l, ask)) {
			continue // It would be cut off in the middle of its work.
		}
		c.Cost = t.cost(l, ask)
		if ask.Object != "" {
			c.Score = rendez.Score(key, l.site)
			if home < 0 || c.Score > out[home].Score {
				home = len(out)
			}
		}
		out = append(out, c)
	}
	if home >= 0 {
		l := t.loads[out[home].Upstream.ID]
		out[home].Cost -= time.Duration(l.ratio * float64(t.work(ask.Service).guess(l.memory, key)))
	}
	return out
}

// startLeast is the part of the time that a job is expected to take below which it is not begun: expectations are
// means, and a job that has waited for most of its time only keeps others from theirs.
const startLeast = 0.6

// guestShare is how many jobs a host may have at an upstream that it does not place for.
const guestShare = 1

// share returns how many jobs may be at an upstream: as many as it has slots if this region uses it.
func (t *Table) share(l *load, ask *Ask, guest bool) int {
	ours := t.view.User(l.upstream) == t.view.Self.Region
	switch {
	case ours && !ask.Isolated:
		return l.upstream.Slots
	case ours || guest:
		return guestShare
	}
	return 0
}

// guest tells whether this region can use none of its upstreams, so that its jobs go to others as guests.
func (t *Table) guest(now time.Time, ask *Ask, ups []*roster.Upstream) bool {
	for _, u := range ups {
		l := t.loads[u.ID]
		if l != nil && t.view.User(u) == t.view.Self.Region && !l.down(now) && !l.cold(now) && ask.allows(u.Region) {
			return false
		}
	}
	return true
}

// mayWarm tells whether the rate of a cold upstream has room. Only the region that uses it asks: its rate is too
// small to be split.
func (t *Table) mayWarm(now time.Time, l *load) bool {
	if t.view.User(l.upstream) != t.view.Self.Region {
		return false
	}
	l.fill(now, t.view.Policy.Services[l.upstream.Service].ColdRate)
	return l.tokens >= 1
}

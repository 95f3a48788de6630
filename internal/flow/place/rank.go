package place

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// path is what a job spends between its host and the upstreams of one failure domain.
type path struct {
	trip   time.Duration
	detour time.Duration // What speaks against bytes that leave the failure domain.
	tier   Tier
}

// paths returns the paths from a host to the failure domains, in the order of the table's list.
func (t *Table) paths(from *roster.Host) []path {
	out := make([]path, len(t.domains))
	for i, u := range t.domains {
		tier := tierOf(from, u)
		out[i] = path{trip: t.trips.expect(from, u), detour: crossing[tier], tier: tier}
	}
	return out
}

// duration returns how long a job is expected to take at an upstream, without a wait for a slot.
func (t *Table) duration(l *load, ask *Ask) time.Duration {
	w := t.work(l.upstream.Service)
	return t.trips.expect(&ask.Host, l.upstream) + l.run(w.expect(w.remembers(l.memory, ask.key())))
}

// run returns the time that this upstream takes for work of a given length.
func (l *load) run(work time.Duration) time.Duration { return time.Duration(l.ratio * float64(work)) }

// cost returns the time by which upstreams are compared: round trip, work, wait for a slot, and what speaks against
// an upstream besides.
func (l *load) cost(w *path, run, mean time.Duration) time.Duration {
	d := w.trip + w.detour
	if w.tier == Far && l.ours {
		d = w.trip / 2 // Borrowed upstreams are used nearly as much as others: the part of jobs that leave the region changes slowly.
	}
	return d + time.Duration((1+failPenalty*l.failing)*float64(run)+l.queueing()*l.ratio*float64(mean))
}

// failPenalty is how many times its work an upstream that fails always seems to cost besides.
const failPenalty = 4

// candidates lists the upstreams that a job may be sent to, also those without a free slot. The list is good until the
// next one is asked for.
func (t *Table) candidates(now time.Time, ask *Ask) []Candidate {
	list := t.lists[ask.Service]
	out := t.scratch[:0]
	key, owner := ask.key(), -1
	guest := t.guest(now, ask, list)
	paths := t.paths(&ask.Host)
	w := t.work(ask.Service)
	known, fresh, mean := w.expect(true), w.expect(false), w.mean()
	left := ask.Deadline.Sub(now)
	for _, l := range list {
		if l.share = l.allow(ask, guest); !t.takes(now, l, ask) {
			continue
		}
		c := Candidate{Upstream: l.upstream, Free: l.share - l.running, load: l}
		c.Warming = l.cold(now) && now.Sub(l.warmed) > warmGap && ask.Rank > 0
		run := l.run(fresh)
		if w.remembers(l.memory, key) {
			run = l.run(known)
		}
		to := &paths[l.domain]
		if float64(left) < startLeast*float64(to.trip+run) {
			continue // It would be cut off in the middle of its work.
		}
		c.Cost = l.cost(to, run, mean)
		if key != 0 {
			c.Score = rendez.Even(key, l.hash)
			if owner < 0 || c.Score > out[owner].Score {
				owner = len(out)
			}
		}
		out = append(out, c)
	}
	if owner >= 0 {
		l := out[owner].load
		out[owner].Cost -= l.run(w.guess(l.memory, key))
	}
	t.scratch = out
	here, away := t.limiter(ask.Service).bounds(now, t.shift)
	return within(out, paths, here, away)
}

// takes tells whether a job may be sent to an upstream once it has a free slot.
func (t *Table) takes(now time.Time, l *load, ask *Ask) bool {
	if l.share == 0 || l.down(now) || !ask.allows(l.upstream.Region) || slices.Contains(ask.Tried, l.upstream.ID) {
		return false
	}
	return !l.cold(now) || !ask.Isolated && t.mayWarm(now, l)
}

// startLeast is the part of the time that a job is expected to take below which it is not begun: expectations are
// means, and a job that has waited for most of its time only keeps others from theirs.
const startLeast = 0.6

// guestShare is how many jobs a host may have at an upstream that it does not place for.
const guestShare = 1

// allow returns how many jobs may be at an upstream: as many as it has slots if this region uses it.
func (l *load) allow(ask *Ask, guest bool) int {
	switch {
	case l.ours && !ask.Isolated:
		return l.upstream.Slots
	case l.ours || guest:
		return guestShare
	}
	return 0
}

// guest tells whether this region can use none of its upstreams, so that its jobs go to others as guests.
func (t *Table) guest(now time.Time, ask *Ask, list []*load) bool {
	for _, l := range list {
		if l.ours && !l.down(now) && !l.cold(now) && ask.allows(l.upstream.Region) {
			return false
		}
	}
	return true
}

// mayWarm tells whether the rate of a cold upstream has room. Only the region that uses it asks: its rate is too
// small to be split.
func (t *Table) mayWarm(now time.Time, l *load) bool {
	if !l.ours {
		return false
	}
	l.fill(now, t.view.Policy.Services[l.upstream.Service].ColdRate)
	return l.tokens >= 1
}

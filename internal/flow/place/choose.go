package place

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Tier is how far an upstream is from a host.
type Tier int

// Tiers, the nearest first.
const (
	// Near upstreams are in the host's failure domain.
	Near Tier = iota
	// Region upstreams are in the host's region.
	Region
	// Far upstreams are in another region.
	Far
)

// Candidate is an upstream as a choice for one job.
type Candidate struct {
	Upstream *roster.Upstream
	Tier     Tier
	Free     float64 // Slots that no job is known or thought to use.
	Cold     bool    // Its cold rate has room for one more request of this host.
	Slow     bool    // It answers much slower than the others of its service.
	Score    float64 // Rendezvous rank for the job's object; the highest keeps it warm.
}

// Choose returns the index of the best candidate with more than least free slots, or -1. A cold upstream whose
// rate has room goes first, so that new capacity warms up; a slow one goes last.
func Choose(list []Candidate, least float64) int {
	best := -1
	for i := range list {
		if list[i].Free <= least {
			continue
		}
		if best < 0 || better(&list[i], &list[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Candidate) bool {
	switch {
	case a.Slow != b.Slow:
		return b.Slow
	case a.Tier != b.Tier:
		return a.Tier < b.Tier
	case a.Cold != b.Cold:
		return a.Cold
	case a.Score != b.Score:
		return a.Score > b.Score
	}
	return a.Free > b.Free
}

// tierOf returns how far an upstream is from a host.
func tierOf(self *roster.Host, u *roster.Upstream) Tier {
	switch {
	case u.Domain == self.Domain:
		return Near
	case u.Region == self.Region:
		return Region
	}
	return Far
}

// owner returns the host that alone sends to a cold upstream: its rate is too small to be split.
func owner(hosts []roster.Host, u *roster.Upstream) string {
	best, top, found := "", 0.0, false
	key := rendez.Hash(u.ID)
	for _, t := range []Tier{Near, Region, Far} {
		for i := range hosts {
			h := &hosts[i]
			if tierOf(h, u) != t {
				continue
			}
			if s := rendez.Score(key, rendez.NewSite(h.Name, 1)); !found || s > top {
				best, top, found = h.Name, s, true
			}
		}
		if found {
			return best
		}
	}
	return best
}

// Ask is what a choice needs to know of a job.
type Ask struct {
	Service string
	Rank    int
	Object  string
	Allows  func(region string) bool
	Tried   []string
	Until   time.Time // How long the job may wait for a slot.
}

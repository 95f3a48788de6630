package place

import (
	"slices"
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
	Cost     time.Duration // Expected time until the answer, waiting included.
	Free     int           // Slots that no job uses.
	Warming  bool          // It is cold, and due for a request that warms it up.
	Score    uint64        // Rendezvous rank for the job's object; the highest keeps it warm.

	load *load
}

// costStep is the difference in expected time that makes one upstream better than another. Within it the object
// decides, so that all hosts send an object to the same few upstreams.
const costStep = 8 * time.Millisecond

// Choose returns the index of the best candidate, or -1. A job waits for it if it has no free slot: that is
// expected to take less time than running the job elsewhere, where its object is not in memory.
func Choose(list []Candidate) int {
	best := -1
	for i := range list {
		if best < 0 || better(&list[i], &list[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Candidate) bool {
	if a.Warming != b.Warming {
		return a.Warming
	}
	if x, y := a.Cost/costStep, b.Cost/costStep; x != y {
		return x < y
	}
	if a.Score != b.Score {
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

// Ask is what a choice needs to know of a job.
type Ask struct {
	Host      roster.Host // The host that asks.
	Service   string
	Rank      int
	Object    string
	Homes     []string // The only regions that may serve it; none means all.
	Tried     []string
	Objective time.Time         // An answer is worth most until then.
	Deadline  time.Time         // An answer is worth nothing after it.
	Isolated  bool              // The host that places for this one can't be reached.
	Trace     map[string]string // The span that the job is in.

	hash uint64
}

// key returns the hash of the job's object, 0 for none.
func (a *Ask) key() uint64 {
	if a.Object != "" && a.hash == 0 {
		a.hash = rendez.Hash(a.Object)
	}
	return a.hash
}

func (a *Ask) allows(region string) bool {
	return len(a.Homes) == 0 || slices.Contains(a.Homes, region)
}

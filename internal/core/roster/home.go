package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
)

// Pool is a pool of a service's upstreams, as far as hosts of other pools need to know it.
type Pool struct {
	Name   string
	Region string
	Slots  int    // Of its upstreams, lent ones included.
	Hosts  []Host // In the order in which they place the pool's jobs.
}

// Pools returns all pools of a service that have upstreams, sorted by name.
func (v *View) Pools(service string) []Pool {
	var pools []Pool
	for _, u := range v.Upstreams[service] {
		name := v.PoolOf(u)
		at, known := slices.BinarySearchFunc(pools, name, func(p Pool, name string) int { return strings.Compare(p.Name, name) })
		if !known {
			pools = slices.Insert(pools, at, Pool{Name: name, Region: u.Region, Hosts: v.poolOrder(service, name)})
		}
		pools[at].Slots += u.Slots
	}
	return pools
}

// nearStep is the smallest difference of round trips that makes one region nearer than another. It is larger than what
// measurements of one path differ by.
const nearStep = 10 * time.Millisecond

// Nearness orders regions for the jobs of some callers.
type Nearness struct {
	Key        string                   // Orders regions that are as near; the same for jobs that should run in the same region.
	Spread     string                   // Chooses among the pools of one region; differs between jobs that should run on different upstreams.
	RoundTrips map[string]time.Duration // Measured round trips, by region.
}

// regionPools is a region with the pool that was chosen in it.
type regionPools struct {
	slots int
	best  Pool
	score float64 // Of the chosen pool, and later of the region.
	steps time.Duration
}

// NearestPools returns one pool in each of the given regions, the nearest region first. While the round trip to some of the
// regions is unknown, and between regions that are as near, rendezvous hashing by the regions' slots decides, so that all hosts
// order them alike and the order changes little with the slots. It answers workspaces whose homes are elsewhere: their jobs
// keep running in one region.
func NearestPools(pools []Pool, regions []string, n *Nearness) []Pool {
	found := map[string]*regionPools{}
	spread, key := rendez.Hash(n.Spread), rendez.Hash(n.Key)
	for i := range pools {
		p := &pools[i]
		if p.Slots <= 0 || !slices.Contains(regions, p.Region) {
			continue
		}
		r := found[p.Region]
		if r == nil {
			r = &regionPools{}
			found[p.Region] = r
		}
		r.slots += p.Slots
		if score := rendez.Score(spread, rendez.NewSite(p.Name, float64(p.Slots))); score > r.score {
			r.best, r.score = *p, score
		}
	}
	measured := true
	list := make([]*regionPools, 0, len(found))
	for region, r := range found {
		rtt, ok := n.RoundTrips[region]
		r.steps, measured = rtt/nearStep, measured && ok
		r.score = rendez.Score(key, rendez.NewSite(region, float64(r.slots)))
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *regionPools) int {
		if measured && a.steps != b.steps {
			return cmp.Compare(a.steps, b.steps)
		}
		return cmp.Compare(b.score, a.score)
	})
	nearest := make([]Pool, len(list))
	for i := range list {
		nearest[i] = list[i].best
	}
	return nearest
}

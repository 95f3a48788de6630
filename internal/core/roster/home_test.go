package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func poolNames(pools []Pool) []string {
	out := []string{}
	for i := range pools {
		out = append(out, pools[i].Name)
	}
	return out
}

func TestPoolsHaveTheirSlotsAndTheHostsThatPlaceTheirJobs(t *testing.T) {
	v := &View{Self: Host{Name: "w1", Domain: "w", Region: "west"}, DomainPools: map[string]bool{"wide": true}, Loans: map[string]string{"u1": "west"}}
	v.Hosts = []Host{
		{Name: "a1", Domain: "a", Region: "east"}, {Name: "a2", Domain: "a", Region: "east", Cores: 2}, {Name: "b1", Domain: "b", Region: "east", Cores: 1}, v.Self,
	}
	v.Upstreams = map[string][]*Upstream{}
	for _, service := range []string{"narrow", "wide"} {
		v.Upstreams[service] = []*Upstream{
			{ID: "u1", Service: service, Domain: "a", Region: "east", Slots: 2}, {ID: "u2", Service: service, Domain: "b", Region: "east", Slots: 3},
			{ID: "u3", Service: service, Domain: "w", Region: "west", Slots: 5},
		}
	}
	pools := v.Pools("narrow")
	assert.DeepEqual(t, poolNames(pools), []string{"east", "west"})
	assert.Equal(t, pools[0].Slots, 5)
	assert.DeepEqual(t, names(pools[0].Hosts), []string{"a2", "b1", "a1"})
	pools = v.Pools("wide")
	assert.DeepEqual(t, poolNames(pools), []string{"east/a", "east/b", "west/w"})
	assert.DeepEqual(t, names(pools[0].Hosts), []string{"a2", "a1"})
	assert.Equal(t, len(v.Pools("other")), 0)
	v.Self = v.Hosts[2] // A host of the pool itself has the same order.
	assert.DeepEqual(t, names(v.PlacingOrder("narrow")), []string{"a2", "b1", "a1"})
}

func TestTheNearestHomeComesFirstOnceAllAreMeasured(t *testing.T) {
	pools := []Pool{{Name: "a", Region: "a", Slots: 9}, {Name: "b", Region: "b", Slots: 9}, {Name: "c", Region: "c", Slots: 9}, {Name: "d", Region: "d"}}
	homes := []string{"a", "b", "c", "d", "e"}
	n := &Nearness{Key: "k", RoundTrips: map[string]time.Duration{"a": 90 * time.Millisecond, "b": 70 * time.Millisecond, "c": 20 * time.Millisecond}}
	assert.DeepEqual(t, poolNames(NearestPools(pools, homes, n)), []string{"c", "b", "a"})
	assert.DeepEqual(t, poolNames(NearestPools(pools, []string{"a", "b"}, n)), []string{"b", "a"})
	hashed := poolNames(NearestPools(pools, homes, &Nearness{Key: "k"}))
	delete(n.RoundTrips, "b")
	assert.DeepEqual(t, poolNames(NearestPools(pools, homes, n)), hashed)
	assert.Equal(t, len(NearestPools(pools, []string{"d", "e"}, n)), 0)
}

// Guards against jobs that change their region because a few slots come or go: only those that move towards the larger region
// may, and a region that has not changed loses none to another such.
func TestTheOrderOfHomesChangesLittleWithTheirSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SliceOfN(rapid.IntRange(1, 300), 3, 3).Draw(t, "slots")
		pools, more := []Pool{}, []Pool{}
		for i, n := range slots {
			region := fmt.Sprint("region-", i)
			pools = append(pools, Pool{Name: region, Region: region, Slots: n})
			if i == 0 {
				n += rapid.IntRange(1, 50).Draw(t, "more")
			}
			more = append(more, Pool{Name: region, Region: region, Slots: n})
		}
		n := &Nearness{Key: rapid.String().Draw(t, "key")}
		homes := []string{"region-0", "region-1", "region-2"}
		before, after := NearestPools(pools, homes, n)[0].Region, NearestPools(more, homes, n)[0].Region
		if after != before && after != "region-0" {
			t.Fatalf("the first home went from %s to %s as region-0 grew", before, after)
		}
	})
}

func TestJobsSpreadOverTheHomesAndTheirPools(t *testing.T) {
	pools := []Pool{
		{Name: "a/1", Region: "a", Slots: 50}, {Name: "a/2", Region: "a", Slots: 100}, {Name: "b/1", Region: "b", Slots: 300},
	}
	counts := map[string]int{}
	const jobs = 3000
	for i := range jobs {
		n := &Nearness{Key: fmt.Sprint("workspace-", i), Spread: fmt.Sprint("object-", i)}
		nearest := NearestPools(pools, []string{"a", "b"}, n)
		assert.Equal(t, len(nearest), 2, "one pool for each region")
		counts[nearest[0].Name]++
	}
	for _, p := range pools {
		share, want := float64(counts[p.Name])/jobs, float64(p.Slots)/450
		assert.Assert(t, share > 0.85*want && share < 1.15*want, "pool %s got %.2f of the jobs and has %.2f of the slots", p.Name, share, want)
	}
}

package loans

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/roster"
)

func newUpstreams(counts map[string]int) map[string][]*roster.Upstream {
	var out []*roster.Upstream
	for _, r := range []string{"east", "north", "west"} {
		for i := range counts[r] {
			out = append(out, &roster.Upstream{ID: fmt.Sprintf("%s%d", r, i), Region: r, Slots: 3})
		}
	}
	return map[string][]*roster.Upstream{"s": out}
}

var regions = []string{"east", "north", "west"}

func pools(names ...string) map[string][]string { return map[string][]string{"s": names} }

func poolByRegion(u *roster.Upstream) string { return u.Region }

func slotsByRegion(in Input, l Loans) map[string]int {
	out := map[string]int{}
	for _, u := range in.Upstreams["s"] {
		user := u.Region
		if r, lent := l[u.ID]; lent {
			user = r
		}
		out[user] += u.Slots
	}
	return out
}

func TestWithoutKnownDemandLoansEvenOutTheRegions(t *testing.T) {
	in := Input{Pools: pools(regions...), PoolOf: poolByRegion, Upstreams: newUpstreams(map[string]int{"east": 6, "north": 2, "west": 4})}
	got := slotsByRegion(in, Plan(in))
	assert.DeepEqual(t, got, map[string]int{"east": 12, "north": 12, "west": 12})
}

func TestARegionIsLentWhatItNeedsStepByStep(t *testing.T) {
	in := Input{
		Pools: pools(regions...), PoolOf: poolByRegion, Upstreams: newUpstreams(map[string]int{"east": 60, "north": 20, "west": 40}),
		Demand: map[string]Demand{"east": {"s": 60}, "north": {"s": 80}, "west": {"s": 60}},
	}
	had := 60
	for range 20 {
		in.Loans = Plan(in)
		got := slotsByRegion(in, in.Loans)["north"]
		assert.Assert(t, float64(got-had) <= 0.15*100, "%d more slots in one plan", got-had)
		had = got
	}
	assert.Assert(t, had >= 100, "%d slots for a demand of 80", had)
}

func TestLoansComeBackWhenTheLenderNeedsThemMore(t *testing.T) {
	in := Input{
		Pools: pools(regions...), PoolOf: poolByRegion, Upstreams: newUpstreams(map[string]int{"east": 6, "north": 2, "west": 4}),
		Demand: map[string]Demand{"east": {"s": 2}, "north": {"s": 9}, "west": {"s": 2}},
	}
	for range 5 {
		in.Loans = Plan(in)
	}
	assert.Assert(t, len(in.Loans) > 0)
	in.Demand = map[string]Demand{"east": {"s": 16}, "north": {"s": 1}, "west": {"s": 10}}
	for range 10 {
		in.Loans = Plan(in)
	}
	for id, to := range in.Loans {
		assert.Assert(t, to != "north", "%s is still lent to the region without demand", id)
	}
}

func TestARegionWithoutHostsHoldsNoLoan(t *testing.T) {
	in := Input{Pools: pools("east"), PoolOf: poolByRegion, Upstreams: newUpstreams(map[string]int{"east": 2, "north": 2}), Loans: Loans{"east0": "north"}}
	assert.Equal(t, Plan(in)["east0"], "")
}

// For any demand, upstreams are lent only to known regions other than their own, upstreams that are down are not lent,
// and equal inputs give equal plans.
func TestLoansAreValidAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{Pools: pools(regions...), PoolOf: poolByRegion, Upstreams: newUpstreams(map[string]int{
			"east": rapid.IntRange(0, 12).Draw(t, "east"), "north": rapid.IntRange(0, 12).Draw(t, "north"), "west": rapid.IntRange(0, 12).Draw(t, "west"),
		}), Unavailable: map[string]bool{}}
		for range rapid.IntRange(1, 8).Draw(t, "plans") {
			in.Demand = map[string]Demand{}
			for _, r := range regions {
				if rapid.Bool().Draw(t, "reported") {
					in.Demand[r] = Demand{"s": rapid.Float64Range(0, 60).Draw(t, "demand")}
				}
			}
			in.Unavailable = map[string]bool{}
			for _, u := range in.Upstreams["s"] {
				in.Unavailable[u.ID] = rapid.IntRange(0, 9).Draw(t, "down") == 0
			}
			before := in.Loans
			in.Loans = Plan(in)
			if fmt.Sprint(Plan(Input{Pools: in.Pools, PoolOf: in.PoolOf, Upstreams: in.Upstreams, Demand: in.Demand, Loans: before, Unavailable: in.Unavailable})) != fmt.Sprint(in.Loans) {
				t.Fatal("equal inputs gave different plans")
			}
			for id, to := range in.Loans {
				checkLoan(t, in, id, to)
			}
		}
	})
}

func checkLoan(t *rapid.T, in Input, id, to string) {
	for _, u := range in.Upstreams["s"] {
		if u.ID == id && u.Region == to {
			t.Fatalf("%s is lent to its own region", id)
		}
	}
	if in.Unavailable[id] {
		t.Fatalf("%s is down and lent", id)
	}
	if to != "east" && to != "north" && to != "west" {
		t.Fatalf("%s is lent to %q", id, to)
	}
}

// A pool of a failure domain must borrow in its own region as long as that has something to spare.
func TestAFailureDomainBorrowsInItsOwnRegionFirst(t *testing.T) {
	list := []*roster.Upstream{}
	for domain, count := range map[string]int{"east/a": 20, "east/b": 4, "west/c": 60} {
		region, name, _ := strings.Cut(domain, "/")
		for i := range count {
			list = append(list, &roster.Upstream{ID: fmt.Sprint(name, i), Service: "s", Region: region, Domain: name, Slots: 6})
		}
	}
	in := Input{
		Pools: pools("east/a", "east/b", "west/c"), Upstreams: map[string][]*roster.Upstream{"s": list},
		PoolOf: func(u *roster.Upstream) string { return u.Region + "/" + u.Domain },
		Demand: map[string]Demand{"east/a": {"s": 20}, "east/b": {"s": 60}, "west/c": {"s": 40}},
	}
	for range 30 {
		in.Loans = Plan(in)
	}
	assert.Assert(t, len(in.Loans) >= 9, "%v", in.Loans)
	for id, to := range in.Loans {
		assert.Equal(t, to, "east/b")
		assert.Assert(t, strings.HasPrefix(id, "a"), "%s is lent by the other region", id)
	}
}

// In an overload of all regions, the one with few upstreams must get its share of those that there are.
func TestAnOverloadFallsOnAllRegionsAlike(t *testing.T) {
	in := Input{
		Pools: pools(regions...), PoolOf: poolByRegion, Upstreams: newUpstreams(map[string]int{"east": 60, "north": 20, "west": 40}),
		Demand: map[string]Demand{"east": {"s": 250}, "north": {"s": 250}, "west": {"s": 250}},
	}
	for range 60 {
		in.Loans = Plan(in)
	}
	for region, slots := range slotsByRegion(in, in.Loans) {
		assert.Assert(t, slots >= 110 && slots <= 130, "%s has %d of 360 slots", region, slots)
	}
}

// Three small pools that return what they borrowed must not move a large part of their region's callers at once, together.
func TestLoansOfAllServicesMoveFewCallersAtOnce(t *testing.T) {
	in := Input{Pools: map[string][]string{}, PoolOf: poolByRegion, Upstreams: map[string][]*roster.Upstream{}, Demand: map[string]Demand{"east": {}, "north": {}}, Loans: Loans{}, Credits: Credits{}}
	for _, service := range []string{"s1", "s2", "s3"} {
		in.Pools[service] = []string{"east", "north"}
		for i := range 12 {
			u := &roster.Upstream{ID: fmt.Sprint(service, "-", i), Service: service, Region: "east", Slots: 9}
			if i < 2 {
				u.Region = "north"
			}
			if i >= 9 {
				in.Loans[u.ID] = "north"
			}
			in.Upstreams[service] = append(in.Upstreams[service], u)
		}
		in.Demand["east"][service], in.Demand["north"][service] = 30, 1
	}
	remote := func(l Loans) float64 { return float64(len(l)) / float64(len(l)+6) }
	shares := []float64{remote(in.Loans)}
	for range 40 {
		in.Credits.Earn(time.Second, []string{"east", "north"})
		in.Loans = Plan(in)
		shares = append(shares, remote(in.Loans))
	}
	for i := 2; i < len(shares); i++ {
		assert.Assert(t, shares[i-2]-shares[i] <= 0.15, "%.2f of the slots moved in two plans", shares[i-2]-shares[i])
	}
	assert.Equal(t, len(in.Loans), 0)
}

// Guards against callers who wait in the region with the fewest upstreams while the others are half idle: with equal callers in
// regions of 78, 66 and 16 upstreams, utilization of all slots of 0.4 must not become 0.8 in the smallest.
func TestSlotsToSpareAreSharedWithTheSmallestRegion(t *testing.T) {
	in := Input{
		Pools: pools(regions...), PoolOf: poolByRegion, Upstreams: newUpstreams(map[string]int{"east": 78, "north": 16, "west": 66}),
		Demand: map[string]Demand{"east": {"s": 64}, "north": {"s": 64}, "west": {"s": 64}},
	}
	for range 40 {
		in.Loans = Plan(in)
	}
	got := slotsByRegion(in, in.Loans)
	assert.Assert(t, float64(got["north"]) >= 64/0.6, "%v", got)
	assert.Assert(t, got["east"] >= got["north"] && got["west"] >= got["north"], "%v", got)
}

// Guards against traffic between regions that no region needs.
func TestNothingIsLentWhileEachRegionHasSlotsToSpare(t *testing.T) {
	in := Input{
		Pools: pools(regions...), PoolOf: poolByRegion, Upstreams: newUpstreams(map[string]int{"east": 40, "north": 30, "west": 35}),
		Demand: map[string]Demand{"east": {"s": 40}, "north": {"s": 40}, "west": {"s": 40}},
	}
	assert.Equal(t, len(Plan(in)), 0)
}

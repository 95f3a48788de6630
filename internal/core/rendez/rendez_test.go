package rendez

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawSites(t *rapid.T) []Site {
	sites := make([]Site, rapid.IntRange(1, 40).Draw(t, "sites"))
	for i := range sites {
		sites[i] = NewSite(fmt.Sprint("s", i), rapid.SampledFrom([]float64{0, 0.5, 1, 1, 3}).Draw(t, "weight"))
	}
	return sites
}

func TestTopIsTheBeginningOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sites, key := drawSites(t), rapid.Uint64().Draw(t, "key")
		order := Order(key, sites)
		top := Top(key, sites, make([]int, 0, 4))
		assert.DeepEqual(t, top, order[:min(4, len(order))])
	})
}

func TestWithWeightMatchesANewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sites := drawSites(t)
		sites[0].Weight = 1
		table := NewTable(500, sites)
		at, weight := rapid.IntRange(0, len(sites)-1).Draw(t, "site"), rapid.Float64Range(0, 4).Draw(t, "weight")
		changed := table.WithWeight(at, weight)
		assert.DeepEqual(t, changed.Winner, NewTable(500, changed.Sites).Winner)
		for b := range table.Winner {
			if table.Winner[b] != changed.Winner[b] {
				assert.Assert(t, int(table.Winner[b]) == at || int(changed.Winner[b]) == at, "block %d moved between other sites", b)
			}
		}
	})
}

func TestSitesWinInProportionToWeight(t *testing.T) {
	sites := []Site{NewSite("a", 1), NewSite("b", 3), NewSite("c", 0)}
	won := [3]int{}
	for i := range 40_000 {
		won[Top(Hash(fmt.Sprint(i)), sites, make([]int, 0, 1))[0]]++
	}
	assert.Assert(t, won[0] > 9_500 && won[0] < 10_500 && won[2] == 0, "%v", won)
}

func BenchmarkTop(b *testing.B) {
	for _, n := range []int{10, 100, 890} {
		sites := make([]Site, n)
		for i := range sites {
			sites[i] = NewSite(fmt.Sprint("s", i), 1)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var buf [4]int
			for i := range b.N {
				Top(uint64(i), sites, buf[:0])
			}
		})
	}
}

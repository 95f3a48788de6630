package watch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// However hosts are spread, only two of them read the store, each other one reaches them over at most one host of its
// failure domain, and no two hosts wait for each other's changes.
func TestTwoHostsReadTheStoreForTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []roster.Host
		for i := range rapid.IntRange(1, 40).Draw(t, "hosts") {
			domain := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "domain")
			hosts = append(hosts, roster.Host{Name: fmt.Sprint("h", i), Domain: domain, Region: "east", Cores: rapid.SampledFrom([]float64{0.16, 0.8}).Draw(t, "cores")})
		}
		readers, asked := 0, map[string]map[string]bool{}
		for _, h := range hosts {
			sources, designated := sourcesOf(&roster.View{Self: h, Hosts: hosts})
			if designated {
				readers++
			}
			if !designated && len(sources) == 0 {
				t.Fatalf("%s neither reads the store nor asks a host", h.Name)
			}
			if len(sources) > 2*maxReaders {
				t.Fatalf("%s asks %d hosts", h.Name, len(sources))
			}
			asked[h.Name] = map[string]bool{}
			for _, s := range sources {
				if asked[s.host.Name][h.Name] {
					t.Fatalf("%s and %s ask each other", h.Name, s.host.Name)
				}
				asked[h.Name][s.host.Name] = true
			}
		}
		if readers != min(maxReaders, len(hosts)) {
			t.Fatalf("%d of %d hosts read the store", readers, len(hosts))
		}
	})
}

func TestRetryDelaysStayWithinTheirBounds(t *testing.T) {
	calls, elapsed, delay := 1, jitter(minRetryDelay, 0), minRetryDelay
	for elapsed.Seconds() < 6 {
		calls++
		delay = min(2*delay, maxFollowerRetryDelay)
		elapsed += jitter(delay, 0)
	}
	assert.Assert(t, calls <= 10, "%d calls in 6 s with the shortest delays", calls)
	assert.Assert(t, jitter(maxReaderRetryDelay, 1) <= maxFollowerRetryDelay)
}

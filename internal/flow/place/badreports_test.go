package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays deployment L with reports that are lost, old, or false. Guards against reports that do more harm than none: jobs that leave an upstream
// for no reason have their objects computed elsewhere.
func TestBadReportsDoNoHarm(t *testing.T) {
	play := func(report func(*replay, time.Duration, *simulated) float64) figures {
		c := deploymentL()
		c.report, c.length = report, 7*time.Second
		r := newReplay(c)
		r.run()
		return r.figures(3*time.Second, c.length)
	}
	random := rand.New(rand.NewPCG(5, 5))
	without := play(noPace)
	for _, c := range []struct {
		name   string
		report func(*replay, time.Duration, *simulated) float64
	}{
		{"half are lost", func(r *replay, now time.Duration, u *simulated) float64 {
			return r.pace(now, u) * float64(random.IntN(2))
		}},
		{"from half a second ago", func(r *replay, now time.Duration, u *simulated) float64 {
			return r.pace(max(0, now-500*ms), u)
		}},
		{"from three seconds ago", func(r *replay, now time.Duration, u *simulated) float64 {
			return r.pace(max(0, now-3*time.Second), u)
		}},
		{"at random", func(*replay, time.Duration, *simulated) float64 {
			return []float64{1, 1, 1, 1, 1, 2.5}[random.IntN(6)]
		}},
		{"the contrary", func(r *replay, now time.Duration, u *simulated) float64 {
			return 3.5 - r.pace(now, u)
		}},
		{"false on a fifth", func(r *replay, now time.Duration, u *simulated) float64 {
			if u.index%5 == 0 {
				return 2.5
			}
			return r.pace(now, u)
		}},
	} {
		got := play(c.report)
		t.Logf("%s: %v", c.name, got)
		assert.Check(t, got.inTime > without.inTime-0.02, "%s: %v; without: %v", c.name, got, without)
	}
	t.Logf("without: %v", without)
}

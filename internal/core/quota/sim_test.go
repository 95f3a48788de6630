package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/policy"
)

func drawWorkspace(t *rapid.T) policy.Workspace {
	ws := policy.Workspace{Name: "w", Rate: rapid.SampledFrom([]float64{1, 3, 20, 100, 300}).Draw(t, "rate")}
	ws.Burst = ws.Rate * rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "burst")
	return ws
}

// trouble draws one disturbance and applies it.
func (f *fleet) trouble(t *rapid.T) {
	switch rapid.SampledFrom([]string{"demand", "demand", "demand", "pause owner", "pause placer", "pause leader", "loss", "cut", "heal", "restart owner", "restart placer", "order"}).Draw(t, "trouble") {
	case "demand":
		f.moveDemand(f.ws.Rate*rapid.SampledFrom([]float64{0, 0.3, 0.9, 2, 7}).Draw(t, "demand"), f.upTo(2*time.Second))
	case "pause owner":
		o := rapid.SampledFrom(f.owners).Draw(t, "owner")
		o.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "pause")) * time.Millisecond)
	case "pause placer":
		p := rapid.SampledFrom(f.hosts).Draw(t, "host")
		p.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "pause")) * time.Millisecond)
	case "pause leader":
		p := rapid.SampledFrom(f.leaders).Draw(t, "leader")
		p.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "pause")) * time.Millisecond)
	case "loss":
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
	case "cut":
		f.cutAt = f.now
		for d := range f.sides {
			f.sides[d] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case "heal":
		f.sides = [domains]int{}
	case "restart owner":
		o := rapid.SampledFrom(f.owners).Draw(t, "owner")
		o.ledger = f.newLedger()
	case "restart placer":
		i := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
		p := f.hosts[i]
		p.wallet, p.busy = f.newWallet(fmt.Sprint("s", i/domains), p.domain), 0
	case "order":
		f.random.Shuffle(len(f.owners), func(i, j int) { f.owners[i], f.owners[j] = f.owners[j], f.owners[i] })
	}
}

// Guards against a fleet that runs more jobs of a workspace than its limit and tolerance allow, while demand moves between pools, processes
// pause, messages are lost, partitions leave two owners, and owners and placing hosts restart.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), drawWorkspace(t))
		f.wait = time.Duration(rapid.SampledFrom([]int{0, 100, 300, 1000}).Draw(t, "wait")) * time.Millisecond
		f.refusing = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "refusing")
		f.moveDemand(f.ws.Rate*0.6, 0)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			f.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "pass")) * time.Millisecond)
			f.trouble(t)
		}
		f.run(5 * time.Second)
		over := f.excess(f.ws, time.Time{})
		assert.Assert(t, over <= 0, "%.0f jobs above the bound, %v", over, f.ws)
	})
}

// Guards against reserves that were granted under a higher limit and outlast it.
func TestALoweredLimitBindsAfterAWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), drawWorkspace(t))
		f.moveDemand(f.ws.Rate*rapid.SampledFrom([]float64{0.5, 2, 7}).Draw(t, "demand"), 0)
		f.run(6 * time.Second)
		ws := f.ws
		ws.Rate, ws.Burst = ws.Rate/4, ws.Burst/4
		f.setTerms(ws)
		f.run(10 * time.Second)
		over := f.excess(ws, time.Unix(1006, 0).Add(f.terms.Window))
		assert.Assert(t, over <= 0, "%.0f jobs above the bound", over)
	})
}

// Guards against fragmentation: allowed jobs of small and large workspaces must not be refused because the tokens are in other pools, also
// while the demand moves to other pools within two seconds.
func TestAllowedJobsAreServed(t *testing.T) {
	for _, c := range []struct {
		rate, burst float64
		wait        time.Duration
	}{{3, 3, 50 * ms}, {20, 20, 50 * ms}, {100, 100, 50 * ms}, {300, 300, 50 * ms}, {300, 60, 300 * ms}, {300, 300, time.Second}} {
		for name, moving := range map[string]bool{"steady": false, "moving": true} {
			t.Run(fmt.Sprint(name, c.rate, c.burst, c.wait), func(t *testing.T) {
				rate := c.rate
				f := newFleet(7, policy.Workspace{Name: "w", Rate: rate, Burst: c.burst})
				f.wait = c.wait
				f.moveDemand(rate*0.625, 0)
				f.run(5 * time.Second)
				from := f.now
				for range 30 {
					if moving {
						f.moveDemand(rate*0.625, 2*time.Second)
					}
					f.run(3 * time.Second)
				}
				served := f.served(from)
				t.Logf("rate %v: %.4f of %d jobs", rate, served, len(f.offered))
				assert.Assert(t, served >= 0.98, "%.4f of the jobs were served", served)
			})
		}
	}
}

// Guards against a flood that uses less or more than the limit: at 7 times the usual demand, the whole limit is used.
func TestAFloodGetsTheLimit(t *testing.T) {
	for _, ws := range []policy.Workspace{{Rate: 3, Burst: 3}, {Rate: 20, Burst: 20}, {Rate: 100, Burst: 100}, {Rate: 300, Burst: 300}, {Rate: 3}, {Rate: 20}, {Rate: 100}, {Rate: 300}} {
		t.Run(fmt.Sprint(ws), func(t *testing.T) {
			rate := ws.Rate
			f := newFleet(7, ws)
			f.moveDemand(rate*0.625, 0)
			f.run(5 * time.Second)
			f.moveDemand(rate*0.625*7, 0)
			from := f.now
			f.run(8 * time.Second)
			ran := 0
			for _, at := range f.runs {
				if !at.Before(from) {
					ran++
				}
			}
			allowed := rate*8 + ws.Burst
			t.Logf("%d ran of %.0f allowed", ran, allowed)
			assert.Assert(t, float64(ran) >= 0.98*allowed-2, "%d ran of %.0f allowed", ran, allowed)
			assert.Assert(t, f.excess(f.ws, time.Time{}) <= 0)
		})
	}
}

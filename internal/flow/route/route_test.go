package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

var now = time.Unix(1000, 0)

func drawPlan(t *rapid.T) *plan.Plan {
	p := &plan.Plan{
		Self: plan.Identity{Seat: "self", Domain: "d0", Region: "r0"}, Links: map[string]share.Quota{},
		Services: map[string]*plan.Service{"s": {}},
	}
	for i := range rapid.IntRange(1, 9).Draw(t, "domains") {
		r := fmt.Sprint("r", i/2)
		p.Links[r] = share.Quota{Floor: rapid.Int64Range(0, 1).Draw(t, "link")}
		p.Domains = append(p.Domains, plan.Domain{
			Name: fmt.Sprint("d", i), Region: r, Self: i == 0, Drained: rapid.Bool().Draw(t, "drained"),
			Delay: time.Duration(i) * 10 * time.Millisecond, Hosts: []spec.Seat{{Name: fmt.Sprint("h", i)}},
			Loads: map[string]plan.Load{"s": {
				Slots: rapid.Int64Range(0, 4).Draw(t, "slots"), Busy: rapid.Int64Range(0, 4).Draw(t, "busy"),
				Queued: rapid.Int64Range(0, 50).Draw(t, "queued"), Latency: 10 * time.Millisecond,
			}},
		})
	}
	p.SetSites()
	return p
}

func TestTargetsCanServeAndDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		q := Query{
			Service: "s", Hash: rapid.Uint64().Draw(t, "hash"), LocalWait: time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond,
			ShiftRegion: rapid.SampledFrom([]string{"", "r1", "r2"}).Draw(t, "shift"),
		}
		out := SelectTargets(now, p, q, nil, MaxTargets)
		seen := map[string]bool{}
		for i, target := range out {
			var d plan.Domain
			for _, c := range p.Domains {
				if c.Name == target.Domain {
					d = c
				}
			}
			assert.Assert(t, !seen[target.Domain], "twice %s", target.Domain)
			assert.Assert(t, !d.Drained && d.Loads["s"].Slots > 0)
			assert.Assert(t, d.Region == "r0" || p.Links[d.Region].Floor > 0, "no link to %s", d.Region)
			if i == 0 && target.Reason == ReasonOtherRegion {
				assert.Assert(t, q.LocalWait > 0 || p.Services["s"].LocalSite == nil, "left a free host")
			}
			seen[target.Domain] = true
		}
		assert.DeepEqual(t, SelectTargets(now, p, q, SelectTargets(now, p, q, nil, 1), 1), out[:min(1, len(out))])
	})
}

type zeroWait struct{}

func (zeroWait) EstimateWait(time.Time, string, int) time.Duration { return 0 }

func TestAShiftStaysUnderItsCap(t *testing.T) {
	p := &plan.Plan{
		Self: plan.Identity{Seat: "self", Domain: "d0", Region: "r0"}, Links: map[string]share.Quota{"r1": {Floor: 1}},
		Services: map[string]*plan.Service{"s": {}},
		Shifts:   []plan.Shift{{Name: "move", Service: "s", To: "r1", Fraction: 0.5, Rate: 20}},
	}
	for i, r := range []string{"r0", "r1"} {
		p.Domains = append(p.Domains, plan.Domain{
			Name: fmt.Sprint("d", i), Region: r, Self: i == 0, Hosts: []spec.Seat{{Name: "h"}},
			Loads: map[string]plan.Load{"s": {Slots: 100}},
		})
	}
	p.SetSites()
	r := New(zeroWait{})
	var moved []time.Time
	for i := range 5000 {
		at := now.Add(time.Duration(i) * 2 * time.Millisecond)
		job := &pipe.Job{Service: "s", Plan: p, CallerHash: uint64(i) * 0x9e3779b97f4a7c15}
		r.Run(t.Context(), at, job)
		if job.Targets[0].Reason == ReasonShift {
			moved = append(moved, at)
		}
	}
	for i := range moved {
		n := 0
		for j := i; j < len(moved) && moved[j].Sub(moved[i]) < time.Second; j++ {
			n++
		}
		assert.Assert(t, n <= 20, "%d moved within a second", n)
	}
	assert.Assert(t, len(moved) > 150, "%d moved in 10 s", len(moved))
}

package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/spec"
)

// Guards against hosts that together exceed a shared limit, in any order of messages, faults and configuration changes.
func TestLimitsHoldUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(2, 2)
		chance := rapid.IntRange(0, 9)
		f.faults = func() (bool, bool, bool) {
			return chance.Draw(t, "lost") == 9, chance.Draw(t, "late") >= 8, chance.Draw(t, "twice") == 9
		}
		randomHost := func(t *rapid.T) *fakeHost { return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(t *rapid.T) { f.checkLimits(t) },
			"tick": func(*rapid.T) { f.step(TickPeriod) },
			"step": func(t *rapid.T) { f.step(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond) },
			"late": func(t *rapid.T) {
				if n := len(f.inFlight); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "message")
					run := f.inFlight[i]
					f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
					run()
				}
			},
			"pause":  func(t *rapid.T) { randomHost(t).paused = true },
			"wake":   func(t *rapid.T) { f.resume(randomHost(t)) },
			"cut":    func(t *rapid.T) { h := randomHost(t); h.isolated = !h.isolated },
			"outage": func(*rapid.T) { f.platformDown = !f.platformDown },
			"apart":  func(*rapid.T) { f.partitioned = !f.partitioned },
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
				f.hosts[i] = f.newHost(f.hosts[i].state.Self)
			},
			"change": func(*rapid.T) { f.doc.Revision++ },
			"alone": func(t *rapid.T) {
				isolated := rapid.Bool().Draw(t, "cut")
				for _, h := range f.hosts[2:] {
					h.isolated = isolated
				}
			},
			"while": func(t *rapid.T) {
				for range 40 {
					f.step(2 * TickPeriod)
					f.checkLimits(t)
				}
			},
		})
	})
}

// A paused lender may resume and still count on its lease: the units that it and its replacement lend must not add up to
// more than the limit.
func TestAPausedLenderIsReplaced(t *testing.T) {
	f := newFleet(1, 2)
	inUse := func(h *fakeHost) int64 { return h.state.quota(resourceSlotPrefix + "u0").At(f.now) }
	run := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.step(TickPeriod)
			f.checkLimits(t)
		}
	}
	run(15 * time.Second)
	assert.Equal(t, inUse(f.hosts[0])+inUse(f.hosts[1]), int64(5), "all slots are in use")
	f.hosts[0].paused = true
	run(20 * time.Second)
	assert.Equal(t, inUse(f.hosts[0]), int64(1), "the paused host falls back to its floor")
	assert.Equal(t, inUse(f.hosts[1]), int64(4), "the other host has its floor and the whole pool")
	f.resume(f.hosts[0])
	f.checkLimits(t)
	run(25 * time.Second)
	assert.Equal(t, inUse(f.hosts[0])+inUse(f.hosts[1]), int64(5))
}

func TestHostsKeepTheirFloorsDuringAPlatformOutage(t *testing.T) {
	f := newFleet(1, 2)
	for range 60 {
		f.step(TickPeriod)
	}
	f.platformDown = true
	for range 60 {
		f.step(TickPeriod)
		f.checkLimits(t)
	}
	for _, h := range f.hosts {
		assert.Equal(t, h.state.quota(resourceSlotPrefix+"u0").At(f.now), int64(1))
	}
	p := Plan(f.hosts[0].state, f.now)
	assert.Equal(t, len(p.Services["s"].Upstreams), 1)
}

func (f *fleet) unitsInUse(res string) int64 {
	var sum int64
	for _, h := range f.hosts {
		sum += h.state.quota(res).At(f.now)
	}
	return sum
}

func TestALowerLimitIsInForceWithinThreeSeconds(t *testing.T) {
	for name, change := range map[string]func(*spec.Document){
		"slots": func(d *spec.Document) { d.Services[0].Slots = 3 },
		"floor": func(d *spec.Document) { d.Floor, d.Services[0].Slots = 1, 3 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 3)
			for range 60 {
				f.step(TickPeriod)
			}
			assert.Equal(t, f.unitsInUse(resourceSlotPrefix+"u0"), int64(5))
			f.doc = f.doc.Clone()
			f.doc.Revision++
			change(&f.doc)
			for range 12 {
				f.step(TickPeriod)
				f.checkLimits(t)
			}
			assert.Assert(t, f.unitsInUse(resourceSlotPrefix+"u0") <= 3, "%d units in use after 3 s, limit is 3", f.unitsInUse(resourceSlotPrefix+"u0"))
		})
	}
}

func TestAllocationsGrowOnlyAfterOthersHaveShrunk(t *testing.T) {
	f := newFleet(1, 3)
	for range 60 {
		f.step(TickPeriod)
	}
	late := f.hosts[2]
	late.paused = true // It receives the revision that removes its seat two seconds after the others.
	f.doc = f.doc.Clone()
	f.doc.Revision++
	f.doc.Floor = 1
	seats := &f.doc.Regions[0].Domains[0].Seats
	*seats = (*seats)[:2]
	for i := range 80 {
		f.step(TickPeriod)
		if i == 8 {
			f.resume(late)
			f.apply(late, DocumentReceived{Doc: f.doc})
		}
		f.checkLimits(t)
	}
	assert.Equal(t, f.unitsInUse(resourceLinkPrefix+"q"), int64(1000))
}

package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/spec"
)

func TestLimitsHoldUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(2, 2)
		chance := rapid.IntRange(0, 9)
		f.faults = func() (bool, bool, bool) {
			return chance.Draw(t, "lost") == 9, chance.Draw(t, "late") >= 8, chance.Draw(t, "twice") == 9
		}
		pick := func(t *rapid.T) *fakeHost { return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")] }
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
			"pause":  func(t *rapid.T) { pick(t).paused = true },
			"wake":   func(t *rapid.T) { f.resume(pick(t)) },
			"cut":    func(t *rapid.T) { h := pick(t); h.isolated = !h.isolated },
			"outage": func(*rapid.T) { f.platformDown = !f.platformDown },
			"apart":  func(*rapid.T) { f.partitioned = !f.partitioned },
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
				f.hosts[i] = f.newHost(f.hosts[i].state.Self)
			},
			"change": func(*rapid.T) { f.doc.Revision++ },
			"alone": func(t *rapid.T) {
				cut := rapid.Bool().Draw(t, "cut")
				for _, h := range f.hosts[2:] {
					h.isolated = cut
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

func TestAFrozenLenderIsReplaced(t *testing.T) {
	f := newFleet(1, 2)
	lent := func(h *fakeHost) int64 { return h.state.amount(resourceSlotPrefix + "u0").At(f.now) }
	run := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.step(TickPeriod)
			f.checkLimits(t)
		}
	}
	run(15 * time.Second)
	assert.Equal(t, lent(f.hosts[0])+lent(f.hosts[1]), int64(5), "all slots are in use")
	f.hosts[0].paused = true
	run(20 * time.Second)
	assert.Equal(t, lent(f.hosts[0]), int64(1), "the frozen host is on its floor")
	assert.Equal(t, lent(f.hosts[1]), int64(4), "the other has its floor and the whole pool")
	f.resume(f.hosts[0])
	f.checkLimits(t)
	run(25 * time.Second)
	assert.Equal(t, lent(f.hosts[0])+lent(f.hosts[1]), int64(5))
}

func TestAnOutageOfThePlatformLeavesTheFloors(t *testing.T) {
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
		assert.Equal(t, h.state.amount(resourceSlotPrefix+"u0").At(f.now), int64(1))
	}
	p := Plan(f.hosts[0].state, f.now)
	assert.Equal(t, len(p.Services["s"].Upstreams), 1)
}

func (f *fleet) inUse(res string) int64 {
	var sum int64
	for _, h := range f.hosts {
		sum += h.state.amount(res).At(f.now)
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
			assert.Equal(t, f.inUse(resourceSlotPrefix+"u0"), int64(5))
			f.doc = f.doc.Clone()
			f.doc.Revision++
			change(&f.doc)
			for range 12 {
				f.step(TickPeriod)
				f.checkLimits(t)
			}
			assert.Assert(t, f.inUse(resourceSlotPrefix+"u0") <= 3, "%d in use of 3 after 3 s", f.inUse(resourceSlotPrefix+"u0"))
		})
	}
}

func TestPartsGrowOnlyAfterOthersHaveShrunk(t *testing.T) {
	f := newFleet(1, 3)
	for range 60 {
		f.step(TickPeriod)
	}
	slow := f.hosts[2]
	slow.paused = true // It learns two seconds late that its seat is gone.
	f.doc = f.doc.Clone()
	f.doc.Revision++
	f.doc.Floor = 1
	seats := &f.doc.Regions[0].Domains[0].Seats
	*seats = (*seats)[:2]
	for i := range 80 {
		f.step(TickPeriod)
		if i == 8 {
			f.resume(slow)
			f.fold(slow, Adopt{Doc: f.doc})
		}
		f.checkLimits(t)
	}
	assert.Equal(t, f.inUse(resourceLinkPrefix+"q"), int64(1000))
}

package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/plan"
)

func TestARevisionReachesAllHostsAfterHealing(t *testing.T) {
	f := newFleet(6, 3)
	for range 20 {
		f.step(TickPeriod)
	}
	f.hosts[4].isolated, f.hosts[7].paused = true, true
	f.doc.Revision = 2
	for range 20 {
		f.step(TickPeriod)
	}
	for i, h := range f.hosts {
		if i != 4 && i != 7 {
			assert.Equal(t, h.state.Revision(), uint64(2), "host %s", h.state.Self.Seat)
		}
	}
	f.hosts[4].isolated = false
	f.resume(f.hosts[7])
	for range 12 {
		f.step(TickPeriod)
	}
	for _, h := range f.hosts {
		assert.Equal(t, h.state.Revision(), uint64(2), "host %s", h.state.Self.Seat)
	}
}

// While a host relays it ignores received summaries of its own domain. Guards against a former relay that keeps its own
// old summary and never receives the new relay's.
func TestAFormerRelayReceivesTheSummaryOfItsOwnDomain(t *testing.T) {
	f := newFleet(1, 2)
	for _, h := range f.hosts {
		h.isolated = false
	}
	f.hosts[0].isolated = true
	for range 20 {
		f.step(TickPeriod)
	}
	f.hosts[0].isolated = false
	f.deliverPlatformState(f.hosts[0])
	for range 60 {
		f.step(TickPeriod)
	}
	assert.Assert(t, !f.hosts[1].state.IsRelay)
	n, ok := f.hosts[1].state.Summaries["d0"]
	assert.Assert(t, ok && len(n.Unavailable) == 0, "%+v", n)
}

func TestAHeartbeatOmitsLoadsThatTheRelayHas(t *testing.T) {
	f := newFleet(1, 2)
	load := func(busy int64) map[string]plan.Load { return map[string]plan.Load{"s": {Slots: 4, Busy: busy}} }
	sendHeartbeat := func(loads map[string]plan.Load) Heartbeat {
		f.now = f.now.Add(TickPeriod)
		h := f.hosts[1].state
		h.Loads = loads
		a := h.sendHeartbeat(f.doc.Regions[0].Domains[0].Seats[0], f.now)[0].(SendHeartbeat)
		f.execute(f.hosts[1], a)
		return a.Heartbeat
	}
	recordedBusy := func() int64 { return f.hosts[0].state.Hosts["d0-1"].Loads["s"].Busy }
	for range 8 {
		f.step(TickPeriod)
	}
	assert.Assert(t, !sendHeartbeat(load(3)).LoadsUnchanged)
	assert.Assert(t, sendHeartbeat(load(3)).LoadsUnchanged)
	assert.Equal(t, recordedBusy(), int64(3))
	assert.Assert(t, !sendHeartbeat(load(2)).LoadsUnchanged, "every change is reported in a small failure domain")
	assert.Equal(t, recordedBusy(), int64(2))

	f.hosts[0] = f.newHost(f.hosts[0].state.Self) // The relay restarts without its state.
	f.apply(f.hosts[0], Tick{})
	assert.Assert(t, sendHeartbeat(load(2)).LoadsUnchanged, "the restart of the relay is not known yet")
	assert.Assert(t, !sendHeartbeat(load(2)).LoadsUnchanged)
	assert.Equal(t, recordedBusy(), int64(2))
}

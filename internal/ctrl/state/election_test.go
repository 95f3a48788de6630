package state

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOnlyTheElectedHostAsksForTheLease(t *testing.T) {
	f := newFleet(1, 8)
	run := func(d time.Duration) {
		clear(f.leaseRequests)
		for end := f.now.Add(d); f.now.Before(end); {
			f.step(TickPeriod)
		}
	}
	run(5 * time.Second)
	assert.Equal(t, len(f.leaseRequests), 1, "at the start: %v", f.leaseRequests)
	assert.Assert(t, f.leaseRequests["d0-0"] > 0)
	f.hosts[0].isolated = true
	run(20 * time.Second)
	delete(f.leaseRequests, "d0-0")
	assert.Equal(t, len(f.leaseRequests), 1, "after the loss of the relay: %v", f.leaseRequests)
	assert.Assert(t, f.hosts[1].state.Lease.Valid(f.now))
}

// A failed heartbeat to the relay triggers another tick. Guards against a host without a seat, which is never elected,
// sending heartbeats at each failure instead of once per period.
func TestAHostWithoutASeatKeepsTheHeartbeatPeriod(t *testing.T) {
	f := newFleet(1, 3)
	h := f.hosts[0]
	f.step(TickPeriod)
	doc := f.doc.Clone()
	doc.Revision++
	doc.Regions[0].Domains[0].Seats = doc.Regions[0].Domains[0].Seats[1:]
	f.doc = doc
	f.apply(h, DocumentReceived{Doc: doc})
	h.isolated = true
	sent := 0
	for range 10 * time.Second / TickPeriod {
		f.now = f.now.Add(TickPeriod)
		actions := Apply(h.state, Tick{}, f.now)
		for len(actions) > 0 && sent < 100 {
			if a, ok := actions[0].(SendHeartbeat); ok {
				sent++
				actions = append(actions, Apply(h.state, HeartbeatResult{Seat: a.To.Name, RequestedAt: f.now, Err: fmt.Errorf("host unreachable")}, f.now)...)
			}
			actions = actions[1:]
		}
	}
	// One heartbeat to each seat per second, and one extra round when the relay is lost.
	assert.Assert(t, sent >= 18 && sent <= 24, "%d heartbeats in 10 s", sent)
}

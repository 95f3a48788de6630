package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestASilentDomainsPoolsAreLentAndGivenBack(t *testing.T) {
	f := newFleet(2, 2)
	inUse := func(domain string, res string) int64 {
		var sum int64
		for _, h := range f.hosts {
			if h.state.Self.Domain == domain && !h.isolated {
				sum += h.state.quota(res).At(f.now)
			}
		}
		return sum
	}
	run := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.step(TickPeriod)
			f.checkLimits(t)
		}
	}
	run(30 * time.Second)
	assert.Equal(t, inUse("d0", resourceLinkPrefix+"q"), int64(500))
	silent := f.hosts[2:]
	for _, h := range silent {
		h.isolated = true
	}
	run(40 * time.Second)
	assert.Equal(t, inUse("d0", resourceLinkPrefix+"q"), int64(800), "everything except the other domain's floors of 200")
	for _, h := range silent {
		h.isolated = false
	}
	run(20 * time.Second)
	assert.Equal(t, inUse("d0", resourceLinkPrefix+"q"), int64(500))
	assert.Equal(t, inUse("d1", resourceLinkPrefix+"q"), int64(500))
}

// The domains cannot reach each other, so the domain that took over learns of the other's return only from the platform.
func TestADomainCutOffFromItsNeighborGetsItsPoolsBack(t *testing.T) {
	f := newFleet(2, 1)
	run := func(d time.Duration, apart bool) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.step(TickPeriod)
			f.checkLimits(t)
			f.partitioned = apart
		}
	}
	run(30*time.Second, false)
	f.hosts[1].isolated = true
	run(40*time.Second, true)
	assert.Equal(t, f.hosts[0].state.quota(resourceLinkPrefix+"q").At(f.now), int64(800))
	f.hosts[1].isolated = false // It can reach the platform again, but not the other failure domain.
	run(40*time.Second, true)
	assert.Equal(t, f.hosts[0].state.quota(resourceLinkPrefix+"q").At(f.now), int64(500))
	assert.Equal(t, f.hosts[1].state.quota(resourceLinkPrefix+"q").At(f.now), int64(500))
}

func TestALoanEndsWithinTheShortestLease(t *testing.T) {
	f := newFleet(2, 2)
	for _, h := range f.hosts[2:] {
		h.isolated = true
	}
	for range 120 {
		f.step(TickPeriod)
	}
	lender := f.hosts[0].state
	taken, ok := lender.Takeovers["d1"]
	assert.Assert(t, ok && taken.Lease.Valid(f.now))
	taken.Lease.Until = f.now.Add(3 * time.Second) // As if only the lender's own lease could be renewed.
	lender.Takeovers["d1"] = taken
	reply := make(chan HeartbeatReply, 1)
	Apply(lender, HeartbeatReceived{Heartbeat: Heartbeat{Seat: "d0-1"}, Reply: reply}, f.now)
	r := <-reply
	assert.Assert(t, r.TTL < 3*time.Second, "lent for %s", r.TTL)
	assert.Equal(t, r.Units[resourceLinkPrefix+"q"], int64(300), "half of both pools")
}

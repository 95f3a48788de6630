package broker

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/flow/place"
)

// Guards against a host that never learns that a second attempt pays off, since another one places its jobs and knows the times.
func TestTheTimeOfASecondAttemptPassesBetweenHosts(t *testing.T) {
	p := newHostPair(t)
	var g *place.Grant
	for i := range 220 {
		g = p.acquire(context.Background())
		assert.Assert(t, g != nil)
		r := place.Result{Duration: time.Duration(50+i%9) * time.Millisecond, Succeeded: true}
		if i%25 == 0 {
			r = place.Result{Duration: 900 * time.Millisecond, Inconclusive: true} // It was cut off.
		}
		p.placer.Release(time.Now(), g, r)
	}
	for end := time.Now().Add(2 * time.Second); g.HedgeAfter == 0; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no time for a second attempt")
		g = p.acquire(context.Background())
		p.placer.Release(time.Now(), g, place.Result{Inconclusive: true})
	}
	assert.Assert(t, g.HedgeAfter > 50*time.Millisecond && g.HedgeAfter < 300*time.Millisecond, "%v", g.HedgeAfter)
}

// Guards against a second attempt that waits at the host that places it.
func TestASecondAttemptDoesNotWaitAtAnotherHost(t *testing.T) {
	p := newHostPair(t)
	first := p.acquire(context.Background())
	req := p.newRequest()
	req.NoWait = true
	g, _ := p.placer.Acquire(context.Background(), time.Now(), req)
	assert.Assert(t, g != nil)
	began := time.Now()
	other, _ := p.placer.Acquire(context.Background(), time.Now(), req)
	assert.Assert(t, other == nil)
	assert.Assert(t, time.Since(began) < 2*time.Second)
	p.placer.Release(time.Now(), g, place.Result{Inconclusive: true})
	p.placer.Release(time.Now(), first, place.Result{Inconclusive: true})
}

// Guards against second attempts of a host that has lost its placing host: the few jobs that it may run alone are for first attempts.
func TestAnIsolatedHostMakesNoSecondAttempt(t *testing.T) {
	p := newHostPair(t)
	p.stopServer()
	v := *p.view
	v.DutyHosts = nil
	p.view = &v
	req := p.newRequest()
	req.NoWait = true
	g, _ := p.placer.Acquire(context.Background(), time.Now(), req)
	assert.Assert(t, g == nil)
}

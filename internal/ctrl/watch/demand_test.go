package watch

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replayDemand reports a demand every half second and returns the largest part of it, from the second second on, that the loans were not
// planned for in advance.
func replayDemand(demand func(t float64) float64, lead float64) (worst float64) {
	var d poolDemand
	for i := range 60 {
		t := float64(i) / 2
		d = d.update(demand(t), nil, at(time.Duration(t*float64(time.Second))))
		if t >= 2 {
			worst = max(worst, 1-d.expected()/demand(t+lead))
		}
	}
	return worst
}

// Guards against room that arrives after the callers: a wave of 36 s with a swing of 0.55, and callers who move within a few seconds. The
// headroom of loans is a fifth of the slots, and half of it must remain in a wave.
func TestLoansArePlannedForTheDemandToCome(t *testing.T) {
	wave := func(t float64) float64 { return 180 * (1 + 0.55*math.Sin(2*math.Pi*t/36)) }
	assert.Assert(t, replayDemand(wave, 1.5) < 0.1, "%.3f", replayDemand(wave, 1.5))
	move := func(t float64) float64 { return 180 * (1 + 0.4*(1-math.Exp(-max(0, t-5)/1.5))) }
	assert.Assert(t, replayDemand(move, 1) < 0.2, "%.3f", replayDemand(move, 1))
}

// Guards against loans that follow chance, or that are given back because a demand might fall.
func TestATrendWithinNoiseOrDownwardsChangesNothing(t *testing.T) {
	d := poolDemand{}
	for i := range 10 {
		d = d.update(20+float64(i%2), nil, at(time.Duration(i)*500*time.Millisecond))
		assert.Equal(t, d.expected(), d.slots)
	}
	for i := range 10 {
		d = d.update(20-float64(i), nil, at(5*time.Second+time.Duration(i)*500*time.Millisecond))
		assert.Equal(t, d.expected(), d.slots)
	}
	assert.Equal(t, poolDemand{slots: 5, receivedAt: at(0)}.update(50, nil, at(demandTTL+time.Second)).expected(), 50.0)
}

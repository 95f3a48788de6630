package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
)

func TestAShiftPausesAndStepsBackWhenItsTargetWorsens(t *testing.T) {
	sh := spec.Shift{Ramp: spec.Duration(10 * time.Second)}
	now := time.Unix(1000, 0)
	good := plan.Load{Slots: 10, Busy: 2, Latency: 10 * time.Millisecond}
	p := advanceShift(Progress{}, sh, good, now)
	run := func(load plan.Load, seconds int) {
		for range seconds * 4 {
			now = now.Add(250 * time.Millisecond)
			p = advanceShift(p, sh, load, now)
		}
	}
	run(good, 5)
	assert.Assert(t, p.Fraction > 0.49 && p.Fraction < 0.51 && !p.Paused, "%+v", p)
	run(plan.Load{Slots: 10, Busy: 2, Latency: 30 * time.Millisecond}, 5) // As with a cold cache.
	assert.Assert(t, p.Fraction > 0.49 && p.Fraction < 0.51 && p.Paused, "%+v", p)
	run(plan.Load{Slots: 10, Busy: 10, Queued: 5, Latency: 10 * time.Millisecond}, 1)
	assert.Assert(t, p.Fraction < 0.35 && p.Paused, "%+v", p)
	run(plan.Load{}, 5) // No load of the target is known.
	assert.Equal(t, p.Fraction, 0.0)
	run(good, 20)
	assert.Assert(t, p.Fraction == 1 && !p.Paused, "%+v", p)
}

package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that grants the part of a domain that reported to another owner in the meantime.
func TestOnlyTheTimeBetweenReportsAccrues(t *testing.T) {
	for silence, want := range map[time.Duration]int{600 * ms: 200, time.Second: 200, 1200 * ms: 140, 2 * time.Second: 100} {
		l := newTestLedger(newTerms(100, 1000), "a", "b")
		for now := start; !now.After(at(2 * time.Second)); now = now.Add(DrawInterval) {
			report(l, now, "a")
			if d := now.Sub(start); d == 0 || d >= silence {
				report(l, now, "b")
			}
		}
		assert.Equal(t, draw(l, at(2*time.Second), "east", Want{Want: 1000}).Give, want, "after %s", silence)
	}
}

// Guards against the same for a domain that came back to an owner within a second.
func TestAFreshReportAccruesNothing(t *testing.T) {
	l := newTestLedger(newTerms(100, 1000), "a")
	report(l, start, "a")
	report(l, at(400*ms), "a")
	l.Draw(at(time.Second), &Request{Part: "a", Fresh: true})
	report(l, at(1200*ms), "a")
	assert.Equal(t, draw(l, at(1200*ms), "east", Want{Want: 1000}).Give, 60)
}

// Guards against two owners that hold a whole burst each, and against tokens that an owner kept while another one granted.
func TestAnOwnerHoldsTheBurstOfItsPartsOnly(t *testing.T) {
	l := newTestLedger(newTerms(100, 600), "a", "b", "c")
	for n := range 100 {
		report(l, at(time.Duration(n)*DrawInterval), "a")
		l.KeepPart(at(time.Duration(n)*DrawInterval), "b")
		l.KeepPart(at(time.Duration(n)*DrawInterval), "c")
	}
	end := at(100 * DrawInterval)
	whole := 600 + circulationShare*(0.1*1100+20)
	got := draw(l, end, "east", Want{Want: 1000}).Give
	assert.Equal(t, got, int(whole/3))
	for n := range 40 {
		report(l, end.Add(time.Duration(n)*DrawInterval), "a", "b", "c")
	}
	lost := end.Add(20 * time.Second)
	report(l, lost, "a", "b", "c")
	assert.Equal(t, draw(l, lost, "east", Want{Want: 1000}).Give, 0, "the tokens from before")
}

// Guards against reserves and queued jobs that are held in addition to a full bucket.
func TestTokensOnLeaseCountAgainstTheBurst(t *testing.T) {
	l := newTestLedger(newTerms(100, 100), "a")
	for n := range 20 {
		report(l, at(time.Duration(n)*DrawInterval), "a")
	}
	now := at(4 * time.Second)
	whole := int(100 + circulationShare*(0.1*600+20))
	draw(l, now, "west", Want{Have: 50, Debt: 10})
	assert.Equal(t, draw(l, now, "east", Want{Want: 1000}).Give, whole-40)
}

// Guards against pools that get nothing because others ask first, and tokens that are split below one.
func TestScarceTokensAreDividedByDemand(t *testing.T) {
	l := newTestLedger(newTerms(100, 10), "a")
	given := map[string]int{}
	for n := range 50 {
		now := at(time.Duration(n) * DrawInterval)
		report(l, now, "a")
		given["east"] += draw(l, now, "east", Want{Want: 60}).Give
		given["west"] += draw(l, now, "west", Want{Want: 30}).Give
		given["north"] += draw(l, now, "north", Want{Want: 1}).Give
	}
	ratio := float64(given["east"]) / float64(given["west"])
	assert.Assert(t, ratio > 1.4 && ratio < 2.8, "%v", given)
	assert.Assert(t, given["north"] >= 25, "%v", given)
	assert.Assert(t, given["east"]+given["west"]+given["north"] >= 950, "%v", given)
}

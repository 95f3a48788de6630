package hedge

import (
	"math"
	"sort"
	"time"
)

// never is a time that no run was seen to reach.
const never = time.Duration(math.MaxInt64)

// step is a point of a survival curve: the part of all runs that take longer than a time.
type step struct {
	took     time.Duration
	survival float64
}

// length is how long a run took: twice the time in nanoseconds, plus 1 if it was cut off then. In this form sorting is cheap, and
// runs that ended come before those that were cut off at the same time.
type length int64

func newLength(took time.Duration, cut bool) length {
	l := length(took) * 2
	if cut {
		l++
	}
	return l
}

func (l length) took() time.Duration { return time.Duration(l / 2) }

func (l length) cut() bool { return l%2 == 1 }

// survivalCurve estimates how long runs take, from their lengths in ascending order, and appends the steps to a curve. Runs
// that were cut off, by a deadline or because another attempt was answered first, count as running until then (Kaplan-Meier);
// leaving them out would hide just the runs that a second attempt replaces.
func survivalCurve(curve []step, sorted []length) []step {
	survival := 1.0
	for i, l := range sorted {
		if l.cut() {
			continue
		}
		survival *= 1 - 1/float64(len(sorted)-i)
		if n := len(curve); n > 0 && curve[n-1].took == l.took() {
			curve[n-1].survival = survival
			continue
		}
		curve = append(curve, step{took: l.took(), survival: survival})
	}
	return curve
}

// timeAt returns the time after which at most the given part of all runs still runs, or never.
func timeAt(curve []step, survival float64) time.Duration {
	i := sort.Search(len(curve), func(i int) bool { return curve[i].survival <= survival })
	if i == len(curve) {
		return never
	}
	return curve[i].took
}

// quantile returns the time that the given part of all runs doesn't exceed, or never.
func quantile(curve []step, q float64) time.Duration { return timeAt(curve, 1-q) }

// point is where a second attempt pays off.
type point struct {
	known  bool // There were enough samples.
	pays   bool
	after  time.Duration
	saving time.Duration // What a second attempt then saves half of the jobs at least.
}

// payOff returns the earliest time after which half of the runs that have not ended take much longer than a new run; it doesn't
// pay if the times have no long tail.
func payOff(curve []step) point {
	p := point{known: true}
	fresh := quantile(curve, 0.5)
	if fresh == never || float64(quantile(curve, tailQuantile)) <= tailRatio*float64(fresh) {
		return p
	}
	for _, s := range curve {
		if s.survival > maxHedgedShare {
			continue
		}
		if rest := timeAt(curve, s.survival/2) - s.took; float64(rest) >= minGain*float64(fresh) {
			p.pays, p.after, p.saving = true, s.took, rest-fresh
			return p
		}
	}
	return p
}

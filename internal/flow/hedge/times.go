package hedge

import (
	"slices"
	"time"
)

const (
	// tailQuantile and tailRatio define a long tail: that quantile exceeds the median this many times. Runs with exponentially
	// distributed times, which a second attempt doesn't shorten, exceed the ratio too, but never have a gain.
	tailQuantile = 0.99
	tailRatio    = 3
	// minGain is how many times as long as a new run the rest of a long run must be expected to take. It is above 1 since the
	// second attempt takes a slot from other jobs.
	minGain = 1.5
	// minSaving is the time that a second attempt must be expected to save. It covers the round trips to place and send it between
	// regions, and keeps the jitter of a busy machine from counting as a long tail where runs take a few milliseconds.
	minSaving = 100 * time.Millisecond
	// maxHedgedShare bounds the part of the runs that are long enough for a second attempt. It is what the retry budget has room
	// for: more would use it up for runs that are hardly too long.
	maxHedgedShare = 0.1
	// minSamples is the number of runs from which a quantile of 0.99 has a meaning.
	minSamples = 100
	// maxSamples bounds the runs that are kept of each kind. A busy pool has that many in a second or two.
	maxSamples = 512
	// maxAge is the age from which a run no longer counts, so that a disturbance that has passed is forgotten.
	maxAge = 15 * time.Second
	// minExpected and maxStretch bound what a relative time means: shorter expected times are within the jitter of a machine, and
	// a run that takes longer than maxStretch times what was expected of it is long however much longer.
	minExpected = time.Millisecond
	maxStretch  = 100
	// refreshInterval is the time for which a result is used again; sorting the samples for each job would cost too much.
	refreshInterval = 500 * time.Millisecond
)

// run is one run of a job.
type run struct {
	endedAt int64 // Nanoseconds since 1970.
	length  length
}

// window holds the newest runs of one kind.
type window struct {
	runs   []run // A ring once it holds maxSamples.
	next   int   // The oldest run of the ring.
	sorted []length
}

func (w *window) add(r run) {
	if len(w.runs) < maxSamples {
		w.runs = append(w.runs, r)
		return
	}
	w.runs[w.next] = r
	w.next = (w.next + 1) % maxSamples
}

// sort sets sorted to the lengths of the runs that still count.
func (w *window) sort(now time.Time) {
	oldest := now.Add(-maxAge).UnixNano()
	w.sorted = w.sorted[:0]
	for _, r := range w.runs {
		if r.endedAt > oldest {
			w.sorted = append(w.sorted, r.length)
		}
	}
	slices.Sort(w.sorted)
}

// unit is the expected time of a run in the relative window.
const unit = time.Second

// Times tracks the recent times of a service's runs, relative to what was expected of each and as such. It answers a long tail
// of times that belongs to the run and not to the job: 3 in 100 runs take 7 times as long, wherever they run, and end far
// sooner when they are sent again. What is expected tells cache hits from misses and slow upstreams from others, so that a hit
// isn't left alone for as long as a miss takes.
type Times struct {
	relative      window // Runs of which a time was expected, with that as the unit.
	absolute      window // All runs.
	relativePoint point
	absolutePoint point
	refreshedAt   time.Time
	curve         []step // Buffer of refresh.
}

// Record adds a run that ended by itself, or one that was cut off after the given time; expected is 0 if unknown.
func (t *Times) Record(now time.Time, took, expected time.Duration, cut bool) {
	if took <= 0 {
		return
	}
	t.absolute.add(run{endedAt: now.UnixNano(), length: newLength(took, cut)})
	if expected >= minExpected {
		scaled := scale(min(took, maxStretch*expected), expected, unit)
		t.relative.add(run{endedAt: now.UnixNano(), length: newLength(scaled, cut || took > maxStretch*expected)})
	}
}

// Delay returns the time after which a second attempt of a job pays off, and false if it doesn't or if there are too few
// samples; expected is the time that the first attempt is expected to take, or 0 if unknown.
func (t *Times) Delay(now time.Time, expected time.Duration) (time.Duration, bool) {
	if age := now.Sub(t.refreshedAt); age < 0 || age >= refreshInterval {
		t.refresh(now)
	}
	p := t.absolutePoint
	if expected >= minExpected && t.relativePoint.known {
		p = t.relativePoint
		p.after, p.saving = scale(p.after, unit, expected), scale(p.saving, unit, expected)
	}
	if !p.pays || p.saving < minSaving {
		return 0, false
	}
	return p.after, true
}

// scale converts a time from one unit to another.
func scale(d, from, to time.Duration) time.Duration {
	return time.Duration(min(float64(d)*float64(to)/float64(from), float64(never/2)))
}

// refresh computes the points from the present samples.
func (t *Times) refresh(now time.Time) {
	t.refreshedAt = now
	t.relativePoint, t.absolutePoint = t.point(now, &t.relative), t.point(now, &t.absolute)
}

func (t *Times) point(now time.Time, w *window) point {
	w.sort(now)
	if len(w.sorted) < minSamples {
		return point{}
	}
	t.curve = survivalCurve(t.curve[:0], w.sorted)
	return payOff(t.curve)
}

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
	// maxHedgedShare bounds the part of the runs of one kind that are long enough for a second attempt.
	maxHedgedShare = 0.25
	// minSamples is the number of runs from which a quantile of 0.99 has a meaning.
	minSamples = 100
	// maxSamples bounds the runs that are kept of each kind. A busy pool has that many in a second or two.
	maxSamples = 512
	// maxAge is the age from which a run no longer counts, so that a disturbance that has passed is forgotten.
	maxAge = 15 * time.Second
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

// Times tracks the recent times of a service's runs, apart for expected cache hits and all others. It answers a long tail of
// times that belongs to the run and not to the job: 3 in 100 runs take 7 times as long, wherever they run, and end far
// sooner when they are sent again.
type Times struct {
	hits, others         window
	hitDelay, otherDelay time.Duration
	refreshedAt          time.Time
	all                  []length // Buffer of refresh.
	curve                []step   // Buffer of refresh.
}

// Record adds a run that ended by itself, or one that was cut off after the given time.
func (t *Times) Record(now time.Time, hit bool, took time.Duration, cut bool) {
	if took <= 0 {
		return
	}
	w := &t.others
	if hit {
		w = &t.hits
	}
	w.add(run{endedAt: now.UnixNano(), length: newLength(took, cut)})
}

// Delay returns the time after which a second attempt of an expected hit or of another job pays off, and false if it doesn't
// or if there are too few samples.
func (t *Times) Delay(now time.Time, hit bool) (time.Duration, bool) {
	if age := now.Sub(t.refreshedAt); age < 0 || age >= refreshInterval {
		t.refresh(now)
	}
	d := t.otherDelay
	if hit {
		d = t.hitDelay
	}
	return d, d != never
}

// refresh computes the delays from the present samples. A kind with too few of them gets the delay of all runs.
func (t *Times) refresh(now time.Time) {
	t.refreshedAt = now
	t.hits.sort(now)
	t.others.sort(now)
	t.all = append(append(t.all[:0], t.hits.sorted...), t.others.sorted...)
	t.hitDelay, t.otherDelay = never, never
	if len(t.all) < minSamples {
		return
	}
	slices.Sort(t.all)
	t.curve = survivalCurve(t.curve[:0], t.all)
	fresh := quantile(t.curve, 0.5)
	common := payOff(t.curve, fresh)
	t.hitDelay, t.otherDelay = t.delay(t.hits.sorted, fresh, common), t.delay(t.others.sorted, fresh, common)
}

// delay returns the delay of one kind of runs, given the usual time of all runs and their common delay.
func (t *Times) delay(sorted []length, fresh, common time.Duration) time.Duration {
	if len(sorted) < minSamples {
		return common
	}
	t.curve = survivalCurve(t.curve[:0], sorted)
	// The second attempt goes where the job is expected to end first, which may be an upstream that has its object cached.
	return payOff(t.curve, min(fresh, quantile(t.curve, 0.5)))
}

package hedge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

// load generates the times of runs.
type load struct {
	random   *rand.Rand
	hit      time.Duration
	miss     time.Duration
	longPart float64 // The part of the runs that take 7 times as long.
	slowPart float64 // The part of the upstreams that take 2.5 times as long.
	cutAfter time.Duration
}

func newLoad() *load {
	return &load{random: rand.New(rand.NewPCG(1, 2)), hit: 235 * ms, miss: 780 * ms, longPart: 0.03, slowPart: 0.15, cutAfter: 1500 * ms}
}

// next returns the time of a run, and whether the deadline cuts it off.
func (l *load) next(hit bool) (time.Duration, bool) {
	d := l.miss
	if hit {
		d = l.hit
	}
	d = time.Duration(float64(d) * (0.9 + 0.2*l.random.Float64()))
	if l.random.Float64() < l.slowPart {
		d = d * 5 / 2
	}
	if l.random.Float64() < l.longPart {
		d *= 7
	}
	return min(d, l.cutAfter), d >= l.cutAfter
}

// fill records runs, six in ten of them hits, until a given time.
func (l *load) fill(t *Times, from, until time.Time) {
	for now := from; now.Before(until); now = now.Add(5 * ms) {
		hit := l.random.Float64() < 0.6
		took, cut := l.next(hit)
		t.Record(now, hit, took, cut)
	}
}

// Guards against second attempts that come too late to be answered in time, or that are made for usual runs.
func TestALongTailGetsSecondAttemptsAfterTheUsualTimes(t *testing.T) {
	var times Times
	l := newLoad()
	now := start.Add(5 * time.Second)
	l.fill(&times, start, now)
	hit, ok := times.Delay(now, true)
	assert.Assert(t, ok && hit > 300*ms && hit < 700*ms, "hits get a second attempt after %v, %v", hit, ok)
	miss, ok := times.Delay(now, false)
	assert.Assert(t, ok && miss > 800*ms && miss < 1000*ms, "misses get a second attempt after %v, %v", miss, ok)
	long := 0
	for range 10_000 {
		if took, _ := l.next(true); took > hit {
			long++
		}
	}
	// 300 of them take 7 times as long; at most as many others may get a second attempt too.
	assert.Assert(t, long < 600, "%d of 10000 hits get a second attempt", long)
}

// Guards against second attempts in deployments without a long tail, where they would only add load.
func TestTimesWithoutALongTailGetNoSecondAttempt(t *testing.T) {
	for name, change := range map[string]func(l *load){
		"usual":              func(l *load) { l.longPart, l.slowPart = 0, 0 },
		"slow upstreams":     func(l *load) { l.longPart = 0 },
		"all twice as slow":  func(l *load) { l.longPart, l.slowPart, l.hit, l.miss = 0, 0, 2*l.hit, l.miss*2-200*ms },
		"all quick":          func(l *load) { l.hit, l.miss = 2*ms, 4*ms },
		"everything cut off": func(l *load) { l.hit, l.miss = l.cutAfter*2, l.cutAfter*2 },
	} {
		t.Run(name, func(t *testing.T) {
			var times Times
			l := newLoad()
			l.cutAfter = 4 * time.Second
			change(l)
			now := start.Add(5 * time.Second)
			l.fill(&times, start, now)
			for _, hit := range []bool{true, false} {
				d, ok := times.Delay(now, hit)
				assert.Assert(t, !ok, "hit %v gets a second attempt after %v", hit, d)
			}
		})
	}
}

// Guards against second attempts that replace long runs by others that take just as long: of runs with exponentially
// distributed times, the rest takes as long as a new one.
func TestATailThatASecondAttemptDoesNotShortenGetsNone(t *testing.T) {
	var times Times
	r := rand.New(rand.NewPCG(3, 4))
	for i := range maxSamples {
		times.Record(start.Add(time.Duration(i)*ms), true, time.Duration(r.ExpFloat64()*float64(300*ms)), false)
	}
	d, ok := times.Delay(start.Add(time.Second), true)
	assert.Assert(t, !ok || d > 900*ms, "second attempt after %v", d)
}

func TestTooFewOrOldSamplesGiveNoSecondAttempt(t *testing.T) {
	var times Times
	l := newLoad()
	l.fill(&times, start, start.Add((minSamples-1)*5*ms))
	_, ok := times.Delay(start.Add(time.Second), true)
	assert.Assert(t, !ok)
	l.fill(&times, start.Add(time.Second), start.Add(6*time.Second))
	_, ok = times.Delay(start.Add(6*time.Second), true)
	assert.Assert(t, ok)
	_, ok = times.Delay(start.Add(6*time.Second+maxAge), true)
	assert.Assert(t, !ok)
}

// Guards against second attempts that end themselves: the runs that they replace are cut off, and would be missing among the times.
func TestCutRunsKeepTheTailInSight(t *testing.T) {
	var times Times
	l := newLoad()
	l.cutAfter = time.Minute
	now := start
	var delays []time.Duration
	for range 20 {
		until := now.Add(time.Second)
		d, ok := times.Delay(now, true)
		if ok {
			delays = append(delays, d)
			l.cutAfter = d + l.hit
		}
		for ; now.Before(until); now = now.Add(5 * ms) {
			took, cut := l.next(true)
			times.Record(now, true, took, cut)
		}
	}
	assert.Assert(t, len(delays) >= 17, "second attempts in %d of 20 seconds", len(delays))
	for _, d := range delays {
		assert.Assert(t, d > 250*ms && d < 900*ms, "delay %v of %v", d, delays)
	}
}

// The survival curve must fall, stay within 0 and 1, and be the plain share of longer runs if none was cut off.
func TestSurvivalCurveOfUncutRunsIsTheShareOfLongerRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cutting := rapid.Bool().Draw(t, "cutting")
		runs := make([]length, rapid.IntRange(1, 60).Draw(t, "runs"))
		for i := range runs {
			runs[i] = newLength(time.Duration(rapid.IntRange(1, 20).Draw(t, "took"))*ms, cutting && rapid.Bool().Draw(t, "cut"))
		}
		slices.Sort(runs)
		last := step{survival: 1}
		for _, s := range survivalCurve(nil, runs) {
			if s.took <= last.took || s.survival > last.survival || s.survival < 0 {
				t.Fatalf("step %v after %v", s, last)
			}
			last = s
			longer := 0
			for _, r := range runs {
				if r.took() > s.took {
					longer++
				}
			}
			if share := float64(longer) / float64(len(runs)); !cutting && (s.survival-share > 1e-9 || share-s.survival > 1e-9) {
				t.Fatalf("survival %v after %v, want %v", s.survival, s.took, share)
			}
		}
	})
}

func BenchmarkRefresh(b *testing.B) {
	var times Times
	l := newLoad()
	l.fill(&times, start, start.Add(8*time.Second))
	b.ReportAllocs()
	for b.Loop() {
		times.refresh(start.Add(8 * time.Second))
	}
}

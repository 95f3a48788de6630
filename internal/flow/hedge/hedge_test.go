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
	told     bool    // Slow upstreams are known as such.
	cutAfter time.Duration
}

func newLoad() *load {
	return &load{random: rand.New(rand.NewPCG(1, 2)), hit: 235 * ms, miss: 780 * ms, longPart: 0.03, slowPart: 0.15, told: true, cutAfter: 1500 * ms}
}

// next returns the time of a run, what was expected of it, and whether the deadline cuts it off.
func (l *load) next() (took, expected time.Duration, cut bool) {
	took = l.miss
	if l.random.Float64() < 0.6 {
		took = l.hit
	}
	expected = took
	if l.random.Float64() < l.slowPart {
		took = took * 5 / 2
		if l.told {
			expected = took
		}
	}
	took = time.Duration(float64(took) * (0.9 + 0.2*l.random.Float64()))
	if l.random.Float64() < l.longPart {
		took *= 7
	}
	return min(took, l.cutAfter), expected, took >= l.cutAfter
}

// fill records a run every 5 ms until a given time.
func (l *load) fill(t *Times, from, until time.Time) {
	for now := from; now.Before(until); now = now.Add(5 * ms) {
		took, expected, cut := l.next()
		t.Record(now, took, expected, cut)
	}
}

// Replays upstreams that take 2.5 times as long, and runs that take 7 times as long. Guards against second attempts that come too
// late for the objective of 600 ms, or that are made for usual runs.
func TestLongRunsGetSecondAttemptsSoonAfterWhatWasExpected(t *testing.T) {
	var times Times
	l := newLoad()
	now := start.Add(5 * time.Second)
	l.fill(&times, start, now)
	for expected, most := range map[time.Duration]time.Duration{l.hit: 300 * ms, l.hit * 5 / 2: 700 * ms, l.miss: 1000 * ms} {
		d, ok := times.Delay(now, expected)
		assert.Assert(t, ok && d > expected && d < most, "after %v of %v expected, %v", d, expected, ok)
	}
	long := 0
	for range 10_000 {
		took, expected, _ := l.next()
		if d, ok := times.Delay(now, expected); ok && took > d {
			long++
		}
	}
	// 300 of them take 7 times as long; at most as many others may get a second attempt too.
	assert.Assert(t, long > 200 && long < 600, "%d of 10000 runs get a second attempt", long)
}

// Replays the same where neither the upstreams report their pace nor the cache hits are known.
func TestLongRunsGetSecondAttemptsWithoutExpectations(t *testing.T) {
	for name, expect := range map[string]func(expected time.Duration) time.Duration{
		"pace unknown": func(expected time.Duration) time.Duration { return expected },
		"all unknown":  func(time.Duration) time.Duration { return 0 },
	} {
		t.Run(name, func(t *testing.T) {
			var times Times
			l := newLoad()
			l.told, l.cutAfter = false, 6*time.Second
			for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(5 * ms) {
				took, expected, cut := l.next()
				times.Record(now, took, expect(expected), cut)
			}
			usual := 600 * ms // Of a hit on a slow upstream.
			if expect(l.hit) == 0 {
				usual = l.miss
			}
			d, ok := times.Delay(start.Add(5*time.Second), expect(l.hit))
			assert.Assert(t, ok && d > usual-50*ms && d < 5*usual, "%v, %v", d, ok)
		})
	}
}

// Guards against second attempts in deployments without a long tail, where they would only add load.
func TestTimesWithoutALongTailGetNoSecondAttempt(t *testing.T) {
	for name, change := range map[string]func(l *load){
		"usual":              func(l *load) { l.longPart, l.slowPart = 0, 0 },
		"slow upstreams":     func(l *load) { l.longPart, l.told = 0, false },
		"all twice as slow":  func(l *load) { l.longPart, l.slowPart, l.hit, l.miss = 0, 0, 2*l.hit, 2*l.miss },
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
			for _, expected := range []time.Duration{l.hit, l.miss} {
				d, ok := times.Delay(now, expected)
				assert.Assert(t, !ok, "of %v expected, a second attempt after %v", expected, d)
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
		times.Record(start.Add(time.Duration(i)*ms), time.Duration(r.ExpFloat64()*float64(300*ms)), 0, false)
	}
	d, ok := times.Delay(start.Add(time.Second), 0)
	assert.Assert(t, !ok || d > 900*ms, "second attempt after %v", d)
}

func TestTooFewOrOldSamplesGiveNoSecondAttempt(t *testing.T) {
	var times Times
	l := newLoad()
	l.fill(&times, start, start.Add((minSamples-1)*5*ms))
	_, ok := times.Delay(start.Add(time.Second), l.hit)
	assert.Assert(t, !ok)
	l.fill(&times, start.Add(time.Second), start.Add(6*time.Second))
	_, ok = times.Delay(start.Add(6*time.Second), l.hit)
	assert.Assert(t, ok)
	_, ok = times.Delay(start.Add(6*time.Second+maxAge), l.hit)
	assert.Assert(t, !ok)
}

// Guards against second attempts that end themselves: the runs that they replace are cut off, and would be missing among the times.
func TestCutRunsKeepTheTailInSight(t *testing.T) {
	var times Times
	l := newLoad()
	l.cutAfter = time.Minute
	now := start
	delays := 0
	for range 20 {
		until := now.Add(time.Second)
		d, ok := times.Delay(now, l.hit)
		if ok {
			delays++
			assert.Assert(t, d > 235*ms && d < 400*ms, "delay %v", d)
		}
		for ; now.Before(until); now = now.Add(5 * ms) {
			took, expected, cut := l.next()
			if end := expected + l.hit; ok && took > end { // The second attempt is answered.
				took, cut = end, true
			}
			times.Record(now, took, expected, cut)
		}
	}
	assert.Assert(t, delays >= 18, "second attempts in %d of 20 seconds", delays)
}

// Guards against times that overflow where a run was never seen to end.
func TestExtremeTimesGiveNoNegativeDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var times Times
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, name))
		}
		for range rapid.IntRange(minSamples, minSamples+20).Draw(t, "runs") {
			times.Record(start, draw("took"), draw("expected"), rapid.Bool().Draw(t, "cut"))
		}
		if d, _ := times.Delay(start, draw("expected")); d < 0 {
			t.Fatalf("a delay of %v", d)
		}
	})
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

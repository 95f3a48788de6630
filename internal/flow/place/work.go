package place

import (
	"math"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// maxRecentObjects is the number of recent objects tracked for each upstream.
	maxRecentObjects = 64
	// initialCacheSize is the number of objects that an upstream is assumed to cache before there are samples.
	initialCacheSize = 16
	// minCacheSize is the number of objects that an upstream is assumed to cache at least.
	minCacheSize = 3
	// growWeight and shrinkWeight are the weights of an answer that contradicts the estimated cache size. An unexpected miss
	// weighs less, since the upstream may have lost its cache.
	growWeight   = 0.15
	shrinkWeight = 0.02
	// workWeight is the weight of the newest sample in a service's moving averages.
	workWeight = 0.05
	// initialWork is the assumed work of a request before there are samples, if it has no objective.
	initialWork = 100 * time.Millisecond
	// initialHitShare is the assumed ratio of the work of a cache hit to that of a miss before there are samples. It
	// is below 1 so that a burst for one object is not spread over all upstreams before the first answer.
	initialHitShare = 0.5
	// ownerHitProbability is the chance that an object's owner, the first upstream in rendezvous order, has cached it
	// although this scheduler has not sent it there. Another host may have placed jobs before.
	ownerHitProbability = 0.25
	// returnHitProbability is the chance that an upstream still has the object that it should have dropped last.
	returnHitProbability = 0.5
	// minSlowdown and maxSlowdown bound the measured slowdown of an upstream relative to its service.
	minSlowdown = 0.5
	maxSlowdown = 20
)

// workEstimate tracks the time that a service's requests take, separately for cache hits and misses.
type workEstimate struct {
	hit, miss  time.Duration
	all        time.Duration
	initial    time.Duration // Assumed work of a miss before there are samples.
	cacheSize  float64       // Estimated number of objects that an upstream caches.
	sureMisses float64       // Average share of missed objects among those that should have been cached however small the cache is.
	overtakes  float64       // Average share of jobs that ended before the first one with their object, if they started while it ran.
	samples    sampleCounts
}

// sampleCounts counts recorded requests.
type sampleCounts struct{ hit, miss, all int }

// likelyCached reports whether an upstream is expected to have an object cached.
func (w *workEstimate) likelyCached(m recentObjects, object uint64) bool {
	distance, ok := m.reuseDistance(object)
	return ok && float64(distance) < w.cacheSize
}

// ownerDiscount returns the work that an object is expected to save on its owner, which may have it cached.
func (w *workEstimate) ownerDiscount(m recentObjects, object uint64) time.Duration {
	if _, sent := m.reuseDistance(object); sent {
		return 0 // The reuse distance already tells whether to expect a hit.
	}
	return time.Duration(ownerHitProbability * float64(w.expected(false)-w.expected(true)))
}

// returnDiscount returns the work that an object is expected to save on an upstream that should have dropped it since. Without it such
// objects go anywhere, and nothing shows that the caches are larger than estimated.
func (w *workEstimate) returnDiscount(distance int) time.Duration {
	chance := returnHitProbability * max(0, 2-float64(distance)/w.cacheSize)
	return time.Duration(chance * float64(w.expected(false)-w.expected(true)))
}

// looksLikeMiss reports whether a request took so long that its object was not cached. It is false while hits and misses
// can't be told apart.
func (w *workEstimate) looksLikeMiss(took time.Duration) bool {
	return w.distinct() && took >= (w.hit+w.miss)/2
}

// longRunRatio is the ratio of a job's time to the work of a miss from which the length belongs to the run: the job says nothing about the
// cache. A few in a hundred jobs take several times as long, and two cached ones in a row would look like a lost cache.
const longRunRatio = 1.6

// tooLong reports whether a request took so long that neither a hit nor a miss explains it.
func (w *workEstimate) tooLong(took time.Duration) bool {
	return w.miss > 0 && float64(took) > longRunRatio*float64(w.miss)
}

// distinct reports whether hits and misses differ enough to be told apart.
func (w *workEstimate) distinct() bool { return w.hit > 0 && w.miss >= 2*w.hit }

// surelyCached reports whether an object with a reuse distance is cached unless the upstream has lost its cache.
func (w *workEstimate) surelyCached(distance int) bool {
	return float64(distance) < max(minCacheSize, w.cacheSize/2)
}

// adjustCacheSize moves the estimated cache size towards a reuse distance whose hit or miss it predicted wrongly. The job's time is given
// twice, divided by the longest and by the shortest time that work may take on the upstream: only what is a hit or a miss by both counts, since
// a miss on an upstream that is wrongly taken for slow looks like a hit.
func (w *workEstimate) adjustCacheSize(distance int, took, longest time.Duration) {
	if !w.distinct() || w.surelyCached(distance) || w.looksLikeMiss(took) != w.looksLikeMiss(longest) {
		return
	}
	hit, predicted := !w.looksLikeMiss(took), float64(distance) < w.cacheSize
	weight := growWeight
	if predicted {
		weight = shrinkWeight * max(0, 1-w.sureMisses/maxSureMisses)
	}
	if hit != predicted {
		w.cacheSize = max(minCacheSize, w.cacheSize+weight*(float64(distance)-w.cacheSize))
	}
}

// maxSureMisses is the share of unexpected misses of recent objects above which no miss counts against the size of the caches: upstreams
// have lost them, or are slow.
const maxSureMisses = 0.1

// noteSureMiss records whether an object that should have been cached however small the cache is was missed.
func (w *workEstimate) noteSureMiss(missed bool) {
	sample := 0.0
	if missed {
		sample = 1
	}
	w.sureMisses += workWeight * (sample - w.sureMisses)
}

// certainty tells what is known about a request's object before the request runs.
type certainty int

const (
	// unsure means that the object may be cached.
	unsure certainty = iota
	// certainHit means that the object was used so recently that it is cached, however small the cache is.
	certainHit
	// certainMiss means that the upstream has not had the object.
	certainMiss
)

// certaintyOf returns what a reuse distance tells about a request.
func certaintyOf(distance int, reused bool) certainty {
	switch {
	case !reused:
		return certainMiss
	case distance < minCacheSize:
		return certainHit
	}
	return unsure
}

// mean returns the mean work of all requests.
func (w *workEstimate) mean() time.Duration {
	if w.all > 0 {
		return w.all
	}
	return w.initial
}

// expected returns the expected work of a cache hit or miss.
func (w *workEstimate) expected(hit bool) time.Duration {
	miss := w.initial
	switch {
	case hit && w.hit > 0:
		return w.hit
	case w.miss > 0:
		miss = w.miss
	case w.hit > 0:
		return w.hit
	}
	if hit {
		return time.Duration(initialHitShare * float64(miss))
	}
	return miss
}

// hasSamples reports whether a cache hit or miss has been recorded.
func (w *workEstimate) hasSamples(hit bool) bool { return hit && w.hit > 0 || !hit && w.miss > 0 }

// record updates the moving averages with the time of a request. The caller must leave out requests that the upstream
// queued. Only certain hits and misses count as such: if predictions did, a wrong estimate of the cache size would make the
// two averages alike, and then never be corrected.
func (w *workEstimate) record(c certainty, took, expected time.Duration) {
	w.samples.all++
	update(&w.all, w.samples.all, min(took, w.longest(expected, w.samples.all)))
	switch c {
	case certainHit:
		w.samples.hit++
		update(&w.hit, w.samples.hit, min(took, w.longest(w.hit, w.samples.hit)))
	case certainMiss:
		w.samples.miss++
		update(&w.miss, w.samples.miss, min(took, w.longest(w.miss, w.samples.miss)))
	}
}

// maxSampleRatio bounds a sample as a multiple of what it is expected to be. A few jobs in a hundred take several times as long, and one of
// them would otherwise move an average by a third. If all jobs take longer, the averages still follow within some tens of samples.
const maxSampleRatio = 2.5

// unboundedSamples is the number of first samples that are not bounded. With few samples an average may be far from the usual time; bounded by
// it, the first misses count as hits, and jobs are placed badly until the averages have recovered.
const unboundedSamples = 20

// longest returns the bound of a sample of a job with the given expected work. The work of a miss is within it: it is no outlier where a hit
// was expected. The number of samples is that of the average that the sample moves.
func (w *workEstimate) longest(expected time.Duration, samples int) time.Duration {
	if samples <= unboundedSamples {
		return math.MaxInt64
	}
	if expected == 0 {
		expected = max(w.all, w.miss)
	}
	return max(w.miss, time.Duration(maxSampleRatio*float64(expected)))
}

// update moves an average towards its nth sample. The first samples weigh more, so that no single one stands for the service.
func update(mean *time.Duration, n int, sample time.Duration) {
	*mean += time.Duration(max(workWeight, 1/float64(n)) * float64(sample-*mean))
}

// recentObject is an object that was sent to an upstream.
type recentObject struct {
	hash  uint64
	grant uint64 // ID of the last grant of a job with the object.
}

// recentObjects holds the objects last sent to an upstream, newest last.
type recentObjects []recentObject

// index returns the position of an object, or -1 if it is not tracked.
func (m recentObjects) index(object uint64) int {
	for at := len(m) - 1; at >= 0; at-- {
		if m[at].hash == object {
			return at
		}
	}
	return -1
}

// reuseDistance returns the number of other objects sent to the upstream since the given object, or false if that
// object is not tracked.
func (m recentObjects) reuseDistance(object uint64) (int, bool) {
	if object == 0 {
		return 0, false
	}
	at := m.index(object)
	return len(m) - 1 - at, at >= 0
}

// remove drops an object.
func (m recentObjects) remove(object uint64) recentObjects {
	if at := m.index(object); at >= 0 {
		return slices.Delete(m, at, at+1)
	}
	return m
}

// add appends an object, and drops the oldest if there are too many.
func (m recentObjects) add(object, grant uint64) recentObjects {
	if object == 0 {
		return m
	}
	if at := m.index(object); at >= 0 {
		m = slices.Delete(m, at, at+1)
	}
	if len(m) >= maxRecentObjects {
		m = slices.Delete(m, 0, 1)
	}
	return append(m, recentObject{object, grant})
}

// rttEstimates holds the round-trip time from one failure domain to another.
type rttEstimates map[[2]string]time.Duration

// Assumed round-trip times before a connection was opened, by locality.
var initialRTT = [...]time.Duration{SameDomain: time.Millisecond, SameRegion: 3 * time.Millisecond, OtherRegion: 60 * time.Millisecond}

// crossingPenalty is added to the round trip because traffic between failure domains and regions is billed.
var crossingPenalty = [...]time.Duration{SameDomain: 0, SameRegion: 25 * time.Millisecond, OtherRegion: 40 * time.Millisecond}

func (r rttEstimates) expected(from *roster.Host, u *roster.Upstream) time.Duration {
	if d, ok := r[[2]string{from.Domain, u.Domain}]; ok {
		return d
	}
	return initialRTT[localityOf(from, u)]
}

// record adds the time that a connection took to open.
func (r rttEstimates) record(from, to string, took time.Duration) {
	if took <= 0 {
		return
	}
	key := [2]string{from, to}
	if old, ok := r[key]; ok {
		took = old + time.Duration(sampleWeight*float64(took-old))
	}
	r[key] = took
}

package place

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// sampleWeight is the weight of the newest sample in an exponential moving average.
	sampleWeight = 0.2
	// maxFailureRate is the average failure rate above which an upstream is ejected.
	maxFailureRate = 0.35
	// failuresToEject is the number of consecutive failures that ejects an upstream regardless of its failure rate.
	failuresToEject = 3
	// maxEjectedShare is the share of a pool's upstreams that may be ejected for failures. Failures of more upstreams have a
	// common cause, and the others would be overloaded.
	maxEjectedShare = 0.3
	// minEjection and maxEjection bound the ejection time, which doubles while the upstream keeps failing.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxReportDelay bounds the time between an upstream's recovery and the arrival of its first report: a heartbeat
	// of 1.5 s, a read of the store and the update from the host that reads it.
	maxReportDelay = 2500 * time.Millisecond
	// coldRateShare is the share of a cold upstream's rate that one placing host uses. Up to three hosts may act as
	// the placing host at the same time, and together they must stay below 1.5 times the rate plus a small constant.
	coldRateShare = 0.5
	// warmupInterval is the interval at which a cold upstream gets a request even if others would answer sooner.
	warmupInterval = time.Second
)

// load tracks the load and health of one incarnation of an upstream.
type load struct {
	upstream            *roster.Upstream
	hash                uint64  // Hash of the upstream's ID.
	domainIndex         int     // Index of its failure domain in Scheduler.domains.
	assigned            bool    // This host's pool uses the upstream: it owns or borrows it.
	inView              bool    // The current view contains the upstream.
	running             int     // Jobs running on the upstream.
	limit               int     // Jobs that may run at the same time, as computed for the last job considered.
	queued              int     // Jobs queued for the upstream.
	slowdown            float64 // Average ratio of actual to expected work.
	ratios              recentRatios
	pace                paceState
	factor              float64 // Expected ratio of actual to expected work of an upstream that reports its pace, as computed for the last job considered.
	recent              recentObjects
	unexpectedMisses    int                // Consecutive misses of objects that should have been cached.
	lostBefore          uint64             // The oldest grant among these; what was sent before it may be lost.
	warming             map[uint64]warming // Jobs that run for the first time with an object, by object; the upstream hasn't cached it yet.
	lastWarmup          time.Time          // When a cold upstream last got a request.
	failureRate         float64            // Exponential moving average of failures, 0 to 1.
	consecutiveFailures int
	ejectedUntil        time.Time
	ejection            time.Duration
	tokens              float64
	refilledAt          time.Time
	coldUntil           time.Time
	leaving             bool                 // The upstream announced that it leaves, which is final for an incarnation.
	pausedUntil         map[string]time.Time // When a host may send to the upstream again, by host.
}

// accepts reports whether the upstream takes requests from a host.
func (l *load) accepts(now time.Time, host string) bool {
	return !l.leaving && !now.Before(l.pausedUntil[host])
}

// expectedWork returns the expected work of a job on the upstream.
func (l *load) expectedWork(w *workEstimate, object uint64) time.Duration {
	return w.expected(w.likelyCached(l.recent, object))
}

// missesToForget is the number of consecutive misses of objects that should be cached after which the upstream is assumed to
// have lost its cache.
const missesToForget = 2

// noteCached records whether the object of a grant, which should have been cached, was missed. What was sent to the upstream since the
// first of the missed grants is cached again: forgetting that too made the hits return slowly after a loss.
func (l *load) noteCached(grant uint64, missed bool) {
	if !missed {
		l.unexpectedMisses = 0
		return
	}
	if l.unexpectedMisses == 0 || grant < l.lostBefore {
		l.lostBefore = grant
	}
	if l.unexpectedMisses++; l.unexpectedMisses >= missesToForget {
		l.unexpectedMisses = 0
		l.recent = slices.DeleteFunc(l.recent, func(o recentObject) bool { return o.grant < l.lostBefore })
	}
}

// recordRequest records what the upstream asked of a host in a reply.
func (l *load) recordRequest(now time.Time, host string, r *Result) {
	l.leaving = l.leaving || r.Leaving
	if r.RetryAfter > 0 {
		if l.pausedUntil == nil {
			l.pausedUntil = map[string]time.Time{}
		}
		l.pausedUntil[host] = now.Add(r.RetryAfter)
	}
}

// queueFactor returns the expected wait of one more job, as a multiple of the mean work. It includes a penalty for a
// nearly full upstream, because the next job for one of its cached objects would have to wait.
func (l *load) queueFactor() float64 {
	limit := float64(l.limit)
	busy := min(1, float64(l.running)/limit)
	return max(0, (float64(l.running+l.queued+1)-limit)/limit) + utilizationPenalty*busy*busy
}

// utilizationPenalty is the cost of a full upstream in addition to its queue, as a multiple of the mean work.
const utilizationPenalty = 0.4

// ejected reports whether the upstream is ejected.
func (l *load) ejected(now time.Time) bool { return now.Before(l.ejectedUntil) }

// cold reports whether the upstream is cold.
func (l *load) cold(now time.Time) bool { return now.Before(l.coldUntil) }

// markCold treats the upstream as cold until the given time. It never shortens a cold period.
func (l *load) markCold(now, until time.Time) {
	if !until.After(l.coldUntil) {
		return
	}
	if !l.cold(now) {
		l.tokens, l.refilledAt = 1, now
	}
	l.coldUntil = until
}

// refillTokens adds the tokens accumulated since the last refill of a cold upstream's token bucket.
func (l *load) refillTokens(now time.Time, rate float64) {
	if gap := now.Sub(l.refilledAt); gap > 0 {
		l.refilledAt = now
		l.tokens = min(1, l.tokens+rate*coldRateShare*gap.Seconds())
	}
}

// idleDecay is the share by which an idle upstream's slowdown and failure rate return to normal on each sweep. Without
// jobs, nothing else would show that it has recovered.
const idleDecay = 0.1

func (l *load) decay() {
	if l.running == 0 {
		l.slowdown += idleDecay * (1 - l.slowdown)
		l.pace.residual += idleDecay * (1 - l.pace.residual)
		l.failureRate *= 1 - idleDecay
	}
}

// normalizeSlowdowns scales the slowdowns of a pool down to a mean of 1. If all its upstreams seem slow, the expected work
// was too low; without this, no job would be started there any more that could show it.
func normalizeSlowdowns(pool []*load) {
	normalize(pool, func(l *load) *float64 { return &l.slowdown })
	normalize(pool, func(l *load) *float64 { return &l.pace.residual })
}

// normalize scales one average of a pool's upstreams down to a mean of 1.
func normalize(pool []*load, average func(l *load) *float64) {
	sum := 0.0
	for _, l := range pool {
		sum += *average(l)
	}
	if mean := sum / float64(len(pool)); mean > 1 {
		for _, l := range pool {
			v := average(l)
			*v = max(minSlowdown, *v/mean)
		}
	}
}

// Result describes how a job ended on an upstream.
type Result struct {
	Duration      time.Duration
	DialTime      time.Duration // Time to open the connection; 0 if an open one was used.
	QueueLength   int           // Length of the upstream's own queue, as it reported.
	Succeeded     bool          // The upstream sent a complete answer that is not a server error.
	Inconclusive  bool          // The result says nothing about the upstream: the caller left or the job's time was too short.
	Shed          bool          // The upstream rejected the job without running it.
	AddressReused bool          // The address now belongs to another upstream.
	Unreachable   bool          // The connection failed or the upstream appears to have crashed.
	Crashed       bool          // The upstream appears to have crashed while it ran the job.
	Leaving       bool          // The upstream announced that it leaves.
	RetryAfter    time.Duration // The upstream wants no requests from the host for this time; 0 if it takes them.
	NotRun        bool          // No upstream has run the job or will.
	Pace          float64       // How long work takes on the upstream, relative to the usual, as it reported; 0 if unknown.

	ExpectedWork time.Duration // Expected work, without the round trip; 0 if unknown.
	RTT          time.Duration // Expected round-trip time.
	Span         paceSpan      // The upstream's pace during the job; zero if it reports none.
}

// recordSlowdown updates the averages with the ratio of a job's actual to its expected work. If the upstream reports its pace, what remains
// after division by it is learned separately, so that nothing is counted twice.
func (l *load) recordSlowdown(ratio float64, span paceSpan) {
	if span != (paceSpan{}) {
		p := &l.pace
		pace := span.best(ratio, p.residual)
		p.errPace += sampleWeight * (logError(ratio, pace*p.residual) - p.errPace)
		p.errFlat += sampleWeight * (logError(ratio, l.slowdown) - p.errFlat)
		p.residual = nextSlowdown(p.residual, p.ratios.add(ratio/pace))
	}
	l.slowdown = nextSlowdown(l.slowdown, l.ratios.add(ratio))
}

// recordCutOff records a job that ended without an answer, at its deadline or since its caller left: it would have taken at least as long.
// It answers an upstream on which every job reaches its deadline, which no answer would ever show to be slow.
func (l *load) recordCutOff(r *Result) {
	if r.ExpectedWork <= 0 {
		return
	}
	ratio := float64(r.Duration-r.RTT) / float64(r.ExpectedWork)
	if ratio > l.slowdown && ratio > minCutOffRatio {
		l.slowdown = nextSlowdown(l.slowdown, l.ratios.add(ratio))
	}
	if r.Span != (paceSpan{}) && ratio/r.Span.most() > max(minCutOffRatio, l.pace.residual) {
		l.pace.residual = nextSlowdown(l.pace.residual, l.pace.ratios.add(ratio/r.Span.most()))
	}
}

// minCutOffRatio is the ratio of actual to expected work from which a job that was cut off counts: usual times vary within it.
const minCutOffRatio = 1.5

// recentRatios holds the ratios of actual to expected work of the last jobs, newest first.
type recentRatios [3]float64

// add adds a ratio and returns the median. A few jobs in a hundred take several times as long: the median leaves out such a job if it is
// alone, and follows an upstream that has become slow with its second job.
func (r *recentRatios) add(ratio float64) float64 {
	if r[1] == 0 {
		r[1], r[2] = 1, 1 // Until the upstream has run three jobs, it is assumed to be as fast as expected.
	}
	r[0], r[1], r[2] = ratio, r[0], r[1]
	return max(min(r[0], r[1]), min(max(r[0], r[1]), r[2]))
}

// nextSlowdown moves an average slowdown towards a sample.
func nextSlowdown(average, sample float64) float64 {
	return average + sampleWeight*(min(maxSlowdown, max(minSlowdown, sample))-average)
}

// recordResult updates the failure rate, ejection and slowdown with the result of a job. Failures eject the upstream only if
// mayEject is set; an upstream that can't be reached is always ejected.
func (l *load) recordResult(now time.Time, r Result, mayEject bool) {
	if r.AddressReused {
		l.ejectedUntil = now.Add(maxEjection)
		return
	}
	if r.Inconclusive {
		l.recordCutOff(&r)
		return
	}
	if r.Succeeded {
		l.failureRate *= 1 - sampleWeight
		l.consecutiveFailures, l.ejection = 0, 0
		if r.ExpectedWork > 0 {
			l.recordSlowdown(float64(r.Duration-r.RTT)/float64(r.ExpectedWork), r.Span)
		}
		return
	}
	if r.Shed {
		return
	}
	l.failureRate += sampleWeight * (1 - l.failureRate)
	l.consecutiveFailures++
	if r.Unreachable || mayEject && (l.consecutiveFailures >= failuresToEject || l.failureRate > maxFailureRate) {
		l.ejection = min(maxEjection, max(minEjection, 2*l.ejection))
		l.ejectedUntil = now.Add(l.ejection)
		l.failureRate /= 2
	}
	if r.Unreachable && l.ejection > minEjection {
		l.markCold(now, l.ejectedUntil.Add(maxReportDelay)) // The upstream is down and will be cold when it returns.
	}
}

package place

import (
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
	assigned            bool    // This region uses the upstream: it owns or borrows it.
	inView              bool    // The current view contains the upstream.
	running             int     // Jobs running on the upstream.
	limit               int     // Jobs that may run at the same time, as computed for the last job considered.
	queued              int     // Jobs queued for the upstream.
	slowdown            float64 // Average ratio of actual to expected work.
	recent              recentObjects
	lastWarmup          time.Time // When a cold upstream last got a request.
	failureRate         float64   // Exponential moving average of failures, 0 to 1.
	consecutiveFailures int
	ejectedUntil        time.Time
	ejection            time.Duration
	tokens              float64
	refilledAt          time.Time
	coldUntil           time.Time
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
		l.failureRate *= 1 - idleDecay
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

	ExpectedWork time.Duration // Expected work, without the round trip; 0 if unknown.
	RTT          time.Duration // Expected round-trip time.
}

// recordResult updates the failure rate, ejection and slowdown with the result of a job.
func (l *load) recordResult(now time.Time, r Result) {
	if r.AddressReused {
		l.ejectedUntil = now.Add(maxEjection)
		return
	}
	if r.Inconclusive {
		return
	}
	if r.Succeeded {
		l.failureRate *= 1 - sampleWeight
		l.consecutiveFailures, l.ejection = 0, 0
		if r.ExpectedWork > 0 {
			sample := min(maxSlowdown, max(minSlowdown, float64(r.Duration-r.RTT)/float64(r.ExpectedWork)))
			l.slowdown += sampleWeight * (sample - l.slowdown)
		}
		return
	}
	if r.Shed {
		return
	}
	l.failureRate += sampleWeight * (1 - l.failureRate)
	l.consecutiveFailures++
	if r.Unreachable || l.consecutiveFailures >= failuresToEject || l.failureRate > maxFailureRate {
		l.ejection = min(maxEjection, max(minEjection, 2*l.ejection))
		l.ejectedUntil = now.Add(l.ejection)
		l.failureRate /= 2
	}
	if r.Unreachable && l.ejection > minEjection {
		l.markCold(now, l.ejectedUntil.Add(maxReportDelay)) // The upstream is down and will be cold when it returns.
	}
}

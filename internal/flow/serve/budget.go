package serve

import (
	"sync"
	"time"
)

// BudgetConfig configures the retry budget, which all hosts share.
type BudgetConfig struct {
	Ratio        float64       // Retries allowed per request.
	ExtraRetries float64       // Additional retries allowed per window, for all hosts together.
	Window       time.Duration // The length of the sliding window.
}

const (
	// usableShare is the fraction of its share of the budget that a host may spend. A host may briefly see fewer hosts than
	// there are, which makes its computed share too large, and retries may reach the upstream in another window than they were
	// spent in.
	usableShare = 0.8
	// finalPeriod is the period over which the failures of final attempts are counted. It is short, so that a disturbance is noticed
	// before its first failures have used up the budget of the whole window.
	finalPeriod = 2 * time.Second
	// minFinalPeriod is the shortest period from which a rate of such failures is estimated; in less, a few of them would stand for many.
	minFinalPeriod = 500 * time.Millisecond
)

// hedgeShare is the part of a host's retries that second attempts of running jobs may take. The rest is kept for jobs that
// have failed, since those have no other way to an answer.
const hedgeShare = 0.5

// Budget is this host's share of the retry budget, by service.
type Budget struct {
	mu       sync.Mutex
	config   BudgetConfig
	services map[string]*history
}

// history holds the send times of one service's requests and retries within the window.
type history struct {
	requests []time.Time
	retries  []time.Time // Including the hedges.
	hedges   []time.Time

	finalRetries  []time.Time // Retries of final attempts.
	finalFailures []time.Time // Final attempts that failed within finalPeriod, retried or not.
}

// NewBudget returns an unused budget.
func NewBudget(c BudgetConfig) *Budget { return &Budget{config: c, services: map[string]*history{}} }

// SetConfig replaces the configuration.
func (b *Budget) SetConfig(c BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = c
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(now, service)
	h.requests = append(h.requests, now)
}

// SpendRetry reports whether this host's share, with the given number of hosts, allows another retry, and records the
// retry if so. It answers upstreams that all reject a large part of their jobs, so that there are more failures than retries: as many
// of them as callers need who come back after a failure are kept for these, since they don't come back again.
func (b *Budget) SpendRetry(now time.Time, service string, hosts int, final bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(now, service)
	kept := 0.0
	if final {
		h.finalFailures = append(h.finalFailures, now)
	} else {
		kept = max(0, h.expectedFinals(now, b.config.Window)-float64(len(h.finalRetries)))
	}
	if float64(len(h.retries)+1)+kept > b.limit(h, hosts) {
		return false
	}
	h.retries = append(h.retries, now)
	if final {
		h.finalRetries = append(h.finalRetries, now)
	}
	return true
}

// expectedFinals returns the number of final attempts that are expected to fail in a window, at their present rate. A single failure
// says nothing about the rate.
func (h *history) expectedFinals(now time.Time, window time.Duration) float64 {
	n := len(h.finalFailures)
	if n < 2 {
		return 0
	}
	period := max(minFinalPeriod, now.Sub(h.finalFailures[0]))
	return float64(n-1) * float64(window) / float64(period)
}

// limit returns the number of retries that this host's share allows within the window.
func (b *Budget) limit(h *history, hosts int) float64 {
	return usableShare * (b.config.Ratio*float64(len(h.requests)) + b.config.ExtraRetries/float64(max(1, hosts)))
}

// MayHedge reports whether this host's share allows another second attempt of a running job. It answers a long tail of run
// times together with failures: second attempts count as retries, and leave half of the share to them.
func (b *Budget) MayHedge(now time.Time, service string, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayHedge(b.history(now, service), hosts)
}

// SpendHedge reports the same, and records the second attempt if it is allowed.
func (b *Budget) SpendHedge(now time.Time, service string, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(now, service)
	if !b.mayHedge(h, hosts) {
		return false
	}
	h.retries, h.hedges = append(h.retries, now), append(h.hedges, now)
	return true
}

func (b *Budget) mayHedge(h *history, hosts int) bool {
	limit := b.limit(h, hosts)
	return float64(len(h.retries)+1) <= limit && float64(len(h.hedges)+1) <= hedgeShare*limit
}

func (b *Budget) history(now time.Time, service string) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	h.requests = dropBefore(h.requests, now.Add(-b.config.Window))
	h.retries = dropBefore(h.retries, now.Add(-b.config.Window))
	h.hedges = dropBefore(h.hedges, now.Add(-b.config.Window))
	h.finalRetries = dropBefore(h.finalRetries, now.Add(-b.config.Window))
	h.finalFailures = dropBefore(h.finalFailures, now.Add(-finalPeriod))
	return h
}

// dropBefore returns the times from start on; times must be in ascending order.
func dropBefore(times []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(start) {
		n++
	}
	return times[n:]
}

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

// usableShare is the fraction of its share of the budget that a host may spend. A host may briefly see fewer hosts than
// there are, which makes its computed share too large.
const usableShare = 0.8

// Budget is this host's share of the retry budget, by service.
type Budget struct {
	mu       sync.Mutex
	config   BudgetConfig
	services map[string]*history
}

// history holds the send times of one service's requests and retries within the window.
type history struct {
	requests []time.Time
	retries  []time.Time
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
// retry if so.
func (b *Budget) SpendRetry(now time.Time, service string, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(now, service)
	limit := usableShare * (b.config.Ratio*float64(len(h.requests)) + b.config.ExtraRetries/float64(max(1, hosts)))
	if float64(len(h.retries)+1) > limit {
		return false
	}
	h.retries = append(h.retries, now)
	return true
}

func (b *Budget) history(now time.Time, service string) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	h.requests = dropBefore(h.requests, now.Add(-b.config.Window))
	h.retries = dropBefore(h.retries, now.Add(-b.config.Window))
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

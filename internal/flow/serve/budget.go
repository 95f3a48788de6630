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

// usableShare is the part of its share that a host spends. Hosts may briefly undercount each other, which makes each
// share too large.
const usableShare = 0.8

// Budget is this host's share of the retry budget, by service.
type Budget struct {
	mu       sync.Mutex
	terms    BudgetConfig
	services map[string]*history
}

// history holds the send times of one service's requests and retries within the window.
type history struct {
	requests []time.Time
	retries  []time.Time
}

// NewBudget returns an unused budget.
func NewBudget(t BudgetConfig) *Budget { return &Budget{terms: t, services: map[string]*history{}} }

// SetConfig replaces the configuration.
func (b *Budget) SetConfig(t BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = t
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
	limit := usableShare * (b.terms.Ratio*float64(len(h.requests)) + b.terms.ExtraRetries/float64(max(1, hosts)))
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
	h.requests = dropBefore(h.requests, now.Add(-b.terms.Window))
	h.retries = dropBefore(h.retries, now.Add(-b.terms.Window))
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

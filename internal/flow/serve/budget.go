package serve

import (
	"sync"
	"time"
)

// Terms is the retry budget that all hosts share.
type Terms struct {
	Ratio  float64       // Retries for each request.
	Slack  float64       // Retries in a window besides.
	Window time.Duration // Any span of this length counts.
}

// part is how much of its share a host spends: others may count fewer hosts than there are for a moment.
const part = 0.8

// Budget is this host's share of the retry budget of each service.
type Budget struct {
	mu       sync.Mutex
	terms    Terms
	services map[string]*ledger
}

// ledger holds when requests and retries of one service were sent, within the window.
type ledger struct {
	firsts  []time.Time
	retries []time.Time
}

// NewBudget returns a budget that nothing has been spent of.
func NewBudget(t Terms) *Budget { return &Budget{terms: t, services: map[string]*ledger{}} }

// SetTerms changes the terms.
func (b *Budget) SetTerms(t Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = t
}

// First notes a request for a service.
func (b *Budget) First(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.at(now, service)
	l.firsts = append(l.firsts, now)
}

// Retry spends a retry if the share of this host, one of so many, leaves room for it.
func (b *Budget) Retry(now time.Time, service string, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.at(now, service)
	limit := part * (b.terms.Ratio*float64(len(l.firsts)) + b.terms.Slack/float64(max(1, hosts)))
	if float64(len(l.retries)+1) > limit {
		return false
	}
	l.retries = append(l.retries, now)
	return true
}

func (b *Budget) at(now time.Time, service string) *ledger {
	l := b.services[service]
	if l == nil {
		l = &ledger{}
		b.services[service] = l
	}
	l.firsts = since(l.firsts, now.Add(-b.terms.Window))
	l.retries = since(l.retries, now.Add(-b.terms.Window))
	return l
}

// since drops the times before a start.
func since(times []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(start) {
		n++
	}
	return times[n:]
}

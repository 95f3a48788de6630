package held

import (
	"sync"
	"sync/atomic"
)

const (
	// FreeBytes is the size of a body, and of the answers to a request, that is accepted however much others take, so that
	// large ones don't keep out the rest. It is not counted.
	FreeBytes = 8 << 10
	// crowdedShare is the part of the limit above which callers that read slowly are no longer waited for.
	crowdedShare = 0.5
	// bodyShare is the part of the limit above which no body is accepted. A refused body costs least: nothing has run for it.
	bodyShare = 0.65
	// repeatableShare is the part of the limit above which no answer to a request that may be repeated is read. The rest is
	// kept for the answers to requests that run at most once, which nobody can ask for again.
	repeatableShare = 0.85
)

// Budget is the limit of a host.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewBudget returns an unused budget with a limit in bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.limit.Store(limit)
	return b
}

// SetLimit replaces the limit.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Used returns the bytes that are counted.
func (b *Budget) Used() int64 { return b.used.Load() }

// Crowded reports whether so much is used that callers that read slowly must be given up. It answers many callers that read a few
// KB a second: without it, what waits for them would take the memory of all others for as long as a write may last.
func (b *Budget) Crowded() bool {
	return float64(b.used.Load()) > crowdedShare*float64(b.limit.Load())
}

// NewAccount returns the account of a request.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Account counts what is held for one request: its body, the answers that are read for it, and the response until it is
// written. It may be used by several goroutines. A nil account counts and refuses nothing.
type Account struct {
	budget *Budget

	mu      sync.Mutex
	body    int64
	answers int64
	settled bool
}

// counted returns the part of n bytes that counts.
func counted(n int64) int64 { return max(0, n-FreeBytes) }

// GrowBody takes n bytes for the request's body; it returns false if there is no room.
func (a *Account) GrowBody(n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled || !a.grow(a.body, a.body+n, bodyShare) {
		return false
	}
	a.body += n
	return true
}

// GrowAnswer takes n bytes for an answer that is being read; it returns false if there is no room, or if the request has ended.
func (a *Account) GrowAnswer(n int64, repeatable bool) bool {
	if a == nil {
		return true
	}
	share := 1.0
	if repeatable {
		share = repeatableShare
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled || !a.grow(a.answers, a.answers+n, share) {
		return false
	}
	a.answers += n
	return true
}

// ShrinkAnswer returns n bytes of an answer that is dropped.
func (a *Account) ShrinkAnswer(n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled {
		return // Settle has returned them.
	}
	a.budget.used.Add(counted(a.answers-n) - counted(a.answers))
	a.answers -= n
}

// grow takes the bytes for a buffer that grows from one size to another. A request that is the only one may exceed the limit,
// since it would be refused each time it is sent again.
func (a *Account) grow(from, to int64, share float64) bool {
	n := counted(to) - counted(from)
	own := counted(a.body) + counted(a.answers) + n
	for {
		used := a.budget.used.Load()
		total := used + n
		if n > 0 && float64(total) > share*float64(a.budget.limit.Load()) && total > own {
			return false
		}
		if a.budget.used.CompareAndSwap(used, total) {
			return true
		}
	}
}

// Settle registers that the request has ended, and that only n bytes of its response are still held.
func (a *Account) Settle(n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.used.Add(counted(n) - counted(a.body) - counted(a.answers))
	a.body, a.answers, a.settled = 0, n, true
}

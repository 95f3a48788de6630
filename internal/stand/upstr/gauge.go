package upstr

import (
	"slices"
	"sync"
	"time"
)

// ConcurrencyGauge measures how many jobs several upstreams ran at once, without canceled jobs: an upstream notices a
// cancellation later than the host that sent the job.
type ConcurrencyGauge struct {
	mu          sync.Mutex
	transitions []transition
}

// transition is the start or the end of a job; delta is 1 or -1.
type transition struct {
	at    time.Time
	delta int
}

// addJob records a finished job; it does nothing on a nil gauge.
func (g *ConcurrencyGauge) addJob(begin, end time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transitions = append(g.transitions, transition{begin, 1}, transition{end, -1})
}

// MaxConcurrent returns the maximum number of jobs that ran at once.
func (g *ConcurrencyGauge) MaxConcurrent() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	slices.SortFunc(g.transitions, func(a, b transition) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.delta - b.delta
	})
	running, most := 0, 0
	for _, t := range g.transitions {
		running += t.delta
		most = max(most, running)
	}
	return most
}

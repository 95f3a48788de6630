package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/deal"
)

// Follower adopts each view before traffic reads it.
type Follower interface {
	Update(now time.Time, v *roster.View)
}

// Journal records what changed a host's beliefs.
type Journal interface {
	Believe(now time.Time, n Note)
}

const (
	// tickPeriod is how often entries past their grace are looked for; well below lapseGrace.
	tickPeriod = 200 * time.Millisecond
	// eventBuffer is room for events while a view is built.
	eventBuffer = 64
)

// Loop owns the control state; its goroutine alone changes it.
type Loop struct {
	Clock     func() time.Time
	Followers []Follower
	Journal   Journal
	Done      chan struct{}

	state  *State
	events chan Event
	view   atomic.Pointer[roster.View]
}

// NewLoop returns a loop that does not run yet.
func NewLoop(self roster.Host, clock func() time.Time, journal Journal) *Loop {
	l := &Loop{Clock: clock, Journal: journal, Done: make(chan struct{}), state: NewState(self), events: make(chan Event, eventBuffer)}
	l.view.Store(l.state.View(clock()))
	return l
}

// View returns the newest view.
func (l *Loop) View() *roster.View { return l.view.Load() }

// Send hands in an event; it reports false if the context or the loop ended first.
func (l *Loop) Send(ctx context.Context, ev Event) bool {
	select {
	case l.events <- ev:
		return true
	case <-ctx.Done():
	case <-l.Done:
	}
	return false
}

// Run folds events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.Done)
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.fold(Tick{})
		case ev := <-l.events:
			l.fold(ev)
		}
	}
}

func (l *Loop) fold(ev Event) {
	now := l.Clock()
	notes := Fold(l.state, ev, now)
	for _, n := range notes {
		l.Journal.Believe(now, n)
	}
	if len(notes) == 0 && !visible(ev) {
		return
	}
	v := l.state.View(now)
	for _, f := range l.Followers {
		f.Update(now, v)
	}
	l.view.Store(v)
}

// visible tells whether an event changes the view even if it is not worth a note.
func visible(ev Event) bool {
	switch ev.(type) {
	case Tick, Asked, Follow:
		return false
	}
	return true
}

// Ask hands in a region's demand and returns the loans; it reports false if the context ended first.
func (l *Loop) Ask(ctx context.Context, a deal.Ask) (deal.Loans, bool) {
	reply := make(chan deal.Loans, 1)
	if !l.Send(ctx, Asked{Ask: a, Reply: reply}) {
		return nil, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-ctx.Done():
	case <-l.Done:
	}
	return nil, false
}

// News returns what a follower needs to know; it reports false if the context ended first.
func (l *Loop) News(ctx context.Context, after int64) (News, bool) {
	reply := make(chan News, 1)
	if !l.Send(ctx, Follow{After: after, Reply: reply}) {
		return News{}, false
	}
	select {
	case n := <-reply:
		return n, true
	case <-ctx.Done():
	case <-l.Done:
	}
	return News{}, false
}

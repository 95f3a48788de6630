package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/loans"
)

// Subscriber is updated with each new view before the view is published.
type Subscriber interface {
	Update(now time.Time, v *roster.View)
}

// Observer is told of each change of the state, for logs and metrics.
type Observer interface {
	StateChanged(now time.Time, c StateChange)
}

const (
	// tickPeriod is the interval between checks for expired entries; it must stay well below restoreGrace.
	tickPeriod = 200 * time.Millisecond
	// eventBuffer is the number of events that can queue while a view is built.
	eventBuffer = 64
)

// Loop owns the control state; only its goroutine accesses it.
type Loop struct {
	Clock       func() time.Time
	Subscribers []Subscriber
	Observer    Observer
	Done        chan struct{}

	state   *State
	events  chan Event
	view    atomic.Pointer[roster.View]
	changed atomic.Pointer[chan struct{}] // Closed when the state records a change for other hosts.
}

// NewLoop returns a loop with an empty state; call Run to start it.
func NewLoop(self roster.Host, clock func() time.Time, observer Observer) *Loop {
	l := &Loop{Clock: clock, Observer: observer, Done: make(chan struct{}), state: NewState(self), events: make(chan Event, eventBuffer)}
	l.view.Store(l.state.View(clock()))
	l.signalChange()
	return l
}

// signalChange wakes the requests that wait for news.
func (l *Loop) signalChange() {
	next := make(chan struct{})
	if previous := l.changed.Swap(&next); previous != nil {
		close(*previous)
	}
}

// View returns the latest published view.
func (l *Loop) View() *roster.View { return l.view.Load() }

// Send queues an event; it returns false if the context or the loop ended first.
func (l *Loop) Send(ctx context.Context, ev Event) bool {
	select {
	case l.events <- ev:
		return true
	case <-ctx.Done():
	case <-l.Done:
	}
	return false
}

// Run applies events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.Done)
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.apply(Tick{})
		case ev := <-l.events:
			l.apply(ev)
		}
	}
}

// apply applies an event, reports the changes to the observer and publishes a new view if it may have changed.
func (l *Loop) apply(ev Event) {
	now := l.Clock()
	recorded, synced := l.state.recorded, l.state.directSync
	stateChanges := Apply(l.state, ev, now)
	if l.state.recorded != recorded || !l.state.directSync.Equal(synced) {
		l.signalChange()
	}
	for _, c := range stateChanges {
		l.Observer.StateChanged(now, c)
	}
	if len(stateChanges) == 0 && !affectsView(ev) {
		return
	}
	v := l.state.View(now)
	for _, f := range l.Subscribers {
		f.Update(now, v)
	}
	l.view.Store(v)
}

// affectsView reports whether an event can change the view without producing a StateChange.
func affectsView(ev Event) bool {
	switch ev.(type) {
	case Tick, LoanRequest, UpdatesRequest, QuotaRequest, QuotaSettingsChanged:
		return false
	}
	return true
}

// RequestLoans submits a region's demand and returns the planned loans; it returns false if the context or the loop ended first.
func (l *Loop) RequestLoans(ctx context.Context, req loans.Request) (loans.Loans, bool) {
	reply := make(chan loans.Loans, 1)
	if !l.Send(ctx, LoanRequest{Request: req, Reply: reply}) {
		return nil, false
	}
	select {
	case loans := <-reply:
		return loans, true
	case <-ctx.Done():
	case <-l.Done:
	}
	return nil, false
}

// Updates answers a host that follows this one, and waits for news as long as it asks for; it returns false if the context or the loop ended
// first.
func (l *Loop) Updates(ctx context.Context, q Query) (Updates, bool) {
	asked := l.Clock()
	timer := time.NewTimer(q.Wait)
	defer timer.Stop()
	for expired := false; ; {
		changed := *l.changed.Load()
		updates, ok := l.requestUpdates(ctx, q.Era, q.After)
		if !ok || expired || isNews(&updates, &q, l.Clock().Sub(asked)) {
			return updates, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
		case <-l.Done:
		}
	}
}

// isNews reports whether updates are worth an answer to a query that has waited for the given time.
func isNews(u *Updates, q *Query, waited time.Duration) bool {
	isNewer, hasChanges := u.Age < q.Age+waited, u.Batch.Snapshot || len(u.Batch.Changes) > 0
	if q.Age == 0 {
		return hasChanges
	}
	return isNewer || hasChanges && u.Age < UnknownAge // A host without any state has nothing to tell.
}

func (l *Loop) requestUpdates(ctx context.Context, era, after int64) (Updates, bool) {
	reply := make(chan Updates, 1)
	if !l.Send(ctx, UpdatesRequest{Era: era, After: after, Reply: reply}) {
		return Updates{}, false
	}
	select {
	case updates := <-reply:
		return updates, true
	case <-ctx.Done():
	case <-l.Done:
	}
	return Updates{}, false
}

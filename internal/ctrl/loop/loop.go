package loop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/ctrl/state"
)

// Executor executes actions. Each call runs in its own goroutine and passes the resulting events to emit.
type Executor interface {
	Execute(ctx context.Context, act state.Action, emit func(state.Event))
}

// Subscriber is notified of each plan before the data path can read it.
type Subscriber interface {
	Update(now time.Time, p *plan.Plan)
}

// LoadReporter reports the current loads of this host by service.
type LoadReporter interface {
	Load(now time.Time) map[string]plan.Load
}

const (
	eventQueueSize = 1024
	// maxEventBatch is the maximum number of queued events that are applied before a plan is published.
	maxEventBatch = 128
)

// Loop owns the control state. The data path reads its plans and sends it events.
type Loop struct {
	Executor     Executor
	Subscribers  []Subscriber
	LoadReporter LoadReporter
	Clock        func() time.Time
	Done         chan struct{}

	state   *state.State
	events  chan state.Event
	plan    atomic.Pointer[plan.Plan]
	dropped atomic.Int64
	actions sync.WaitGroup
}

// New returns a loop, which processes events once Run is called.
func New(self plan.Identity, clock func() time.Time) *Loop {
	l := &Loop{Clock: clock, Done: make(chan struct{}), state: state.New(self), events: make(chan state.Event, eventQueueSize)}
	l.plan.Store(&plan.Plan{Self: self})
	return l
}

// Plan returns the most recently published plan.
func (l *Loop) Plan() *plan.Plan { return l.plan.Load() }

// Dropped returns the number of events that were dropped because the queue was full.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// TrySend queues an event without blocking, and drops it if the queue is full.
func (l *Loop) TrySend(ev state.Event) {
	select {
	case l.events <- ev:
	default:
		l.dropped.Add(1)
	}
}

// Send queues an event. It blocks while the queue is full, and reports false if the context or the loop ends first.
func (l *Loop) Send(ctx context.Context, ev state.Event) bool {
	select {
	case l.events <- ev:
		return true
	case <-ctx.Done():
	case <-l.Done:
	}
	return false
}

// Status returns the control state for operators.
func (l *Loop) Status(ctx context.Context) (state.Status, bool) {
	reply := make(chan state.Status, 1)
	return request(ctx, l, state.StatusRequested{Reply: reply}, reply)
}

// HandleHeartbeat processes a heartbeat from another host and returns the reply.
func (l *Loop) HandleHeartbeat(ctx context.Context, hb state.Heartbeat) (state.HeartbeatReply, bool) {
	reply := make(chan state.HeartbeatReply, 1)
	return request(ctx, l, state.HeartbeatReceived{Heartbeat: hb, Reply: reply}, reply)
}

// HandleExchange processes an exchange from another relay and returns the reply.
func (l *Loop) HandleExchange(ctx context.Context, exchange state.Exchange) (state.ExchangeReply, bool) {
	reply := make(chan state.ExchangeReply, 1)
	return request(ctx, l, state.ExchangeReceived{Exchange: exchange, Reply: reply}, reply)
}

func request[T any](ctx context.Context, l *Loop, ev state.Event, reply chan T) (T, bool) {
	var zero T
	if !l.Send(ctx, ev) {
		return zero, false
	}
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
	case <-l.Done:
	}
	return zero, false
}

// Run processes events until the context ends, then waits for the running actions.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.Done)
	defer l.actions.Wait()
	tick := time.NewTicker(state.TickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.apply(ctx, l.tick())
			l.applyQueued(ctx)
			l.publish()
		case ev := <-l.events:
			l.apply(ctx, ev)
			if l.applyQueued(ctx) || needsPublish(ev) {
				l.publish()
			}
		}
	}
}

// needsPublish reports whether the effect of an event must reach the data path before the next tick. Heartbeats and
// exchanges from other hosts, whose number grows with the size of the system, can wait.
func needsPublish(ev state.Event) bool {
	switch ev.(type) {
	case state.DocumentReceived, state.NoticeReceived, state.MembersReceived, state.HostUnreachable, state.ShutdownRequested, state.HeartbeatResult:
		return true
	}
	return false
}

func (l *Loop) tick() state.Event { return state.Tick{Loads: l.LoadReporter.Load(l.Clock())} }

// applyQueued applies the events that are already queued, so that a burst produces only one plan. It reports whether
// any of them needs a plan at once.
func (l *Loop) applyQueued(ctx context.Context) bool {
	publishNow := false
	for range maxEventBatch {
		select {
		case ev := <-l.events:
			l.apply(ctx, ev)
			publishNow = publishNow || needsPublish(ev)
		default:
			return publishNow
		}
	}
	return publishNow
}

func (l *Loop) apply(ctx context.Context, ev state.Event) {
	emit := func(ev state.Event) { l.Send(ctx, ev) }
	for _, act := range state.Apply(l.state, ev, l.Clock()) {
		l.actions.Add(1)
		go func() {
			defer l.actions.Done()
			l.Executor.Execute(ctx, act, emit)
		}()
	}
}

func (l *Loop) publish() {
	now := l.Clock()
	p := state.Plan(l.state, now)
	for _, f := range l.Subscribers {
		f.Update(now, p)
	}
	l.plan.Store(p)
}

package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// pausedCalls answers calls at once, but during one of them the process stands still.
type pausedCalls struct {
	*frozenPeers
	pause    time.Duration
	armed    atomic.Bool
	stood    atomic.Int64 // For how long the process has stood still, as a time.Duration.
	answered atomic.Int64 // Calls that were answered since.
}

func (p *pausedCalls) clock() time.Time { return time.Now().Add(time.Duration(p.stood.Load())) }

func (p *pausedCalls) end() {
	if p.armed.Swap(false) {
		p.answered.Store(0)
		p.stood.Add(int64(p.pause))
		return
	}
	p.answered.Add(1)
}

func (p *pausedCalls) Updates(ctx context.Context, from roster.Host, q Query) (Updates, error) {
	updates, err := p.frozenPeers.Updates(ctx, from, q)
	p.end()
	return updates, err
}

func (p *pausedCalls) Next(ctx context.Context, after int64, wait time.Duration) (roster.Batch, error) {
	batch, err := p.frozenPeers.Next(ctx, after, wait)
	p.end()
	return batch, err
}

// syncChecker checks that no state counts as recent before a call was answered after the pause.
type syncChecker struct {
	t     *testing.T
	calls *pausedCalls
	began time.Time
}

func (s *syncChecker) Update(_ time.Time, v *roster.View) {
	woke := s.began.Add(s.calls.pause)
	if v.SyncedAt.After(woke) && s.calls.answered.Load() == 0 && s.calls.stood.Load() > 0 {
		s.t.Errorf("an answer that waited for %s was taken for a new one", s.calls.pause)
	}
}

// Guards against a host that wakes, takes an answer which waited in its socket for news, and passes that on to hosts that have newer ones.
func TestAnAnswerFromBeforeAPauseIsOld(t *testing.T) {
	for name, follows := range map[string]bool{"reader": false, "follower": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pausedCalls{frozenPeers: &frozenPeers{slow: 20 * time.Millisecond}, pause: 4 * time.Second}
				self, sources := p.addHosts(t)
				if !follows {
					self = sources[len(sources)-1].host
					p.hosts = []roster.Host{self}
				}
				l := NewLoop(self, p.clock, noopObserver{})
				checker := &syncChecker{t: t, calls: p, began: time.Now().Add(5 * time.Second)}
				l.Subscribers = []Subscriber{checker}
				ctx, cancel := context.WithCancel(t.Context())
				r := &Reader{Source: p, Peers: p, Loop: l, Clock: p.clock, Done: make(chan struct{})}
				go l.Run(ctx)
				go r.Run(ctx)
				time.Sleep(5 * time.Second)
				p.armed.Store(true)
				time.Sleep(2 * time.Second)
				cancel()
				<-r.Done
				<-l.Done
				assert.Equal(t, time.Duration(p.stood.Load()), p.pause, "the process did not stand still")
				assert.Assert(t, l.View().SyncedAt.After(checker.began.Add(p.pause)))
			})
		})
	}
}

package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// frozenPeers are the other hosts of a fleet, some of which answer nothing until a request is given up. It also implements Source.
type frozenPeers struct {
	mu       sync.Mutex
	frozen   map[string]bool
	slow     time.Duration // Time after which the others answer.
	revision int64
	requests int
	reads    int
	hosts    []roster.Host
}

// giveUpAfter is how long a request waits for an answer beyond its long poll.
const giveUpAfter = 1200 * time.Millisecond

func (p *frozenPeers) Updates(ctx context.Context, from roster.Host, q Query) (Updates, error) {
	p.mu.Lock()
	p.requests++
	frozen, slow := p.frozen[from.Name], p.slow
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, q.Wait+giveUpAfter)
	defer cancel()
	if frozen {
		<-ctx.Done()
		return Updates{}, errors.New("no answer")
	}
	select {
	case <-time.After(slow):
	case <-ctx.Done():
		return Updates{}, errors.New("no answer")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	return Updates{Batch: roster.Batch{Revision: p.revision, Snapshot: q.After == 0, Changes: p.changes()}}, nil
}

// Probe counts as a request.
func (p *frozenPeers) Probe(ctx context.Context, from roster.Host, _, _ time.Duration) (time.Duration, error) {
	p.mu.Lock()
	p.requests++
	frozen, slow := p.frozen[from.Name], p.slow
	p.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return 0, errors.New("no answer")
	}
	select {
	case <-time.After(slow):
		return 0, nil
	case <-ctx.Done():
		return 0, errors.New("no answer")
	}
}

func (p *frozenPeers) changes() []roster.Change {
	var out []roster.Change
	for _, h := range p.hosts {
		out = append(out, roster.Change{Kind: roster.HostKind, Name: h.Name, Host: h})
	}
	return out
}

func (p *frozenPeers) Hosts(context.Context) ([]roster.Host, error) { return p.hosts, nil }

func (p *frozenPeers) Load(ctx context.Context) (roster.Batch, error) { return p.Next(ctx, 0, 0) }

func (p *frozenPeers) Next(_ context.Context, after int64, wait time.Duration) (roster.Batch, error) {
	time.Sleep(wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	p.revision++
	return roster.Batch{Revision: p.revision, Snapshot: after == 0, Changes: p.changes()}, nil
}

// addHosts adds hosts of five failure domains, and returns one that requests news from two hosts of its domain and two readers.
func (p *frozenPeers) addHosts(t *testing.T) (roster.Host, []source) {
	for i := range 20 {
		p.hosts = append(p.hosts, roster.Host{Name: fmt.Sprint("h", i), Domain: string("abcde"[i%5]), Region: "east", Cores: 1})
	}
	for _, h := range p.hosts {
		if sources, _ := sourcesOf(&roster.View{Self: h, Hosts: p.hosts}); len(sources) == 4 {
			return h, sources
		}
	}
	t.Fatal("no host has four sources")
	return roster.Host{}, nil
}

// counts returns the requests to other hosts and the reads of the store so far.
func (p *frozenPeers) counts() (requests, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests, p.reads
}

// maxNewsAge is the time in which a change must take effect.
const maxNewsAge = 2500 * time.Millisecond

// Guards against a host that asks one frozen host after the other, and meanwhile uses upstreams that have left.
func TestNewsArriveInTimeThoughSourcesAreFrozen(t *testing.T) {
	for name, frozen := range map[string]int{
		"none": 0, "the first of the domain": 1, "both of the domain": 2, "both of the domain and a reader": 3, "all": 4,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &frozenPeers{slow: 20 * time.Millisecond}
				self, sources := p.addHosts(t)
				l := NewLoop(self, time.Now, noopObserver{})
				ctx, cancel := context.WithCancel(t.Context())
				r := &Reader{Source: p, Peers: p, Loop: l, Clock: time.Now, Done: make(chan struct{})}
				go l.Run(ctx)
				go r.Run(ctx)
				defer func() {
					cancel()
					<-r.Done
					<-l.Done
				}()
				time.Sleep(5 * time.Second)
				calm, reads := p.counts()
				p.mu.Lock()
				p.frozen = map[string]bool{}
				for i, src := range sources { // By their order, whatever the names.
					p.frozen[src.host.Name] = i < frozen
				}
				p.mu.Unlock()
				oldest := time.Duration(0)
				for range 200 {
					time.Sleep(50 * time.Millisecond)
					oldest = max(oldest, time.Since(l.View().SyncedAt))
				}
				assert.Assert(t, oldest <= maxNewsAge, "no news for %s", oldest)
				if frozen == 0 {
					all, allReads := p.counts()
					assert.Assert(t, all-calm <= 2*calm+2, "%d requests in 10 s, %d in 5 s", all-calm, calm)
					assert.Equal(t, allReads, reads)
				}
			})
		})
	}
}

// Guards against more requests to slow hosts: one that answers within its long poll must not cost a second request.
func TestASlowAnswerCostsNoSecondRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &frozenPeers{slow: sourceWait}
		self, _ := p.addHosts(t)
		v := &roster.View{Self: self, Hosts: p.hosts}
		l := NewLoop(self, time.Now, noopObserver{})
		ctx, cancel := context.WithCancel(t.Context())
		r := &Reader{Source: p, Peers: p, Loop: l, Clock: time.Now, Done: make(chan struct{})}
		r.init()
		r.revision, r.syncedAt = 1, time.Now()
		close(r.Done)
		go l.Run(ctx)
		assert.Assert(t, r.pollPeers(ctx, v))
		requests, _ := p.counts()
		assert.Equal(t, requests, 1)
		cancel()
		<-l.Done
	})
}

package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// sharedStore is a store that all hosts of a fleet read. A host that is cut off from it gets no answer.
type sharedStore struct {
	mu       sync.Mutex
	revision int64
	changes  []roster.Change
	cut      map[string]bool
	loops    map[string]*Loop
	reads    map[string]int
}

// hostStore is the store as one host sees it, and its way to the other hosts.
type hostStore struct {
	*sharedStore
	name string
}

func (h hostStore) call(ctx context.Context, wait time.Duration) error {
	h.mu.Lock()
	cut := h.cut[h.name]
	h.reads[h.name]++
	h.mu.Unlock()
	if !cut {
		return nil
	}
	select {
	case <-time.After(wait + hangTime):
	case <-ctx.Done():
	}
	return errors.New("no answer")
}

func (h hostStore) Hosts(ctx context.Context) ([]roster.Host, error) {
	if err := h.call(ctx, 0); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var hosts []roster.Host
	for _, c := range h.changes {
		if c.Kind == roster.HostKind {
			hosts = append(hosts, c.Host)
		}
	}
	return hosts, nil
}

func (h hostStore) Load(ctx context.Context) (roster.Batch, error) {
	b, err := h.Next(ctx, 0, 0)
	b.Snapshot = true
	return b, err
}

// Next returns at once, since reports of upstreams arrive all the time.
func (h hostStore) Next(ctx context.Context, after int64, wait time.Duration) (roster.Batch, error) {
	if err := h.call(ctx, wait); err != nil {
		return roster.Batch{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
	out := roster.Batch{Revision: h.revision}
	for _, c := range h.changes {
		if c.Revision > after {
			out.Changes = append(out.Changes, c)
		}
	}
	return out, nil
}

func (h hostStore) Updates(ctx context.Context, from roster.Host, q Query) (Updates, error) {
	updates, ok := h.loops[from.Name].Updates(ctx, q)
	if !ok {
		return Updates{}, errors.New("stopped")
	}
	return updates, nil
}

func (h hostStore) Probe(ctx context.Context, from roster.Host, maxAge, wait time.Duration) (time.Duration, error) {
	updates, err := h.Updates(ctx, from, Query{After: NoChanges, Wait: wait, Age: maxAge})
	return updates.Age, err
}

func (s *sharedStore) add(c roster.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.Revision = s.revision
	s.changes = append(s.changes, c)
}

// In a fleet of several failure domains, few hosts read the store, and a change reaches all hosts within 2.5 s, also if the
// first reader, or a domain's first host, was cut off from the store just before.
func TestAChangeReachesTheFleetThoughAReaderIsCutOff(t *testing.T) {
	s := &sharedStore{cut: map[string]bool{}, loops: map[string]*Loop{}, reads: map[string]int{}}
	var hosts []roster.Host
	for i := range 12 {
		h := roster.Host{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%3), Region: "east", Cores: 1}
		hosts = append(hosts, h)
		s.add(roster.Change{Kind: roster.HostKind, Name: h.Name, Host: h})
	}
	s.add(upstreamChange("u", 1, 1))
	for _, h := range hosts {
		s.loops[h.Name] = NewLoop(h, time.Now, noopObserver{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, h := range hosts {
		l := s.loops[h.Name]
		r := &Reader{Source: hostStore{s, h.Name}, Peers: hostStore{s, h.Name}, Loop: l, Clock: time.Now, Done: make(chan struct{})}
		go l.Run(ctx)
		go r.Run(ctx)
		t.Cleanup(func() { cancel(); <-r.Done; <-l.Done })
	}
	known := func() bool {
		for _, l := range s.loops {
			if len(l.View().Upstreams["s"]) != 1 || len(l.View().Hosts) != len(hosts) {
				return false
			}
		}
		return true
	}
	waitFor(t, "the first state", known)
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	clear(s.reads)
	s.mu.Unlock()
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	readers := len(s.reads)
	s.mu.Unlock()
	assert.Assert(t, readers <= maxReaders, "%d hosts read the store", readers)

	fleet := s.loops["h0"].View().FleetOrder(readerRole)
	for i, first := range []string{fleet[0].Name, fleet[2].Name} {
		s.mu.Lock()
		s.cut[first] = true
		s.mu.Unlock()
		s.add(drainingChange("u", int64(i+1), 2))
		took := waitFor(t, "the change", func() bool {
			for name, l := range s.loops {
				if name != first && len(l.View().Upstreams["s"]) != 0 {
					return false
				}
			}
			return true
		})
		t.Logf("cut %s: %s", first, took)
		assert.Assert(t, took < 2500*time.Millisecond, "%s", took)
		s.mu.Lock()
		s.cut[first] = false
		s.mu.Unlock()
		s.add(upstreamChange("u", int64(i+2), 1))
		waitFor(t, "the next incarnation", known)
		time.Sleep(time.Second)
	}
}

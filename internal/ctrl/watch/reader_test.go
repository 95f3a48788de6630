package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// fakeStore is a store that can become unreachable. A call that starts while it is unreachable hangs until its timeout,
// even if the store recovers meanwhile. It also implements PeerSource for the other hosts of the region.
type fakeStore struct {
	mu           sync.Mutex
	unreachable  bool
	refuse       bool // Calls fail immediately.
	revision     int64
	started      chan struct{}
	peerUpdates  map[string]Updates // Answers of other hosts, by name; a host without one fails.
	peerRequests map[string]int
	reads        int
	hosts        []roster.Host
}

// hangTime is how long an unanswered call takes, in addition to its long poll.
const hangTime = time.Second

func (f *fakeStore) Hosts(context.Context) ([]roster.Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse || f.unreachable {
		return nil, errors.New("refused")
	}
	return f.hosts, nil
}

func (f *fakeStore) Load(ctx context.Context) (roster.Batch, error) { return f.Next(ctx, 0, 0) }

func (f *fakeStore) Next(ctx context.Context, _ int64, wait time.Duration) (roster.Batch, error) {
	f.mu.Lock()
	unreachable := f.unreachable
	if f.refuse {
		f.reads++
		f.mu.Unlock()
		return roster.Batch{}, errors.New("refused")
	}
	f.reads++
	f.revision++
	out := roster.Batch{Revision: f.revision}
	f.mu.Unlock()
	if !unreachable {
		return out, nil
	}
	select {
	case f.started <- struct{}{}:
	default:
	}
	select {
	case <-time.After(wait + hangTime):
	case <-ctx.Done():
	}
	return roster.Batch{}, errors.New("no answer")
}

func (f *fakeStore) Updates(_ context.Context, from roster.Host, q Query) (Updates, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerRequests[from.Name]++
	updates, ok := f.peerUpdates[from.Name]
	if !ok {
		return Updates{}, errors.New("no answer")
	}
	updates.Batch.Revision = max(1, f.revision)
	updates.Batch.Snapshot = q.After == 0
	if q.After == 0 {
		for _, h := range f.hosts {
			updates.Batch.Changes = append(updates.Batch.Changes, roster.Change{Kind: roster.HostKind, Name: h.Name, Host: h})
		}
	}
	return updates, nil
}

// Probe waits until the other host's answer is recent enough.
func (f *fakeStore) Probe(ctx context.Context, from roster.Host, maxAge, wait time.Duration) (time.Duration, error) {
	f.mu.Lock()
	f.peerRequests[from.Name]++
	f.mu.Unlock()
	for end := time.Now().Add(wait); ; sleep(ctx, 5*time.Millisecond) {
		f.mu.Lock()
		updates, ok := f.peerUpdates[from.Name]
		f.mu.Unlock()
		switch {
		case !ok:
			return 0, errors.New("no answer")
		case updates.Age <= maxAge || !time.Now().Before(end):
			return updates.Age, ctx.Err()
		}
	}
}

type noopObserver struct{}

func (noopObserver) StateChanged(time.Time, StateChange) {}

func startReader(t *testing.T, f *fakeStore, hosts ...roster.Host) *Loop {
	f.started, f.peerRequests = make(chan struct{}, 1), map[string]int{}
	f.hosts = hosts
	l := NewLoop(roster.Host{Name: "self", Region: "east"}, time.Now, noopObserver{})
	for _, h := range hosts {
		l.state.hosts[h.Name] = h
	}
	l.state.cached = nil
	l.view.Store(l.state.View(time.Now()))
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{Source: f, Peers: f, Loop: l, Clock: time.Now, Done: make(chan struct{})}
	go l.Run(ctx)
	go r.Run(ctx)
	t.Cleanup(func() { cancel(); <-r.Done; <-l.Done })
	return l
}

func waitFor(t *testing.T, what string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !condition() {
		assert.Assert(t, time.Since(begin) < 10*time.Second, what)
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// TestReadsResumeSoonAfterAPartition covers a rare worst case: the partition ends just after a call started, which still
// hangs until its timeout. The host must have new data before it counts as connected again, 3 s after the end of the partition.
func TestReadsResumeSoonAfterAPartition(t *testing.T) {
	f := &fakeStore{}
	l := startReader(t, f)
	waitFor(t, "read", func() bool { return !l.View().SyncedAt.IsZero() })
	f.mu.Lock()
	f.unreachable = true
	f.mu.Unlock()
	time.Sleep(3 * time.Second) // The retry delay has reached its maximum.
	<-f.started                 // May be an earlier call.
	<-f.started
	healed := time.Now()
	f.mu.Lock()
	f.unreachable = false
	f.mu.Unlock()
	took := waitFor(t, "read again", func() bool { return l.View().SyncedAt.After(healed) })
	assert.Assert(t, took < 2*time.Second, "%s", took)
}

func TestAFollowerAsksTheReaderAndLeavesTheStoreAlone(t *testing.T) {
	f := &fakeStore{peerUpdates: map[string]Updates{"big": {}}}
	l := startReader(t, f, roster.Host{Name: "big", Region: "east", Cores: 2}, roster.Host{Name: "self", Region: "east", Cores: 1})
	waitFor(t, "changes", func() bool { return !l.View().SyncedAt.IsZero() })
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.reads, 0)
	assert.Assert(t, f.peerRequests["big"] >= 2)
}

func TestAFollowerReadsForItselfWhenNewsAreOldOrDoNotCome(t *testing.T) {
	for name, peers := range map[string]map[string]Updates{"old": {"big": {Age: 3 * time.Second}}, "none": {}} {
		t.Run(name, func(t *testing.T) {
			f := &fakeStore{peerUpdates: peers}
			l := startReader(t, f, roster.Host{Name: "big", Region: "east", Cores: 2}, roster.Host{Name: "self", Region: "east", Cores: 1})
			took := waitFor(t, "read", func() bool { return time.Since(l.View().SyncedAt) < time.Second })
			assert.Assert(t, took < 2*time.Second, "%s", took)
		})
	}
}

// If a host can't reach the store, but the reader can again, changes must arrive through the reader, although one of the
// host's own store calls may still hang.
func TestAFollowerThatIsCutOffHearsThroughTheReader(t *testing.T) {
	f := &fakeStore{unreachable: true, peerUpdates: map[string]Updates{"big": {Age: 3 * time.Second}}}
	l := startReader(t, f, roster.Host{Name: "big", Region: "east", Cores: 2}, roster.Host{Name: "self", Region: "east", Cores: 1})
	<-f.started
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	f.peerUpdates["big"] = Updates{}
	f.mu.Unlock()
	took := waitFor(t, "changes", func() bool { return !l.View().SyncedAt.IsZero() })
	assert.Assert(t, took < 2*time.Second, "%s", took)
}

// If the store refuses all calls and the region's two readers are stale, other hosts must back off further than the
// readers do, and still get changes soon after one of the readers recovers.
func TestFollowersBackOffFromAStoreThatRefuses(t *testing.T) {
	f := &fakeStore{refuse: true, peerUpdates: map[string]Updates{"big1": {Age: 9 * time.Second}, "big2": {Age: 9 * time.Second}}}
	l := startReader(t, f, roster.Host{Name: "big1", Region: "east", Cores: 2}, roster.Host{Name: "big2", Region: "east", Cores: 2}, roster.Host{Name: "self", Region: "east", Cores: 1})
	time.Sleep(6 * time.Second)
	f.mu.Lock()
	reads := f.reads
	f.peerUpdates["big2"] = Updates{}
	f.mu.Unlock()
	assert.Assert(t, reads >= 4 && reads <= 10, "%d calls in 6 s", reads)
	took := waitFor(t, "changes", func() bool { return !l.View().SyncedAt.IsZero() })
	assert.Assert(t, took < time.Second, "%s", took)
}

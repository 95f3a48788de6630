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

// fakeNet is a store that can be cut off: a call that begins then hangs for its time, whatever happens meanwhile.
type fakeNet struct {
	mu       sync.Mutex
	cut      bool
	refuse   bool // Each call is refused at once.
	revision int64
	begun    chan struct{}
	peers    map[string]News // What other hosts tell.
	asked    map[string]int
	reads    int
}

// callLife is what a call to the fake store takes besides its wait, when it gets no answer.
const callLife = time.Second

func (f *fakeNet) Load(ctx context.Context) (roster.Batch, error) { return f.Next(ctx, 0, 0) }

func (f *fakeNet) Next(ctx context.Context, _ int64, wait time.Duration) (roster.Batch, error) {
	f.mu.Lock()
	cut := f.cut
	if f.refuse {
		f.reads++
		f.mu.Unlock()
		return roster.Batch{}, errors.New("refused")
	}
	f.reads++
	f.revision++
	out := roster.Batch{Revision: f.revision}
	f.mu.Unlock()
	if !cut {
		return out, nil
	}
	select {
	case f.begun <- struct{}{}:
	default:
	}
	select {
	case <-time.After(wait + callLife):
	case <-ctx.Done():
	}
	return roster.Batch{}, errors.New("no answer")
}

func (f *fakeNet) News(_ context.Context, from roster.Host, _ int64) (News, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[from.Name]++
	n, ok := f.peers[from.Name]
	if !ok {
		return News{}, errors.New("no answer")
	}
	n.Batch.Revision = f.revision
	return n, nil
}

type silent struct{}

func (silent) Believe(time.Time, Note) {}

func follow(t *testing.T, f *fakeNet, hosts ...roster.Host) *Loop {
	f.begun, f.asked = make(chan struct{}, 1), map[string]int{}
	l := NewLoop(roster.Host{Name: "self", Region: "east"}, time.Now, silent{})
	for _, h := range hosts {
		l.state.hosts[h.Name] = h
	}
	l.view.Store(l.state.View(time.Now()))
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{Source: f, Relay: f, Loop: l, Clock: time.Now, Done: make(chan struct{})}
	go l.Run(ctx)
	go r.Run(ctx)
	t.Cleanup(func() { cancel(); <-r.Done; <-l.Done })
	return l
}

func await(t *testing.T, what string, holds func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !holds() {
		assert.Assert(t, time.Since(begin) < 10*time.Second, what)
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// A cut ends just after a call began, as seldom as that is: news must be in force again before a host counts as
// in touch, 3 s after the cut.
func TestAHostReadsOnSoonAfterACut(t *testing.T) {
	f := &fakeNet{}
	l := follow(t, f)
	await(t, "read", func() bool { return !l.View().Synced.IsZero() })
	f.mu.Lock()
	f.cut = true
	f.mu.Unlock()
	time.Sleep(3 * time.Second) // The delay between tries has grown to its most.
	<-f.begun
	<-f.begun
	healed := time.Now()
	f.mu.Lock()
	f.cut = false
	f.mu.Unlock()
	took := await(t, "read again", func() bool { return l.View().Synced.After(healed) })
	assert.Assert(t, took < 2*time.Second, "%s", took)
}

func TestAFollowerAsksTheReaderAndLeavesTheStoreAlone(t *testing.T) {
	f := &fakeNet{peers: map[string]News{"big": {}}}
	l := follow(t, f, roster.Host{Name: "big", Region: "east", Cores: 2}, roster.Host{Name: "self", Region: "east", Cores: 1})
	await(t, "news", func() bool { return !l.View().Synced.IsZero() })
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.reads, 0)
	assert.Assert(t, f.asked["big"] >= 2)
}

func TestAFollowerReadsForItselfWhenNewsAreOldOrDoNotCome(t *testing.T) {
	for name, peers := range map[string]map[string]News{"old": {"big": {Age: 3 * time.Second}}, "none": {}} {
		t.Run(name, func(t *testing.T) {
			f := &fakeNet{peers: peers}
			l := follow(t, f, roster.Host{Name: "big", Region: "east", Cores: 2}, roster.Host{Name: "self", Region: "east", Cores: 1})
			took := await(t, "read", func() bool { return time.Since(l.View().Synced) < time.Second })
			assert.Assert(t, took < 2*time.Second, "%s", took)
		})
	}
}

// This host is cut off from the store, and the reader has it again: the news come through the reader, though a call
// of this host's own still hangs.
func TestAFollowerThatIsCutOffHearsThroughTheReader(t *testing.T) {
	f := &fakeNet{cut: true, peers: map[string]News{"big": {Age: 3 * time.Second}}}
	l := follow(t, f, roster.Host{Name: "big", Region: "east", Cores: 2}, roster.Host{Name: "self", Region: "east", Cores: 1})
	<-f.begun
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	f.peers["big"] = News{}
	f.mu.Unlock()
	took := await(t, "news", func() bool { return !l.View().Synced.IsZero() })
	assert.Assert(t, took < 2*time.Second, "%s", took)
}

// The store refuses all calls, and the hosts that read for the region have no news either. The others of a large region
// call it less often than those two, and hear soon when one of them has it again.
func TestFollowersSpareAStoreThatRefuses(t *testing.T) {
	f := &fakeNet{refuse: true, peers: map[string]News{"big1": {Age: 9 * time.Second}, "big2": {Age: 9 * time.Second}}}
	l := follow(t, f, roster.Host{Name: "big1", Region: "east", Cores: 2}, roster.Host{Name: "big2", Region: "east", Cores: 2}, roster.Host{Name: "self", Region: "east", Cores: 1})
	time.Sleep(6 * time.Second)
	f.mu.Lock()
	reads := f.reads
	f.peers["big2"] = News{}
	f.mu.Unlock()
	assert.Assert(t, reads >= 4 && reads <= 10, "%d calls in 6 s", reads)
	took := await(t, "news", func() bool { return !l.View().Synced.IsZero() })
	assert.Assert(t, took < time.Second, "%s", took)
}

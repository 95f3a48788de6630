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
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// regionDelay and localDelay are one way between hosts of two regions, and of one; the store is in the region of the first host.
	regionDelay = 55 * time.Millisecond
	localDelay  = time.Millisecond
	// storeDelay is how long the store takes to answer.
	storeDelay = 4 * time.Millisecond
	// recallPause is how long a host isn't dialed after a call to it failed.
	recallPause = 1500 * time.Millisecond
)

// fleet is a fleet of hosts in virtual time. A frozen host answers nothing; its calls reach nobody until it wakes.
type fleet struct {
	mu      sync.Mutex
	hosts   []roster.Host
	loops   map[string]*Loop
	wakesAt map[string]time.Time
	links   map[string]time.Time // Open connections, by caller and host; a time in the future is the end of a pause after a failure.
	began   time.Time
	changes time.Duration // Time between two changes of the store.
	calls   int
	reads   int
}

// fleetHost is one host's way to the store and to the other hosts.
type fleetHost struct {
	*fleet
	self roster.Host
}

// newFleet starts n hosts, spread over the failure domains of three regions with two domains each.
func newFleet(t *testing.T, n int, changes time.Duration) *fleet {
	t.Helper()
	f := &fleet{changes: changes, loops: map[string]*Loop{}, wakesAt: map[string]time.Time{}, links: map[string]time.Time{}, began: time.Now()}
	for i := range n {
		f.hosts = append(f.hosts, roster.Host{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%6), Region: fmt.Sprint("r", i%3), Cores: 1})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done []chan struct{}
	for _, h := range f.hosts {
		l := NewLoop(h, time.Now, noopObserver{})
		r := &Reader{Source: &fleetHost{f, h}, Peers: &fleetHost{f, h}, Loop: l, Clock: time.Now, Done: make(chan struct{})}
		f.loops[h.Name] = l
		done = append(done, l.Done, r.Done)
		go l.Run(ctx)
		go r.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, d := range done {
			<-d
		}
	})
	return f
}

// freeze freezes hosts for a while.
func (f *fleet) freeze(d time.Duration, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.wakesAt[name] = time.Now().Add(d)
	}
}

// pause waits until a host is awake.
func (f *fleet) pause(ctx context.Context, name string) {
	f.mu.Lock()
	d := time.Until(f.wakesAt[name])
	f.mu.Unlock()
	sleep(ctx, d)
}

// travel takes a message from one host to another one.
func (f *fleet) travel(ctx context.Context, from, to roster.Host) {
	f.pause(ctx, from.Name)
	if from.Region == to.Region {
		sleep(ctx, localDelay)
	} else {
		sleep(ctx, regionDelay)
	}
	f.pause(ctx, to.Name)
}

var errNoAnswer = errors.New("no answer")

// dial opens a connection unless there is one.
func (h *fleetHost) dial(ctx context.Context, to roster.Host) error {
	h.mu.Lock()
	since, open := h.links[h.self.Name+to.Name]
	h.mu.Unlock()
	switch {
	case open && time.Now().Before(since):
		return errNoAnswer
	case open:
		return nil
	}
	h.travel(ctx, h.self, to)
	h.travel(ctx, to, h.self)
	h.noteLink(ctx, to)
	return ctx.Err()
}

// noteLink notes that a connection works, or that a call failed.
func (h *fleetHost) noteLink(ctx context.Context, to roster.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links[h.self.Name+to.Name] = time.Now()
	if ctx.Err() != nil {
		h.links[h.self.Name+to.Name] = time.Now().Add(recallPause)
	}
}

func (h *fleetHost) Updates(ctx context.Context, from roster.Host, q Query) (Updates, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+giveUpAfter)
	defer cancel()
	updates, err := h.call(ctx, from, q)
	if err != nil {
		h.noteLink(ctx, from)
	}
	return updates, err
}

func (h *fleetHost) Probe(ctx context.Context, from roster.Host, maxAge, wait time.Duration) (time.Duration, error) {
	updates, err := h.call(ctx, from, Query{After: NoChanges, Wait: wait, Age: maxAge})
	return updates.Age, err
}

func (h *fleetHost) call(ctx context.Context, from roster.Host, q Query) (Updates, error) {
	h.mu.Lock()
	h.calls++
	h.mu.Unlock()
	if err := h.dial(ctx, from); err != nil {
		return Updates{}, err
	}
	h.travel(ctx, h.self, from)
	if ctx.Err() != nil {
		return Updates{}, errNoAnswer
	}
	updates, ok := h.loops[from.Name].Updates(ctx, q)
	h.travel(ctx, from, h.self)
	if !ok || ctx.Err() != nil {
		return Updates{}, errNoAnswer
	}
	return updates, nil
}

func (h *fleetHost) Hosts(context.Context) ([]roster.Host, error) { return h.hosts, nil }

func (h *fleetHost) Load(ctx context.Context) (roster.Batch, error) {
	b, err := h.Next(ctx, 0, 0)
	b.Snapshot = true
	for _, host := range h.hosts {
		b.Changes = append(b.Changes, roster.Change{Kind: roster.HostKind, Name: host.Name, Host: host})
	}
	return b, err
}

// Next returns as soon as there is a change that the host doesn't know, or after the given time.
func (h *fleetHost) Next(ctx context.Context, after int64, wait time.Duration) (roster.Batch, error) {
	h.mu.Lock()
	h.reads++
	h.mu.Unlock()
	store := roster.Host{Region: h.hosts[0].Region}
	h.travel(ctx, h.self, store)
	sleep(ctx, storeDelay)
	for end := time.Now().Add(wait); h.revision() <= after && time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Millisecond)
	}
	revision := max(after, h.revision())
	h.travel(ctx, store, h.self)
	return roster.Batch{Revision: revision}, ctx.Err()
}

// revision returns the store's present revision.
func (f *fleet) revision() int64 { return 1 + int64(time.Since(f.began)/f.changes) }

// oldest runs the fleet for a while and returns the greatest age of the state of a host that is awake and has been for settled, and
// its name.
func (f *fleet) oldest(d, settled time.Duration) (time.Duration, string) {
	oldest, name := time.Duration(0), ""
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, h := range f.hosts {
			f.mu.Lock()
			asleep := time.Now().Before(f.wakesAt[h.Name].Add(settled))
			f.mu.Unlock()
			if age := time.Since(f.loops[h.Name].View().SyncedAt); !asleep && age > oldest {
				oldest, name = age, h.Name
			}
		}
	}
	return oldest, name
}

// counts returns the calls between hosts and the reads of the store so far.
func (f *fleet) counts() (calls, reads int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls, f.reads
}

// Guards against ages that add up: a host that follows a reader got news that were already old, and passed them on older still.
func TestNewsAreYoungAtTheEndOfTheChain(t *testing.T) {
	// Two reads of the store begin at least 500 ms apart, one without changes waits 600 ms, and there are at most two hosts between the
	// store and the last host.
	const maxAge = longPollTimeout + 2*regionDelay + 2*regionDelay + storeDelay
	for _, n := range []int{1, 8, 30} {
		for _, changes := range []time.Duration{20 * time.Millisecond, 2300 * time.Millisecond, time.Hour} {
			t.Run(fmt.Sprint(n, " hosts, a change each ", changes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, n, changes)
					time.Sleep(5 * time.Second)
					callsBefore, readsBefore := f.counts()
					oldest, name := f.oldest(20*time.Second, 0)
					calls, reads := f.counts()
					t.Logf("%s old at %s, %d calls and %d reads in 20 s", oldest, name, calls-callsBefore, reads-readsBefore)
					assert.Assert(t, oldest <= maxAge, "%s old at %s", oldest, name)
					assert.Assert(t, reads-readsBefore <= 41, "%d reads", reads-readsBefore)
					assert.Assert(t, calls-callsBefore <= 42*(n-1), "%d calls", calls-callsBefore)
				})
			})
		}
	}
}

// maxFrozenAge is the greatest age of the state of a host that is awake while others are frozen: a second below the time in which a
// change must take effect, which is left for queues and pauses.
const maxFrozenAge = 1500 * time.Millisecond

// Guards against hosts that ask one frozen host after the other, or that follow one that does, and meanwhile use upstreams that have left.
func TestNewsStayYoungWhileOtherHostsAreFrozen(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		n := rapid.IntRange(2, 14).Draw(t, "hosts")
		var names []string
		for i := range n {
			if rapid.Bool().Draw(t, "frozen") {
				names = append(names, fmt.Sprint("h", i))
			}
		}
		at := time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * time.Millisecond
		gap := time.Duration(rapid.SampledFrom([]int{0, 0, 300, 1500}).Draw(t, "gap")) * time.Millisecond
		changes := time.Duration(rapid.SampledFrom([]int{20, 300, 2300, 5000}).Draw(t, "changes")) * time.Millisecond
		oldest, name, when := time.Duration(0), "", time.Duration(0)
		synctest.Test(outer, func(st *testing.T) {
			f := newFleet(st, n, changes)
			time.Sleep(5*time.Second + at)
			for round := range 2 {
				for _, host := range names {
					f.freeze(4*time.Second, host)
					time.Sleep(gap)
				}
				if age, host := f.oldest(8*time.Second, 4*time.Second); age > oldest {
					oldest, name, when = age, host, time.Duration(round)
				}
			}
		})
		if oldest > maxFrozenAge {
			t.Fatalf("%s old at %s in round %d", oldest, name, when)
		}
	})
}

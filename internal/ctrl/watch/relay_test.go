package watch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// fleetSize is the number of upstreams in a store that exceeds the change log.
const fleetSize = maxLoggedChanges + 100

// modelStore holds the entries of a store and the history of their changes.
type modelStore struct {
	revision int64
	entries  map[string]roster.Change
	history  []roster.Change
}

func newModelStore() *modelStore { return &modelStore{entries: map[string]roster.Change{}} }

func (m *modelStore) put(c roster.Change) {
	m.revision++
	c.Revision = m.revision
	m.history = append(m.history, c)
	if c.Removed {
		delete(m.entries, c.Name)
		return
	}
	m.entries[c.Name] = c
}

// load returns all entries in the order of their names, not of their revisions.
func (m *modelStore) load() roster.Batch {
	b := roster.Batch{Snapshot: true, Revision: m.revision}
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		b.Changes = append(b.Changes, m.entries[name])
	}
	return b
}

func (m *modelStore) since(after int64) roster.Batch {
	b := roster.Batch{Revision: m.revision}
	for _, c := range m.history {
		if c.Revision > after {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

func policyChange(version uint64) roster.Change {
	return roster.Change{Kind: roster.PolicyKind, Name: "config", Policy: &policy.Policy{Version: version}}
}

// withoutRevisions copies a batch as a host passes its state on: entries of a snapshot carry no revision.
func withoutRevisions(b roster.Batch) roster.Batch {
	b.Changes = slices.Clone(b.Changes)
	for i := range b.Changes {
		if b.Snapshot {
			b.Changes[i].Revision = 0
		}
	}
	return b
}

// Guards against a change log that claims to be complete after a full read that is longer than the log.
func TestAFollowerMissesNothingAfterAReaderRestarts(t *testing.T) {
	store := newModelStore()
	store.put(policyChange(1))
	store.put(roster.Change{Kind: roster.EvacuationKind, Name: "evacuated"})
	for i := range fleetSize {
		store.put(upstreamChange(fmt.Sprintf("u%04d", i), 1, 1))
	}
	follower := newState()
	Apply(follower, StoreRead{Batch: store.load()}, at(0))
	followed := store.revision

	store.put(policyChange(2))
	store.put(removal(roster.EvacuationKind, "evacuated"))
	store.put(removal(roster.UpstreamKind, "u0000"))
	restarted, relay := newState(), newState()
	Apply(restarted, StoreRead{Batch: store.load()}, at(time.Second))
	Apply(relay, StoreRead{Batch: withoutRevisions(restarted.updatesSince(0, 0, at(time.Second)).Batch)}, at(time.Second))
	for name, source := range map[string]*State{"reader": restarted, "relay": relay} {
		t.Run(name, func(t *testing.T) {
			updates := source.updatesSince(0, followed, at(time.Second))
			copied := newState()
			Apply(copied, StoreRead{Batch: withoutRevisions(follower.updatesSince(0, 0, at(0)).Batch)}, at(0))
			Apply(copied, StoreRead{Batch: updates.Batch}, at(time.Second))
			v := copied.View(at(time.Second))
			assert.Equal(t, v.Policy.Version, uint64(2))
			assert.Equal(t, len(v.Evacuated), 0)
			assert.Equal(t, len(v.Upstreams["s"]), fleetSize-1)
			assert.Equal(t, updates.Batch.Revision, store.revision)
			assert.Equal(t, len(source.updatesSince(0, store.revision, at(time.Second)).Batch.Changes), 0)
		})
	}
}

// Guards against a request that waits on at a host which has just read the whole store, until its time is over.
func TestAFullReadWakesWaitingFollowers(t *testing.T) {
	s := newState()
	before := s.recorded
	Apply(s, StoreRead{Batch: roster.Batch{Snapshot: true, Revision: 7, Changes: []roster.Change{upstreamChange("u", 1, 1)}}}, at(0))
	assert.Assert(t, s.recorded != before)
}

// A page of a full read may be newer than the read's revision. The store then sends its changes again, which change nothing.
func TestAFollowerGetsChangesThatAFullReadAlreadyContained(t *testing.T) {
	s, follower := newState(), newState()
	Apply(follower, StoreRead{Batch: roster.Batch{Snapshot: true, Revision: 5, Changes: []roster.Change{upstreamChange("u", 1, 1)}}}, at(0))
	newer := drainingChange("u", 1, 2)
	newer.Revision = 6
	Apply(s, StoreRead{Batch: roster.Batch{Snapshot: true, Revision: 5, Changes: []roster.Change{newer}}}, at(0))
	Apply(s, StoreRead{Batch: roster.Batch{Revision: 6, Changes: []roster.Change{newer}}}, at(time.Second))
	Apply(follower, StoreRead{Batch: s.updatesSince(0, 5, at(time.Second)).Batch}, at(time.Second))
	assert.DeepEqual(t, usableIDs(follower, at(time.Second)), []string{})
}

// Guards against a host that labels an older full read with the newest revision that it has ever seen: its followers would take
// the changes in between for known.
func TestAnOlderFullReadIsPassedOnWithItsOwnRevision(t *testing.T) {
	s := newState()
	Apply(s, StoreRead{Batch: roster.Batch{Snapshot: true, Revision: 9, Changes: []roster.Change{upstreamChange("u", 1, 1), upstreamChange("v", 1, 1)}}}, at(0))
	Apply(s, StoreRead{Batch: roster.Batch{Snapshot: true, Revision: 8, Changes: []roster.Change{upstreamChange("u", 1, 1)}}}, at(0))
	assert.Equal(t, s.updatesSince(0, 0, at(0)).Batch.Revision, int64(8))
}

// Hosts that follow one another, any of which restarts at any time, converge on the store.
func TestAChainOfFollowersConvergesThroughRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newModelStore()
		store.put(policyChange(1))
		for i := range fleetSize {
			store.put(upstreamChange(fmt.Sprintf("u%04d", i), 1, 1))
		}
		chain := [3]*State{newState(), newState(), newState()}
		known := [3]int64{}
		poll := func(i int, now time.Time) {
			var batch roster.Batch
			switch {
			case i > 0:
				batch = chain[i-1].updatesSince(0, known[i], now).Batch
			case known[0] == 0:
				batch = store.load()
			default:
				batch = store.since(known[0])
			}
			if batch.Revision < known[i] || known[i] == 0 && !batch.Snapshot {
				return
			}
			known[i] = batch.Revision
			Apply(chain[i], StoreRead{Batch: withoutRevisions(batch)}, now)
		}
		for i := range rapid.IntRange(1, 15).Draw(t, "steps") {
			now := at(time.Duration(i) * 100 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				store.put(policyChange(uint64(i + 2)))
			case 1:
				store.put(roster.Change{Kind: roster.EvacuationKind, Name: "b"})
			case 2:
				store.put(removal(roster.EvacuationKind, "b"))
			case 3:
				store.put(removal(roster.UpstreamKind, fmt.Sprintf("u%04d", rapid.IntRange(0, fleetSize-1).Draw(t, "upstream"))))
			}
			at := rapid.IntRange(0, 2).Draw(t, "host")
			if rapid.Bool().Draw(t, "restart") {
				chain[at], known[at] = newState(), 0
			}
			poll(at, now)
		}
		now := at(time.Minute)
		for i := range chain {
			poll(i, now)
			Apply(chain[i], Tick{}, now.Add(restoreGrace+time.Second)) // Removals after a long gap get a grace period.
		}
		want, got := newState(), chain[2].View(now)
		Apply(want, StoreRead{Batch: store.load()}, now)
		v := want.View(now)
		if got.Policy.Version != v.Policy.Version || !maps.Equal(got.Evacuated, v.Evacuated) || len(got.Upstreams["s"]) != len(v.Upstreams["s"]) {
			t.Fatalf("version %d, evacuated %v, %d upstreams; the store has version %d, evacuated %v, %d upstreams",
				got.Policy.Version, got.Evacuated, len(got.Upstreams["s"]), v.Policy.Version, v.Evacuated, len(v.Upstreams["s"]))
		}
	})
}

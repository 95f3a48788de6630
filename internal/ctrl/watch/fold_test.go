package watch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func upstreamChange(id string, born, seq int64) roster.Change {
	return roster.Change{Kind: roster.UpstreamKind, Name: id, Upstream: roster.Upstream{
		ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "a", Region: "east", Slots: 3, Born: born, Seq: seq,
	}}
}

func drainingChange(id string, born, seq int64) roster.Change {
	c := upstreamChange(id, born, seq)
	c.Upstream.Draining = true
	return c
}

func removal(k roster.Kind, name string) roster.Change {
	return roster.Change{Kind: k, Name: name, Removed: true}
}

func applyChanges(s *State, now time.Time, changes ...roster.Change) []StateChange {
	return Apply(s, StoreRead{Batch: roster.Batch{Changes: changes, Revision: now.UnixNano()}}, now)
}

func usableIDs(s *State, now time.Time) []string {
	out := []string{}
	for _, u := range s.View(now).Upstreams["s"] {
		out = append(out, u.ID)
	}
	return out
}

func newState() *State {
	return NewState(roster.Host{Name: "h1", Domain: "a", Region: "east"})
}

func TestVersionsOfThePolicyNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		top := uint64(0)
		for i, v := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			applyChanges(s, at(time.Duration(i)*time.Second), roster.Change{Kind: roster.PolicyKind, Name: "policy", Policy: &policy.Policy{Version: v}})
			top = max(top, v)
			if got := s.View(at(0)).Policy.Version; got != top {
				t.Fatalf("version %d is in force after %d", got, top)
			}
		}
	})
}

func TestAPolicyThatCannotBeReadLeavesTheOldOneInForce(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), roster.Change{Kind: roster.PolicyKind, Policy: &policy.Policy{Version: 3}})
	notes := applyChanges(s, at(time.Second), roster.Change{Kind: roster.PolicyKind, Err: errors.New("truncated")})
	assert.Equal(t, notes[0].Message, "policy unreadable")
	applyChanges(s, at(2*time.Second), removal(roster.PolicyKind, "policy"))
	assert.Equal(t, s.View(at(3*time.Second)).Policy.Version, uint64(3))
}

func TestAnUpstreamThatLeavesGetsNoWork(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 1, 1), upstreamChange("v", 1, 1))
	applyChanges(s, at(time.Second), drainingChange("u", 1, 2))
	assert.DeepEqual(t, usableIDs(s, at(time.Second)), []string{"v"})
	applyChanges(s, at(2*time.Second), removal(roster.UpstreamKind, "v"))
	assert.DeepEqual(t, usableIDs(s, at(2*time.Second)), []string{})
}

func TestADelayedReportDoesNotBringBackADrainedUpstream(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 5, 7))
	applyChanges(s, at(time.Second), drainingChange("u", 5, 8))
	applyChanges(s, at(2*time.Second), upstreamChange("u", 5, 7))
	assert.DeepEqual(t, usableIDs(s, at(2*time.Second)), []string{})
	applyChanges(s, at(3*time.Second), removal(roster.UpstreamKind, "u"))
	applyChanges(s, at(4*time.Second), upstreamChange("u", 5, 9))
	assert.DeepEqual(t, usableIDs(s, at(4*time.Second)), []string{}) // This incarnation was draining.
	applyChanges(s, at(5*time.Second), upstreamChange("u", 6, 1))
	assert.DeepEqual(t, usableIDs(s, at(5*time.Second)), []string{"u"}) // A new incarnation is usable.
}

func TestAnOlderIncarnationDoesNotFollowANewerOne(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 5, 1))
	applyChanges(s, at(time.Second), removal(roster.UpstreamKind, "u"))
	applyChanges(s, at(2*time.Second), upstreamChange("u", 4, 9))
	assert.DeepEqual(t, usableIDs(s, at(2*time.Second)), []string{})
	applyChanges(s, at(3*time.Second), upstreamChange("u", 5, 2))
	assert.DeepEqual(t, usableIDs(s, at(3*time.Second)), []string{"u"}) // It wasn't draining; only its lease had expired.
}

func TestAnUnreadableEntryRemovesTheUpstream(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 1, 1), upstreamChange("v", 1, 1))
	applyChanges(s, at(time.Second), roster.Change{Kind: roster.UpstreamKind, Name: "u", Err: errors.New("malformed")})
	assert.DeepEqual(t, usableIDs(s, at(time.Second)), []string{"v"})
}

func TestEntriesThatLapsedInAnOutageMayComeBack(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 1, 1), upstreamChange("v", 1, 1))
	Apply(s, StoreFailed{Err: errors.New("timeout")}, at(time.Second))
	back := 10 * time.Second
	applyChanges(s, at(back), removal(roster.UpstreamKind, "u"), removal(roster.UpstreamKind, "v"))
	assert.DeepEqual(t, usableIDs(s, at(back)), []string{"u", "v"}) // They may have expired only because of the outage.
	applyChanges(s, at(back+time.Second), upstreamChange("u", 1, 9))
	Apply(s, Tick{}, at(back+restoreGrace+time.Millisecond))
	assert.DeepEqual(t, usableIDs(s, at(back+3*time.Second)), []string{"u"}) // v was not restored in time.
}

func TestWithoutAnOutageARemovedEntryIsGoneAtOnce(t *testing.T) {
	s := newState()
	for i := range 20 {
		applyChanges(s, at(time.Duration(i)*500*time.Millisecond), upstreamChange("u", 1, int64(i)))
	}
	applyChanges(s, at(10*time.Second), removal(roster.UpstreamKind, "u"))
	assert.DeepEqual(t, usableIDs(s, at(10*time.Second)), []string{})
}

func TestAWholeReadingDropsWhatTheStoreNoLongerHolds(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 1, 1), upstreamChange("v", 1, 1), roster.Change{Kind: roster.EvacuationKind, Name: "b"},
		roster.Change{Kind: roster.HostKind, Name: "h2", Host: roster.Host{Name: "h2"}})
	Apply(s, StoreRead{Batch: roster.Batch{Snapshot: true, Revision: 9, Changes: []roster.Change{upstreamChange("v", 1, 2)}}}, at(time.Second))
	v := s.View(at(time.Second))
	assert.DeepEqual(t, usableIDs(s, at(time.Second)), []string{"v"})
	assert.Equal(t, len(v.Hosts), 0)
	assert.Equal(t, len(v.Evacuated), 0)
}

func TestUpstreamsAreColdJustAfterAnEvacuationEnds(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 1, 1), roster.Change{Kind: roster.PolicyKind, Policy: &policy.Policy{
		Version: 1, Services: map[string]policy.Service{"s": {ColdLife: 3 * time.Second}},
	}})
	applyChanges(s, at(time.Second), roster.Change{Kind: roster.EvacuationKind, Name: "a"})
	assert.DeepEqual(t, usableIDs(s, at(time.Second)), []string{})
	applyChanges(s, at(5*time.Second), removal(roster.EvacuationKind, "a"))
	u := s.View(at(5 * time.Second)).Upstreams["s"][0]
	assert.Assert(t, u.ColdUntil().After(at(8*time.Second)))
	u = s.View(at(10 * time.Second)).Upstreams["s"][0]
	assert.Assert(t, !u.ColdUntil().After(at(10*time.Second)))
}

// A follower that polls at any steps converges on the reader's upstreams.
func TestFollowersConvergeOnTheReadersState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := newState(), newState()
		after, revision := int64(0), int64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := at(time.Duration(i) * 100 * time.Millisecond)
			revision++
			id := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "id")
			c := upstreamChange(id, rapid.Int64Range(1, 3).Draw(t, "born"), revision)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				c.Upstream.Draining = true
			case 1:
				c = removal(roster.UpstreamKind, id)
			}
			c.Revision = revision
			Apply(reader, StoreRead{Batch: roster.Batch{Changes: []roster.Change{c}, Revision: revision}}, now)
			if rapid.Bool().Draw(t, "ask") || i == 0 {
				updates := reader.updatesSince(0, after, now)
				after = updates.Batch.Revision
				Apply(follower, StoreRead{Batch: updates.Batch}, now)
			}
		}
		now := at(time.Minute)
		Apply(follower, StoreRead{Batch: reader.updatesSince(0, after, now).Batch}, now)
		now = now.Add(restoreGrace + time.Second) // Removals after a long gap get a grace period.
		Apply(reader, Tick{}, now)
		Apply(follower, Tick{}, now)
		want, got := usableIDs(reader, now), usableIDs(follower, now)
		assertEqual(t, got, want)
	})
}

func assertEqual(t *rapid.T, got, want []string) {
	if len(got) != len(want) {
		t.Fatalf("follower uses %v, reader %v", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("follower uses %v, reader %v", got, want)
		}
	}
}

// A follower polls a reader that has just recovered from a long outage and still holds missing entries in their grace
// period. Both must end with the entries that were restored.
func TestAFollowerHearsWhatBecameOfEntriesThatLapsed(t *testing.T) {
	reader, follower := newState(), newState()
	fullRead := func(now time.Time, revision int64, changes ...roster.Change) {
		Apply(reader, StoreRead{Batch: roster.Batch{Snapshot: true, Revision: revision, Changes: changes}}, now)
	}
	poll := func(now time.Time, after int64) int64 {
		n := reader.updatesSince(0, after, now)
		Apply(follower, StoreRead{Batch: n.Batch}, now)
		return n.Batch.Revision
	}
	fullRead(at(0), 1, upstreamChange("u", 1, 1), upstreamChange("v", 1, 1))
	poll(at(0), 0)
	Apply(reader, StoreFailed{Err: errors.New("timeout")}, at(time.Second))
	Apply(follower, StoreFailed{Err: errors.New("timeout")}, at(time.Second))
	fullRead(at(10*time.Second), 5)
	after := poll(at(10100*time.Millisecond), 1)
	back := upstreamChange("v", 1, 9)
	back.Revision = 6
	Apply(reader, StoreRead{Batch: roster.Batch{Revision: 6, Changes: []roster.Change{back}}}, at(11*time.Second))
	poll(at(11100*time.Millisecond), after)
	for _, s := range []*State{reader, follower} {
		Apply(s, Tick{}, at(14*time.Second))
	}
	assert.DeepEqual(t, usableIDs(reader, at(14*time.Second)), []string{"v"})
	assert.DeepEqual(t, usableIDs(follower, at(14*time.Second)), []string{"v"})
}

func TestAFollowerHearsHowLongAnUpstreamIsCold(t *testing.T) {
	reader := newState()
	applyChanges(reader, at(0), upstreamChange("v", 1, 1))
	cold := upstreamChange("u", 1, 1)
	cold.Upstream.Cold = 3 * time.Second
	cold.Revision = 5
	Apply(reader, StoreRead{Batch: roster.Batch{Changes: []roster.Change{cold}, Revision: 5}}, at(time.Second))
	for _, after := range []int64{0, 4} {
		for _, c := range reader.updatesSince(0, after, at(2*time.Second)).Batch.Changes {
			if c.Name == "u" {
				assert.Equal(t, c.Upstream.ColdUntil(), at(4*time.Second))
			}
		}
	}
}

func TestAFollowerThatIsFarBehindGetsTheWholeState(t *testing.T) {
	s := newState()
	for i := range maxLoggedChanges + 10 {
		c := upstreamChange("u", int64(i+1), 1)
		c.Revision = int64(i + 1)
		Apply(s, StoreRead{Batch: roster.Batch{Changes: []roster.Change{c}, Revision: c.Revision}}, at(0))
	}
	assert.Assert(t, s.updatesSince(0, 3, at(0)).Batch.Snapshot)
	assert.Assert(t, !s.updatesSince(0, maxLoggedChanges, at(0)).Batch.Snapshot)
}

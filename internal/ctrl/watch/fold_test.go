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

func up(id string, born, seq int64) roster.Change {
	return roster.Change{Kind: roster.UpstreamKind, Name: id, Upstream: roster.Upstream{
		ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "a", Region: "east", Slots: 3, Born: born, Seq: seq,
	}}
}

func draining(id string, born, seq int64) roster.Change {
	c := up(id, born, seq)
	c.Upstream.Draining = true
	return c
}

func gone(k roster.Kind, name string) roster.Change {
	return roster.Change{Kind: k, Name: name, Removed: true}
}

func read(s *State, now time.Time, changes ...roster.Change) []Note {
	return Fold(s, Read{Batch: roster.Batch{Changes: changes, Revision: now.UnixNano()}}, now)
}

func ids(s *State, now time.Time) []string {
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
			read(s, at(time.Duration(i)*time.Second), roster.Change{Kind: roster.PolicyKind, Name: "policy", Policy: &policy.Policy{Version: v}})
			top = max(top, v)
			if got := s.View(at(0)).Policy.Version; got != top {
				t.Fatalf("version %d is in force after %d", got, top)
			}
		}
	})
}

func TestAPolicyThatCannotBeReadLeavesTheOldOneInForce(t *testing.T) {
	s := newState()
	read(s, at(0), roster.Change{Kind: roster.PolicyKind, Policy: &policy.Policy{Version: 3}})
	notes := read(s, at(time.Second), roster.Change{Kind: roster.PolicyKind, Err: errors.New("cut short")})
	assert.Equal(t, notes[0].What, "policy unreadable")
	read(s, at(2*time.Second), gone(roster.PolicyKind, "policy"))
	assert.Equal(t, s.View(at(3*time.Second)).Policy.Version, uint64(3))
}

func TestAnUpstreamThatLeavesGetsNoWork(t *testing.T) {
	s := newState()
	read(s, at(0), up("u", 1, 1), up("v", 1, 1))
	read(s, at(time.Second), draining("u", 1, 2))
	assert.DeepEqual(t, ids(s, at(time.Second)), []string{"v"})
	read(s, at(2*time.Second), gone(roster.UpstreamKind, "v"))
	assert.DeepEqual(t, ids(s, at(2*time.Second)), []string{})
}

func TestAReportThatIsWrittenLateRevivesNobody(t *testing.T) {
	s := newState()
	read(s, at(0), up("u", 5, 7))
	read(s, at(time.Second), draining("u", 5, 8))
	read(s, at(2*time.Second), up("u", 5, 7))
	assert.DeepEqual(t, ids(s, at(2*time.Second)), []string{})
	read(s, at(3*time.Second), gone(roster.UpstreamKind, "u"))
	read(s, at(4*time.Second), up("u", 5, 9))
	assert.DeepEqual(t, ids(s, at(4*time.Second)), []string{}) // The incarnation has left.
	read(s, at(5*time.Second), up("u", 6, 1))
	assert.DeepEqual(t, ids(s, at(5*time.Second)), []string{"u"}) // A new incarnation counts anew.
}

func TestAnOlderIncarnationDoesNotFollowANewerOne(t *testing.T) {
	s := newState()
	read(s, at(0), up("u", 5, 1))
	read(s, at(time.Second), gone(roster.UpstreamKind, "u"))
	read(s, at(2*time.Second), up("u", 4, 9))
	assert.DeepEqual(t, ids(s, at(2*time.Second)), []string{})
	read(s, at(3*time.Second), up("u", 5, 2))
	assert.DeepEqual(t, ids(s, at(3*time.Second)), []string{"u"}) // Its entry had lapsed.
}

func TestAnEntryThatCannotBeReadNamesNoUpstream(t *testing.T) {
	s := newState()
	read(s, at(0), up("u", 1, 1), up("v", 1, 1))
	read(s, at(time.Second), roster.Change{Kind: roster.UpstreamKind, Name: "u", Err: errors.New("nonsense")})
	assert.DeepEqual(t, ids(s, at(time.Second)), []string{"v"})
}

func TestEntriesThatLapsedInAnOutageMayComeBack(t *testing.T) {
	s := newState()
	read(s, at(0), up("u", 1, 1), up("v", 1, 1))
	Fold(s, Lost{Err: errors.New("timeout")}, at(time.Second))
	back := 10 * time.Second
	read(s, at(back), gone(roster.UpstreamKind, "u"), gone(roster.UpstreamKind, "v"))
	assert.DeepEqual(t, ids(s, at(back)), []string{"u", "v"}) // They may have lapsed while the store was away.
	read(s, at(back+time.Second), up("u", 1, 9))
	Fold(s, Tick{}, at(back+lapseGrace+time.Millisecond))
	assert.DeepEqual(t, ids(s, at(back+3*time.Second)), []string{"u"}) // What is still missing is gone.
}

func TestWithoutAnOutageARemovedEntryIsGoneAtOnce(t *testing.T) {
	s := newState()
	for i := range 20 {
		read(s, at(time.Duration(i)*500*time.Millisecond), up("u", 1, int64(i)))
	}
	read(s, at(10*time.Second), gone(roster.UpstreamKind, "u"))
	assert.DeepEqual(t, ids(s, at(10*time.Second)), []string{})
}

func TestAWholeReadingDropsWhatTheStoreNoLongerHolds(t *testing.T) {
	s := newState()
	read(s, at(0), up("u", 1, 1), up("v", 1, 1), roster.Change{Kind: roster.EvacuationKind, Name: "b"},
		roster.Change{Kind: roster.HostKind, Name: "h2", Host: roster.Host{Name: "h2"}})
	Fold(s, Read{Batch: roster.Batch{Full: true, Revision: 9, Changes: []roster.Change{up("v", 1, 2)}}}, at(time.Second))
	v := s.View(at(time.Second))
	assert.DeepEqual(t, ids(s, at(time.Second)), []string{"v"})
	assert.Equal(t, len(v.Hosts), 0)
	assert.Equal(t, len(v.Evacuated), 0)
}

func TestADomainThatIsTakenBackCountsAsColdAtFirst(t *testing.T) {
	s := newState()
	read(s, at(0), up("u", 1, 1), roster.Change{Kind: roster.PolicyKind, Policy: &policy.Policy{
		Version: 1, Services: map[string]policy.Service{"s": {ColdLife: 3 * time.Second}},
	}})
	read(s, at(time.Second), roster.Change{Kind: roster.EvacuationKind, Name: "a"})
	assert.DeepEqual(t, ids(s, at(time.Second)), []string{})
	read(s, at(5*time.Second), gone(roster.EvacuationKind, "a"))
	u := s.View(at(5 * time.Second)).Upstreams["s"][0]
	assert.Assert(t, u.ColdUntil().After(at(8*time.Second)))
	u = s.View(at(10 * time.Second)).Upstreams["s"][0]
	assert.Assert(t, !u.ColdUntil().After(at(10*time.Second)))
}

// Followers that hear news in any steps believe what the reader believes.
func TestFollowersBelieveWhatTheReaderBelieves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := newState(), newState()
		after, revision := int64(0), int64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := at(time.Duration(i) * 100 * time.Millisecond)
			revision++
			id := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "id")
			c := up(id, rapid.Int64Range(1, 3).Draw(t, "born"), revision)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				c.Upstream.Draining = true
			case 1:
				c = gone(roster.UpstreamKind, id)
			}
			c.Revision = revision
			Fold(reader, Read{Batch: roster.Batch{Changes: []roster.Change{c}, Revision: revision}}, now)
			if rapid.Bool().Draw(t, "ask") || i == 0 {
				n := reader.news(after, now)
				after = n.Batch.Revision
				Fold(follower, Read{Batch: n.Batch}, now)
			}
		}
		now := at(time.Minute)
		Fold(follower, Read{Batch: reader.news(after, now).Batch}, now)
		now = now.Add(lapseGrace + time.Second) // What a follower missed for long may have lapsed, and gets its grace.
		Fold(reader, Tick{}, now)
		Fold(follower, Tick{}, now)
		want, got := ids(reader, now), ids(follower, now)
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

// The reader was cut off for long, and a follower asks it while entries that it no longer finds may yet come back.
func TestAFollowerHearsWhatBecameOfEntriesThatLapsed(t *testing.T) {
	reader, follower := newState(), newState()
	whole := func(now time.Time, revision int64, changes ...roster.Change) {
		Fold(reader, Read{Batch: roster.Batch{Full: true, Revision: revision, Changes: changes}}, now)
	}
	ask := func(now time.Time, after int64) int64 {
		n := reader.news(after, now)
		Fold(follower, Read{Batch: n.Batch}, now)
		return n.Batch.Revision
	}
	whole(at(0), 1, up("u", 1, 1), up("v", 1, 1))
	ask(at(0), 0)
	Fold(reader, Lost{Err: errors.New("timeout")}, at(time.Second))
	Fold(follower, Lost{Err: errors.New("timeout")}, at(time.Second))
	whole(at(10*time.Second), 5)
	after := ask(at(10100*time.Millisecond), 1)
	back := up("v", 1, 9)
	back.Revision = 6
	Fold(reader, Read{Batch: roster.Batch{Revision: 6, Changes: []roster.Change{back}}}, at(11*time.Second))
	ask(at(11100*time.Millisecond), after)
	for _, s := range []*State{reader, follower} {
		Fold(s, Tick{}, at(14*time.Second))
	}
	assert.DeepEqual(t, ids(reader, at(14*time.Second)), []string{"v"})
	assert.DeepEqual(t, ids(follower, at(14*time.Second)), []string{"v"})
}

func TestAFollowerHearsHowLongAnUpstreamIsCold(t *testing.T) {
	reader := newState()
	read(reader, at(0), up("v", 1, 1))
	cold := up("u", 1, 1)
	cold.Upstream.Cold = 3 * time.Second
	cold.Revision = 5
	Fold(reader, Read{Batch: roster.Batch{Changes: []roster.Change{cold}, Revision: 5}}, at(time.Second))
	for _, after := range []int64{0, 4} {
		for _, c := range reader.news(after, at(2*time.Second)).Batch.Changes {
			if c.Name == "u" {
				assert.Equal(t, c.Upstream.ColdUntil(), at(4*time.Second))
			}
		}
	}
}

func TestAFollowerThatIsFarBehindGetsTheWholeState(t *testing.T) {
	s := newState()
	for i := range logMost + 10 {
		c := up("u", int64(i+1), 1)
		c.Revision = int64(i + 1)
		Fold(s, Read{Batch: roster.Batch{Changes: []roster.Change{c}, Revision: c.Revision}}, at(0))
	}
	assert.Assert(t, s.news(3, at(0)).Batch.Full)
	assert.Assert(t, !s.news(logMost, at(0)).Batch.Full)
}

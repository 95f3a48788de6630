package watch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Guards against taking the silence of other hosts for an outage of the store, after which removed entries are kept for a while.
func TestSilenceOfOtherHostsIsNoOutageOfTheStore(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 1, 1), upstreamChange("v", 1, 1))
	applyChanges(s, at(5*time.Second), removal(roster.UpstreamKind, "u"))
	assert.DeepEqual(t, usableIDs(s, at(5*time.Second)), []string{"v"})
}

// Guards against keeping entries that were removed while the store turned only this host away.
func TestAHostThatTheStoreTurnedAwayLearnsThatThereWasNoOutage(t *testing.T) {
	reader, follower := newState(), newState()
	for _, s := range []*State{reader, follower} {
		applyChanges(s, at(0), upstreamChange("u", 1, 1), upstreamChange("v", 1, 1))
	}
	for i := range 20 {
		applyChanges(reader, at(time.Duration(i)*500*time.Millisecond), upstreamChange("v", 1, int64(i+2)))
	}
	Apply(follower, StoreFailed{Err: errors.New("rejected")}, at(time.Second))
	gone := removal(roster.UpstreamKind, "u")
	gone.Revision = 30
	Apply(reader, StoreRead{Batch: roster.Batch{Revision: 30, Changes: []roster.Change{gone}}}, at(10*time.Second))
	Apply(follower, StoreRead{Batch: reader.updatesSince(0, 20, at(10*time.Second)).Batch}, at(10*time.Second))
	assert.DeepEqual(t, usableIDs(follower, at(10*time.Second)), []string{"v"})
}

// Guards against a host that made no call to the store in its outage and takes entries for gone that are still coming back.
func TestAHostLearnsOfAnOutageFromTheOneItFollows(t *testing.T) {
	reader, follower, starting := newState(), newState(), newState()
	for _, s := range []*State{reader, follower} {
		applyChanges(s, at(0), upstreamChange("u", 1, 1), upstreamChange("v", 1, 1))
	}
	Apply(reader, StoreFailed{Err: errors.New("timeout")}, at(time.Second))
	back := 8 * time.Second
	gone := removal(roster.UpstreamKind, "u")
	gone.Revision = 30
	Apply(reader, StoreRead{Batch: roster.Batch{Revision: 30, Changes: []roster.Change{gone}}}, at(back))
	soon := at(back + 100*time.Millisecond)
	Apply(follower, StoreRead{Batch: roster.Batch{Revision: 30, Changes: []roster.Change{gone}, Steady: reader.steadyFor(soon), Outage: true}}, soon)
	assert.DeepEqual(t, usableIDs(follower, soon), []string{"u", "v"})
	Apply(starting, StoreRead{Batch: reader.updatesSince(0, 0, soon).Batch}, soon)
	assert.Assert(t, reader.updatesSince(0, 0, soon).Batch.Outage)
	assert.Assert(t, !starting.recoveredAt.IsZero())
}

// Guards against a host that has just started and is taken for one that knows of an outage, and against an outage that seems to end
// later each time that it is passed on.
func TestAnOutageIsPassedOnOnce(t *testing.T) {
	fresh, follower := newState(), newState()
	applyChanges(follower, at(0), upstreamChange("u", 1, 1))
	applyChanges(fresh, at(8*time.Second), upstreamChange("u", 1, 1))
	Apply(follower, StoreRead{Batch: fresh.updatesSince(0, 0, at(9*time.Second)).Batch}, at(9*time.Second))
	assert.Assert(t, follower.recoveredAt.IsZero())
	for i := range 20 {
		b := roster.Batch{Revision: 40, Steady: time.Second + time.Duration(i)*90*time.Millisecond, Outage: true}
		Apply(follower, StoreRead{Batch: b}, at(10*time.Second+time.Duration(i)*100*time.Millisecond))
	}
	assert.Equal(t, follower.recoveredAt, at(9*time.Second))
}

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
	Apply(follower, StoreRead{Batch: reader.updatesSince(20, at(10*time.Second)).Batch}, at(10*time.Second))
	assert.DeepEqual(t, usableIDs(follower, at(10*time.Second)), []string{"v"})
}

package watch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Guards against hosts that wait for each other when all start at the same time, and against many calls meanwhile.
func TestHostsThatStartTogetherHaveAStateSoon(t *testing.T) {
	for _, n := range []int{1, 8, 30, 75} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n, 20*time.Millisecond)
				missing := func() (names []string) {
					for _, h := range f.hosts {
						if f.loops[h.Name].View().SyncedAt.IsZero() {
							names = append(names, h.Name)
						}
					}
					return names
				}
				// Two hosts read the store, and at most two more are between it and the last one.
				const limit = 3*2*regionDelay + storeDelay
				for len(missing()) > 0 {
					time.Sleep(10 * time.Millisecond)
					assert.Assert(t, time.Since(f.began) <= limit, "without state after %s: %v", limit, missing())
				}
				calls, _ := f.counts()
				t.Logf("%s, %d calls", time.Since(f.began), calls)
				assert.Assert(t, calls <= 2*n, "%d calls", calls)
			})
		})
	}
}

// Guards against a state that seems to grow older when another source sends older news than those that this host has.
func TestOlderNewsDoNotMakeTheStateOlder(t *testing.T) {
	s := newState()
	applyChanges(s, at(0), upstreamChange("u", 1, 1))
	applyChanges(s, at(5*time.Second), upstreamChange("u", 1, 2))
	Apply(s, StoreRead{Batch: roster.Batch{Revision: s.revision, Age: 3 * time.Second}}, at(5*time.Second))
	assert.Equal(t, s.View(at(5*time.Second)).SyncedAt, at(5*time.Second))
	Apply(s, StoreRead{Batch: roster.Batch{Revision: s.revision, Age: 3 * time.Second, Indirect: true}}, at(5*time.Second))
	assert.Equal(t, s.updatesSince(0, s.revision, at(5*time.Second)).Age, time.Duration(0))
}

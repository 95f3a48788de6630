package watch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
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

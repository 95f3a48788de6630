package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/host/trace"
)

// mwanzaLinkQuota returns the sum of the hosts' quotas of the link to Mwanza.
func (s *system) mwanzaLinkQuota(seats ...string) int64 {
	s.t.Helper()
	var sum int64
	for _, seat := range seats {
		for _, sh := range s.status(seat).Shares {
			if sh.Resource == "link/mwanza" {
				sum += sh.Quota.Floor + sh.Lent
			}
		}
	}
	return sum
}

func (s *system) status(seat string) state.Status {
	s.t.Helper()
	st, ok := s.hosts[seat].Status(context.Background())
	assert.Assert(s.t, ok, "%s has no status", seat)
	return st
}

// TestADeadDomainsPoolsAreUsedUntilItIsBack kills all hosts of a failure domain. The other domain must take over the
// dead domain's pools, but not its floors, and must give them back when the domain returns, without exceeding the limit.
func TestADeadDomainsPoolsAreUsedUntilItIsBack(t *testing.T) {
	t.Parallel()
	o := testOptions(124)
	s := startSystem(t, o, trace.Noop())
	own := []string{"dar-a-1", "dar-a-2"}
	s.eventually(15*time.Second, "dar-a has its even share of the link", func() bool { return s.mwanzaLinkQuota(own...) == o.LinkRate/2 })
	for _, seat := range []string{"dar-b-1", "dar-b-2"} {
		s.killHost(s.hosts[seat])
	}
	floors := o.LinkRate / 4 // Half of an even share is reserved for the floors of the domain's own hosts, which are never lent.
	took := s.eventually(40*time.Second, "dar-a also has the dead domain's pool", func() bool {
		return s.mwanzaLinkQuota(own...) == o.LinkRate-floors
	})
	t.Logf("the dead domain's pool was in use after %s", took)
	assert.Assert(t, slices.ContainsFunc(own, func(seat string) bool {
		return slices.Equal(s.status(seat).Takeovers, []string{"dar-b"})
	}))
	s.startHost("dar-b-1")
	s.startHost("dar-b-2")
	took = s.eventually(30*time.Second, "both domains have their even shares", func() bool {
		b := s.mwanzaLinkQuota("dar-b-1", "dar-b-2") // Read first: it grows only after the other has shrunk.
		a := s.mwanzaLinkQuota(own...)
		assert.Assert(t, a+b <= o.LinkRate, "%d and %d of %d", a, b, o.LinkRate)
		return a == o.LinkRate/2 && b == o.LinkRate/2
	})
	t.Logf("both domains had their even shares again after %s", took)
}

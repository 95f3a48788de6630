package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
)

func applyRate(s *State, now time.Time, version uint64, rate float64) {
	applyChanges(s, now, roster.Change{Kind: roster.PolicyKind, Name: "policy", Policy: &policy.Policy{
		Version: version, Workspaces: map[string]policy.Workspace{"w": {Name: "w", Rate: rate, Burst: rate}},
	}})
}

// drawn returns the tokens that a pool gets in a second in which the given failure domains report.
func drawn(s *State, from time.Time, domains ...string) int {
	sum := 0
	for n := range 5 {
		now := from.Add(time.Duration(n+1) * quota.DrawInterval)
		for _, d := range domains {
			s.drawQuota(&quota.Request{Part: d}, now)
		}
		reply := make(chan quota.Reply, 1)
		Apply(s, QuotaRequest{Request: quota.Request{Pool: "east", Service: "s", Workspaces: map[string]quota.Want{"w": {Want: 1000}}}, Reply: reply}, now)
		sum += (<-reply).Workspaces["w"].Give
	}
	return sum
}

func newQuotaFleet(domains ...string) *State {
	s := newState()
	Apply(s, QuotaSettingsChanged{Settings: quota.Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}}, at(0))
	for _, d := range domains {
		applyChanges(s, at(0), roster.Change{Kind: roster.HostKind, Name: "h" + d, Host: roster.Host{Name: "h" + d, Domain: d, Region: "east"}})
	}
	return s
}

// Guards against an owner that grants by an old policy, and one that is unknown in the log.
func TestTheOwnerGrantsByTheNewestPolicy(t *testing.T) {
	s := newQuotaFleet("a")
	applyRate(s, at(0), 1, 100)
	s.drawQuota(&quota.Request{Part: "a"}, at(0))
	assert.Equal(t, Apply(s, Tick{}, at(0))[0].Message, "quota owner gained")
	assert.Equal(t, len(Apply(s, Tick{}, at(0))), 0)
	assert.Equal(t, drawn(s, at(0), "a"), 100)
	applyRate(s, at(time.Second), 2, 10)
	assert.Assert(t, drawn(s, at(time.Second), "a") <= 10, "the tokens on lease count as well")
	assert.Equal(t, drawn(s, at(2*time.Second), "a"), 10)
	assert.Equal(t, Apply(s, Tick{}, at(5*time.Second))[0].Message, "quota owner lost")
}

// Guards against two owners, each of which grants the whole limit: a domain that is cut off keeps its part, also after the store has dropped its
// hosts, and for an owner that has just started.
func TestADomainThatIsCutOffKeepsItsPart(t *testing.T) {
	s := newQuotaFleet("a", "b")
	applyRate(s, at(0), 1, 100)
	Apply(s, Tick{}, at(0))
	s.drawQuota(&quota.Request{Part: "a"}, at(0))
	assert.Equal(t, drawn(s, at(0), "a"), 50)
	applyChanges(s, at(time.Second), removal(roster.HostKind, "hb"))
	Apply(s, Tick{}, at(time.Second))
	assert.Equal(t, drawn(s, at(time.Second), "a"), 50)

	started := newQuotaFleet("a")
	applyRate(started, at(0), 1, 100)
	Apply(started, QuotaSettingsChanged{Settings: started.ledger.Terms.Settings, Domains: []string{"a", "b"}}, at(0))
	started.drawQuota(&quota.Request{Part: "a"}, at(0))
	assert.Equal(t, drawn(started, at(0), "a"), 50)
}

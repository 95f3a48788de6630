package meter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

var start = time.Unix(1_700_000_000, 0)

// fakeScheduler grants slots while it has some, and can panic.
type fakeScheduler struct {
	slots    int
	calls    int
	released int
	panics   bool
}

func (s *fakeScheduler) Acquire(context.Context, time.Time, place.Request) (*place.Grant, place.Refusal) {
	s.calls++
	if s.panics {
		panic("unexpected")
	}
	if s.slots == 0 {
		return nil, place.Refusal{RetryAfter: time.Second}
	}
	s.slots--
	return &place.Grant{Upstream: &roster.Upstream{Service: "s"}}, place.Refusal{}
}

func (s *fakeScheduler) Release(time.Time, *place.Grant, place.Result) { s.released++ }

// recorder keeps what it is told of.
type recorder struct {
	refused []*Refused
	contact []string
}

func (r *recorder) QuotaRefused(refused *Refused) { r.refused = append(r.refused, refused) }
func (r *recorder) QuotaContact(service string, lost bool) {
	r.contact = append(r.contact, fmt.Sprint(service, " ", lost))
}

// rig is a meter of the only host of a fleet, with its owner.
type rig struct {
	*Meter
	next   *fakeScheduler
	seen   *recorder
	ledger *quota.Ledger
	now    time.Time
}

func newRig(rate float64) *rig {
	r := &rig{next: &fakeScheduler{slots: 1 << 20}, seen: &recorder{}, ledger: quota.NewLedger(), now: start}
	r.Meter = New(r.next, r.seen)
	settings := quota.Settings{Window: 5 * time.Second, Overage: 0.1}
	r.SetSettings(settings)
	r.ledger.Terms = quota.Terms{Settings: settings}
	r.setPolicy(&policy.Policy{Version: 4, Services: map[string]policy.Service{"s": {Name: "s"}}, Workspaces: map[string]policy.Workspace{"w": {Name: "w", Rate: rate, Burst: rate}, "free": {Name: "free"}}})
	return r
}

func (r *rig) setPolicy(p *policy.Policy) {
	self := roster.Host{Name: "h", Domain: "a", Region: "east"}
	r.ledger.Terms.Workspaces = p.Workspaces
	r.Update(r.now, &roster.View{Self: self, Hosts: []roster.Host{self}, Policy: p, Version: p.Version})
}

// pass lets time pass with requests to the owner.
func (r *rig) pass(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(quota.DrawInterval)
		r.ledger.Draw(r.now, &quota.Request{Part: "a"})
		for _, req := range r.QuotaRequests(r.now) {
			r.ApplyQuota(r.now, req.Service, r.ledger.Draw(r.now, &req))
		}
	}
}

func (r *rig) acquire(req place.Request) (*place.Grant, place.Refusal) {
	req.Service = "s"
	return r.Acquire(context.Background(), r.now, req)
}

// spendAll returns the number of jobs that are admitted now.
func (r *rig) spendAll() int {
	n := 0
	for {
		if g, _ := r.acquire(place.Request{Workspace: "w"}); g == nil {
			return n
		}
		n++
	}
}

// Guards against jobs above the quota that are queued, and jobs without a quota that pay or cause messages.
func TestOnlyJobsAboveTheirQuotaAreRefused(t *testing.T) {
	r := newRig(10)
	for range 100 {
		for _, req := range []place.Request{{}, {Workspace: "free"}, {Workspace: "unknown"}, {Workspace: "w", Counted: true}} {
			g, _ := r.acquire(req)
			assert.Assert(t, g != nil)
			assert.Equal(t, g.Charged, "")
		}
	}
	assert.Equal(t, len(r.QuotaRequests(r.now)), 0)
	r.pass(time.Second)
	calls := r.next.calls
	admitted := r.spendAll()
	assert.Assert(t, admitted >= 1 && admitted < 20, "%d", admitted)
	assert.Equal(t, r.next.calls, calls+admitted, "a refused job reached the scheduler")
	g, refusal := r.acquire(place.Request{Workspace: "w"})
	assert.Assert(t, g == nil && refusal.OverQuota && refusal.RetryAfter > 0)
	assert.Equal(t, len(r.seen.refused), 1, "lines are limited to one a second")
	assert.Equal(t, r.seen.refused[0].State.Version, uint64(4))
}

// Guards against tokens that are lost with jobs that did not run, or are returned for jobs that did.
func TestOnlyJobsThatDidNotRunGetTheirTokenBack(t *testing.T) {
	for name, c := range map[string]struct {
		result   place.Result
		returned int
	}{
		"shed":        {place.Result{Shed: true, NotRun: true}, 1},
		"not sent":    {place.Result{Unreachable: true, NotRun: true}, 1},
		"crashed":     {place.Result{Unreachable: true, Crashed: true}, 0},
		"caller left": {place.Result{Inconclusive: true}, 0},
		"succeeded":   {place.Result{Succeeded: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(10)
			g, _ := r.acquire(place.Request{Workspace: "w"})
			r.spendAll()
			r.Release(r.now, g, c.result)
			assert.Equal(t, r.next.released, 1)
			assert.Equal(t, r.spendAll(), c.returned)
		})
	}
}

// Guards against tokens that are lost with jobs that wait in vain, or that make the scheduler panic.
func TestARefusedJobGetsItsTokenBack(t *testing.T) {
	r := newRig(10)
	r.next.slots = 0
	for range 100 {
		g, refusal := r.acquire(place.Request{Workspace: "w"})
		assert.Assert(t, g == nil && !refusal.OverQuota)
		assert.Equal(t, refusal.RetryAfter, time.Second)
	}
	r.next.panics = true
	for range 100 {
		func() {
			defer func() { assert.Assert(t, recover() != nil) }()
			r.acquire(place.Request{Workspace: "w"})
		}()
	}
	assert.Equal(t, len(r.QuotaRequests(r.now)[0].Workspaces), 1)
	assert.Equal(t, r.QuotaRequests(r.now)[0].Workspaces["w"].Have, 0, "tokens of jobs that no longer wait")
}

// Guards against an isolated host that uses tokens that it can't have.
func TestAnIsolatedHostHasAnAllowance(t *testing.T) {
	r := newRig(40)
	r.pass(2 * time.Second)
	admitted := 0
	for range 100 {
		g, refusal := r.acquire(place.Request{Workspace: "w", Isolated: true})
		if g != nil {
			admitted++
			continue
		}
		assert.Assert(t, refusal.OverQuota)
	}
	assert.Equal(t, admitted, 6) // A quarter of a tenth of 40 x 5 + 40.
	assert.Assert(t, r.seen.refused[0].Isolated)
}

// Guards against an owner that is lost unnoticed.
func TestLossOfTheOwnerIsReported(t *testing.T) {
	r := newRig(40)
	for range 10 {
		r.acquire(place.Request{Workspace: "w"})
		r.now = r.now.Add(quota.DrawInterval)
		r.QuotaRequests(r.now)
	}
	r.acquire(place.Request{Workspace: "w"})
	r.pass(time.Second)
	assert.DeepEqual(t, r.seen.contact, []string{"s true", "s false"})
}

// Guards against metrics whose number grows with the number of workspaces.
func TestUsageNamesTheLargestWorkspaces(t *testing.T) {
	r := newRig(10)
	p := &policy.Policy{Version: 5, Services: map[string]policy.Service{"s": {Name: "s"}}, Workspaces: map[string]policy.Workspace{}}
	for i := range 40 {
		name := fmt.Sprintf("w%02d", i)
		p.Workspaces[name] = policy.Workspace{Name: name, Rate: 1000, Burst: 1000}
	}
	r.setPolicy(p)
	for i := range 40 {
		for range i + 1 {
			r.acquire(place.Request{Workspace: fmt.Sprintf("w%02d", i)})
		}
	}
	usage := r.TakeUsage(r.now)
	assert.Equal(t, len(usage), maxNamed+1)
	assert.Equal(t, usage[0].Workspace, "w39")
	assert.Equal(t, usage[0].Admitted+usage[0].Refused, 40)
	assert.Equal(t, usage[maxNamed].Workspace, Other)
	assert.Equal(t, usage[maxNamed].Admitted+usage[maxNamed].Refused, 24*25/2)
	for range 100 {
		r.pass(quota.DrawInterval)
		usage = r.TakeUsage(r.now)
	}
	assert.Equal(t, len(usage), 0, "%v", usage)
	assert.Equal(t, len(r.ranking), 0)
}

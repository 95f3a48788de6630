package broker

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/loans"
)

// listenFrozen starts a frozen host: connections are accepted by its kernel, and nothing is answered.
func listenFrozen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// behindFrozen returns the view of the second host of a pair, where the given number of frozen hosts precede the first one in every
// order.
func behindFrozen(t *testing.T, p *hostPair, frozen int) *roster.View {
	t.Helper()
	v := *p.view
	v.Policy = &policy.Policy{Workspaces: map[string]policy.Workspace{"acme": {Name: "acme", Rate: 10, Burst: 10}}}
	v.Hosts = nil
	for i := range frozen {
		v.Hosts = append(v.Hosts, roster.Host{Name: fmt.Sprint("f", i), Domain: "f", Region: "west", Peer: listenFrozen(t), Cores: 9})
	}
	v.Hosts = append(v.Hosts, p.view.Hosts...)
	return &v
}

// answerLimit is the time in which a poll must find the first sound host: less than the 3 s for which loans are valid.
const answerLimit = 2 * time.Second

// Guards against a host that asks the same frozen hosts in turn, so that it never comes to a sound one and its region's loans lapse.
func TestLoansComeThoughTheFirstHostsAreFrozen(t *testing.T) {
	p := newHostPair(t)
	v := behindFrozen(t, p, 6)
	given := make(chan loans.Loans, 100)
	ctx, cancel := context.WithCancel(context.Background())
	poller := &LoanPoller{
		Requester: p.schedulers[1], Local: &fakeControl{}, View: func() *roster.View { return v }, Clock: time.Now, Done: make(chan struct{}),
		OnLoans: func(l loans.Loans) { given <- l }, OnError: func(string, error) {},
	}
	go poller.Run(ctx)
	defer func() { cancel(); <-poller.Done }()
	for range 4 { // Also when the frozen hosts are no longer skipped.
		select {
		case <-given:
		case <-time.After(answerLimit):
			t.Fatalf("no loans for %s", answerLimit)
		}
	}
}

// wantingHolder always wants tokens.
type wantingHolder struct{ got chan quota.Reply }

func (h wantingHolder) QuotaRequests(time.Time) []quota.Request {
	return []quota.Request{{Pool: "east", Service: "s", Workspaces: map[string]quota.Want{"acme": {Want: 1}}}}
}

func (h wantingHolder) ApplyQuota(_ time.Time, _ string, reply quota.Reply) { h.got <- reply }

func (h wantingHolder) QuotaUrgent() <-chan struct{} { return nil }

// Guards against wallets that run dry while the owner of the quotas and the next hosts in its order are frozen.
func TestQuotaComesThoughTheFirstHostsAreFrozen(t *testing.T) {
	p := newHostPair(t)
	v := behindFrozen(t, p, 6)
	holder := wantingHolder{got: make(chan quota.Reply, 100)}
	ctx, cancel := context.WithCancel(context.Background())
	poller := &QuotaPoller{Holder: holder, Local: p.control, View: func() *roster.View { return v }, OnError: func(string, error) {}, Clock: time.Now, Done: make(chan struct{})}
	go poller.Run(ctx)
	defer func() { cancel(); <-poller.Done }()
	for range 8 {
		select {
		case <-holder.got:
		case <-time.After(answerLimit):
			t.Fatalf("no quota for %s", answerLimit)
		}
	}
}

// Guards against requests that wait for a frozen host each time that its skip period ends.
func TestASilentHostStandsInNobodysWayBeforeItAnswers(t *testing.T) {
	pool := newPeerPool(time.Now)
	defer pool.close()
	h := roster.Host{Name: "f", Peer: listenFrozen(t), Incarnation: "1"}
	pool.markFailed(h)
	for end := time.Now().Add(2*skipPeriod + time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, pool.skipped(h))
	}
	h.Incarnation = "2"
	assert.Assert(t, !pool.skipped(h), "a new incarnation is another process")
}

// A host that answers again is used again.
func TestAHostThatAnswersAgainIsNoLongerSkipped(t *testing.T) {
	p := newHostPair(t)
	pool := newPeerPool(time.Now)
	defer pool.close()
	h := p.view.Hosts[0]
	pool.markFailed(h)
	assert.Assert(t, pool.skipped(h))
	for end := time.Now().Add(skipPeriod + time.Second); pool.skipped(h); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	_, err := pool.get(context.Background(), h)
	assert.NilError(t, err)
}

package broker

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// RequestQuota grants what is wanted and keeps the request.
func (c *fakeControl) RequestQuota(_ context.Context, req quota.Request) (quota.Reply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quotaRequests = append(c.quotaRequests, req)
	reply := quota.Reply{Workspaces: map[string]quota.Grant{}}
	for name, w := range req.Workspaces {
		reply.Workspaces[name] = quota.Grant{Give: w.Want, Wait: time.Duration(w.Debt) * time.Second}
	}
	return reply, true
}

// quotaRequestsSeen returns the requests since the last call.
func (c *fakeControl) quotaRequestsSeen() []quota.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.quotaRequests
	c.quotaRequests = nil
	return seen
}

// fakeHolder has the same request each time.
type fakeHolder struct {
	mu       sync.Mutex
	requests []quota.Request
	applied  []quota.Reply
	urgent   chan struct{}
}

func (h *fakeHolder) QuotaRequests(time.Time) []quota.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]quota.Request(nil), h.requests...)
}

func (h *fakeHolder) ApplyQuota(_ time.Time, _ string, reply quota.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = append(h.applied, reply)
}

func (h *fakeHolder) QuotaUrgent() <-chan struct{} { return h.urgent }

// newQuotaPoller returns a poller of the pair's second host, which asks the first one.
func newQuotaPoller(t *testing.T, p *hostPair, h *fakeHolder) *QuotaPoller {
	p.view.Version = 1
	p.view.Policy = &policy.Policy{Workspaces: map[string]policy.Workspace{"w": {Name: "w", Rate: 5}}}
	q := &QuotaPoller{Holder: h, Local: &fakeControl{}, View: func() *roster.View { return p.view }, OnError: func(string, error) {}, Clock: time.Now, Done: make(chan struct{})}
	q.peers = newPeerPool(time.Now)
	t.Cleanup(q.peers.close)
	return q
}

// Guards against fields that are lost between hosts.
func TestAQuotaRequestReachesTheOwner(t *testing.T) {
	p := newHostPair(t)
	req := quota.Request{Pool: "east", Service: "s", Workspaces: map[string]quota.Want{"w": {Have: 1, Want: 2, Debt: 3, Back: 4}}}
	h := &fakeHolder{requests: []quota.Request{req}}
	q := newQuotaPoller(t, p, h)
	q.poll(context.Background())
	req.Part, req.Fresh = "b", true // The second host is the only one of its failure domain.
	assert.DeepEqual(t, p.control.quotaRequestsSeen(), []quota.Request{req})
	assert.DeepEqual(t, h.applied, []quota.Reply{{Workspaces: map[string]quota.Grant{"w": {Give: 2, Wait: 3 * time.Second}}}})
}

// Guards against messages in deployments without limits, and against reports of hosts that are not the first of their failure domain.
func TestHostsWithoutLimitsSendNoQuotaRequest(t *testing.T) {
	p := newHostPair(t)
	h := &fakeHolder{}
	q := newQuotaPoller(t, p, h)
	for _, workspaces := range []map[string]policy.Workspace{nil, {"w": {Name: "w", Burst: 5}}} {
		p.view.Policy = &policy.Policy{Workspaces: workspaces}
		q.poll(context.Background())
		assert.Equal(t, len(p.control.quotaRequestsSeen()), 0)
	}
	p.view.Policy = &policy.Policy{Workspaces: map[string]policy.Workspace{"w": {Name: "w", Rate: 5}}}
	q.poll(context.Background())
	assert.DeepEqual(t, p.control.quotaRequestsSeen(), []quota.Request{{Part: "b", Fresh: true, Workspaces: map[string]quota.Want{}}})
	p.view.Self.Domain, p.view.Version = "a", 2
	q.poll(context.Background())
	assert.Equal(t, len(p.control.quotaRequestsSeen()), 0)
	assert.Equal(t, len(h.applied), 0)
}

// Guards against an owner that grants the time in which the domain reported to another one.
func TestTheFirstReportToAnOwnerIsFresh(t *testing.T) {
	p := newHostPair(t)
	q := newQuotaPoller(t, p, &fakeHolder{})
	fresh := func() bool {
		q.poll(context.Background())
		return p.control.quotaRequestsSeen()[0].Fresh
	}
	assert.Assert(t, fresh())
	assert.Assert(t, !fresh())
	q.checkReplies(p.view.Hosts[0], []error{context.DeadlineExceeded})
	assert.Assert(t, fresh(), "the report may have been handled or not")
	q.checkReplies(p.view.Hosts[1], []error{nil})
	assert.Assert(t, fresh(), "another host was the owner")
}

// Guards against a change of the owner, which costs the tokens in its buckets, for one late reply.
func TestOnlyARepeatedlyLateOwnerIsSkipped(t *testing.T) {
	p := newHostPair(t)
	q := newQuotaPoller(t, p, &fakeHolder{})
	owner := p.view.Hosts[0]
	late := []error{nil, context.DeadlineExceeded}
	q.checkReplies(owner, late)
	assert.Assert(t, !q.peers.skipped(owner))
	q.checkReplies(owner, []error{nil, nil})
	q.checkReplies(owner, late)
	assert.Assert(t, !q.peers.skipped(owner))
	q.checkReplies(owner, late)
	assert.Assert(t, q.peers.skipped(owner))
	next := p.view.Hosts[1]
	q.checkReplies(next, []error{errors.New("refused")})
	assert.Assert(t, q.peers.skipped(next))
}

// Guards against an owner that can't be reached and is not replaced.
func TestTheNextHostOwnsTheQuotasOfALostOne(t *testing.T) {
	p := newHostPair(t)
	h := &fakeHolder{requests: []quota.Request{{Service: "s", Workspaces: map[string]quota.Want{"w": {Want: 1}}}}, urgent: make(chan struct{})}
	q := newQuotaPoller(t, p, h)
	local := &fakeControl{}
	q.Local = local
	p.stopServer()
	<-p.server.Done
	ctx, cancel := context.WithCancel(context.Background())
	go q.Run(ctx)
	for begin := time.Now(); len(local.quotaRequestsSeen()) == 0; {
		assert.Assert(t, time.Since(begin) < quota.DrawInterval, "no host owns the quotas in time")
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	<-q.Done
}

// Guards against pools that refuse jobs for a whole interval after their demand has grown.
func TestAnUrgentQuotaRequestDoesNotWait(t *testing.T) {
	p := newHostPair(t)
	h := &fakeHolder{requests: []quota.Request{{Service: "s"}}, urgent: make(chan struct{}, 1)}
	q := newQuotaPoller(t, p, h)
	ctx, cancel := context.WithCancel(context.Background())
	go q.Run(ctx)
	const period = time.Second
	for begin := time.Now(); time.Since(begin) < period; {
		select {
		case h.urgent <- struct{}{}:
		default:
			time.Sleep(time.Millisecond)
		}
	}
	cancel()
	<-q.Done
	n := len(p.control.quotaRequestsSeen())
	assert.Assert(t, n > int(period/quota.DrawInterval)+1 && n <= int(period/quota.MinDrawInterval)+1, "%d requests", n)
}

// Guards against a timeout that is taken for a lost connection.
func TestATimeoutIsTold(t *testing.T) {
	p := newHostPair(t)
	q := newQuotaPoller(t, p, &fakeHolder{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	_, err := q.send(ctx, p.view, p.view.Hosts[0], &quota.Request{})
	assert.NilError(t, err)
	cancel()
	_, err = q.send(ctx, p.view, p.view.Hosts[0], &quota.Request{})
	assert.Assert(t, errors.Is(err, context.Canceled))
}

// releaseRecorder grants slots of a scheduler and keeps the results.
type releaseRecorder struct {
	Admitter
	results chan place.Result
}

func (r *releaseRecorder) Release(now time.Time, g *place.Grant, result place.Result) {
	r.Admitter.Release(now, g, result)
	r.results <- result
}

// Guards against tokens that are lost because the result of a job reaches the scheduler only, or because a grant that was not used looks like
// one whose job may have run.
func TestResultsReachTheAdmitter(t *testing.T) {
	p := newHostPair(t)
	seen := &releaseRecorder{Admitter: p.server.Admit, results: make(chan place.Result, 1000)}
	p.server.Admit = seen
	g := p.acquire(context.Background())
	assert.Assert(t, g != nil)
	p.placer.Release(time.Now(), g, place.Result{Shed: true, NotRun: true})
	assert.Assert(t, (<-seen.results).NotRun)
	known := *p.view
	known.Upstreams = nil // The grant is of no use to this host.
	p.placer.View = func() *roster.View { return &known }
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, p.acquire(ctx) == nil)
	assert.Assert(t, (<-seen.results).NotRun)
}

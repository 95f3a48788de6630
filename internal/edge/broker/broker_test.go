package broker

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/loans"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// fakeControl is a LoanPlanner and an UpdateSource with fixed answers.
type fakeControl struct {
	loanRequests  atomic.Int64
	mu            sync.Mutex
	quotaRequests []quota.Request
}

func (c *fakeControl) RequestLoans(_ context.Context, req loans.Request) (loans.Loans, bool) {
	c.loanRequests.Add(1)
	return loans.Loans{"u1": req.Region}, true
}

func (c *fakeControl) Updates(_ context.Context, q watch.Query) (watch.Updates, bool) {
	u := roster.Upstream{ID: "u9", Cold: 5 * time.Second, Reported: time.Now().Add(-time.Second)}
	return watch.Updates{Batch: roster.Batch{Revision: q.After + 1, Changes: []roster.Change{{Kind: roster.UpstreamKind, Name: "u9", Upstream: u}}}, Age: time.Second}, true
}

// hostPair is a host that places jobs and a host that acquires upstreams through it.
type hostPair struct {
	view       *roster.View
	schedulers [2]*place.Scheduler
	placer     *Placer
	ln         net.Listener
	server     *Server
	control    *fakeControl
	stopServer context.CancelFunc
	crashes    chan uint64
	panics     atomic.Int64
}

// RecordCrash keeps the digest of the crash.
func (p *hostPair) RecordCrash(_ time.Time, digest uint64, _ *roster.Upstream) { p.crashes <- digest }

func newHostPair(t *testing.T) *hostPair {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	first := roster.Host{Name: "h1", Domain: "a", Region: "east", Peer: ln.Addr().String(), Cores: 2}
	second := roster.Host{Name: "h2", Domain: "b", Region: "east", Peer: "127.0.0.1:1", Cores: 1}
	u := &roster.Upstream{ID: "u1", Service: "s", Address: "x", Domain: "a", Region: "east", Slots: 2}
	v := roster.View{
		Self: first, Hosts: []roster.Host{first, second}, Upstreams: map[string][]*roster.Upstream{"s": {u}}, Policy: &policy.Policy{},
	}
	v.DutyHosts = map[string][]roster.Host{"s": v.PlacingOrder("s")}
	p := &hostPair{ln: ln}
	for i, self := range []roster.Host{first, second} {
		own := v
		own.Self = self
		p.schedulers[i] = place.NewScheduler()
		p.schedulers[i].Update(time.Now(), &own)
		p.view = &own
	}
	ctx, stopServer := context.WithCancel(context.Background())
	p.stopServer = stopServer
	c := &fakeControl{}
	p.control = c
	p.crashes = make(chan uint64, 9)
	s := &Server{Planner: c, Updates: c, Quota: c, Crashes: p, OnPanic: func(string, any) { p.panics.Add(1) }, Admit: p.schedulers[0], Scheduler: p.schedulers[0], Clock: time.Now, Done: make(chan struct{})}
	p.server = s
	go s.Serve(ctx, ln)
	p.placer = NewPlacer(p.schedulers[1], func() *roster.View { return p.view }, time.Now, func(string, error) {})
	t.Cleanup(func() { stopServer(); p.placer.Close() })
	return p
}

func (p *hostPair) newRequest() place.Request {
	now := time.Now()
	return place.Request{Host: p.view.Self, Service: "s", Objective: now.Add(5 * time.Second), Deadline: now.Add(9 * time.Second)}
}

func (p *hostPair) acquire(ctx context.Context) *place.Grant {
	g, _ := p.placer.Acquire(ctx, time.Now(), p.newRequest())
	return g
}

func TestOneHostPlacesTheJobsOfItsRegion(t *testing.T) {
	p := newHostPair(t)
	a, b := p.acquire(context.Background()), p.acquire(context.Background())
	assert.Assert(t, a != nil && b != nil)
	got := make(chan *place.Grant)
	go func() { got <- p.acquire(context.Background()) }()
	select {
	case <-got:
		t.Fatal("a third job on two slots")
	case <-time.After(100 * time.Millisecond):
	}
	p.placer.Release(time.Now(), a, place.Result{Duration: time.Millisecond, Succeeded: true})
	assert.Assert(t, <-got != nil)
}

func TestAWaitThatIsGivenUpTakesNoSlot(t *testing.T) {
	p := newHostPair(t)
	a := p.acquire(context.Background())
	_ = p.acquire(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, p.acquire(ctx) == nil)
	p.placer.Release(time.Now(), a, place.Result{Inconclusive: true})
	assert.Assert(t, p.acquire(context.Background()) != nil)
}

// Guards against a placing host that refuses the waiting jobs of other hosts as it stops: the next host can place them.
func TestTheNextHostPlacesAJobThatWaitsAtAStoppingHost(t *testing.T) {
	p := newHostPair(t)
	_, _ = p.acquire(context.Background()), p.acquire(context.Background())
	got := make(chan *place.Grant)
	go func() { got <- p.acquire(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	p.stopServer()
	assert.Assert(t, <-got != nil)
}

func TestTheNextHostPlacesWhenTheFirstIsGone(t *testing.T) {
	p := newHostPair(t)
	_ = p.acquire(context.Background())
	p.stopServer()
	time.Sleep(50 * time.Millisecond)
	for range 2 {
		assert.Assert(t, p.acquire(context.Background()) != nil)
	}
}

func TestAHostThatCanReachNoPlacerGoesOnAlone(t *testing.T) {
	p := newHostPair(t)
	p.stopServer()
	v := *p.view
	v.Hosts = append([]roster.Host{
		{Name: "x1", Region: "east", Peer: "127.0.0.1:1", Cores: 9}, {Name: "x2", Region: "east", Peer: "127.0.0.1:2", Cores: 9},
	}, v.Hosts...)
	v.DutyHosts = map[string][]roster.Host{"s": v.PlacingOrder("s")}
	p.view = &v
	begin := time.Now()
	assert.Assert(t, p.acquire(context.Background()) != nil)
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, p.acquire(ctx) == nil, "more than one job at an upstream while isolated")
}

// A frozen host keeps its connections open but doesn't respond.
func TestAPlacerThatAnswersNothingIsLeft(t *testing.T) {
	p := newHostPair(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			if _, err := ln.Accept(); err != nil {
				return
			}
		}
	}()
	v := *p.view
	v.Hosts = []roster.Host{{Name: "h1", Region: "east", Peer: ln.Addr().String(), Cores: 2}, v.Self}
	p.view = &v
	begin := time.Now()
	assert.Assert(t, p.acquire(context.Background()) != nil)
	assert.Assert(t, time.Since(begin) < 5*time.Second)
}

func TestAnUpstreamThatThisHostKnowsToLeaveIsGivenBack(t *testing.T) {
	p := newHostPair(t)
	v := *p.view
	v.Upstreams = map[string][]*roster.Upstream{}
	p.view = &v
	assert.Assert(t, p.acquire(context.Background()) == nil)
	u := &roster.Upstream{ID: "u1", Service: "s", Slots: 2}
	v.Upstreams = map[string][]*roster.Upstream{"s": {u}}
	for range 2 {
		assert.Assert(t, p.acquire(context.Background()) != nil)
	}
}

func TestHostsExchangeStoreChangesAndLoans(t *testing.T) {
	p := newHostPair(t)
	fetcher := NewUpdateFetcher(time.Now)
	defer fetcher.Close()
	updates, err := fetcher.Updates(context.Background(), p.view.Hosts[0], watch.Query{After: 41, Wait: time.Second})
	assert.NilError(t, err)
	assert.Equal(t, updates.Batch.Revision, int64(42))
	cold := updates.Batch.Changes[0].Upstream.Cold
	assert.Assert(t, cold > 3*time.Second && cold <= 4*time.Second, "%s of 5 s are left after 1 s", cold)

	given := make(chan loans.Loans, 1)
	ctx, cancel := context.WithCancel(context.Background())
	poller := &LoanPoller{
		Requester: p.schedulers[1], Local: &fakeControl{}, View: func() *roster.View { return p.view }, Clock: time.Now, Done: make(chan struct{}),
		OnLoans: func(l loans.Loans) {
			select {
			case given <- l:
			default:
			}
		}, OnError: func(string, error) {},
	}
	go poller.Run(ctx)
	assert.DeepEqual(t, <-given, loans.Loans{"u1": "east"})
	cancel()
	<-poller.Done
}

// What an upstream asks of a host binds that host whatever the placing host does, and the placing host learns of it.
func TestAnUpstreamThatLeavesIsNotUsedByTheHostThatHeardIt(t *testing.T) {
	p := newHostPair(t)
	g := p.acquire(context.Background())
	p.placer.Release(time.Now(), g, place.Result{Duration: time.Millisecond, Succeeded: true, Leaving: true})
	assert.Assert(t, !p.schedulers[1].Accepts(time.Now(), g.Upstream))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	assert.Assert(t, p.acquire(ctx) == nil)
	assert.Assert(t, !p.schedulers[0].Accepts(time.Now(), g.Upstream))
}

func TestThePlacingHostLearnsOfCrashesWithTheRelease(t *testing.T) {
	p := newHostPair(t)
	req := p.newRequest()
	req.Digest = 77
	g, _ := p.placer.Acquire(context.Background(), time.Now(), req)
	p.placer.Release(time.Now(), g, place.Result{Unreachable: true, Crashed: true})
	assert.Equal(t, <-p.crashes, uint64(77))
}

func TestARefusalSaysWhenToComeBack(t *testing.T) {
	p := newHostPair(t)
	for range 2 {
		p.schedulers[0].Release(time.Now(), mustAcquire(t, p), place.Result{Duration: 2 * time.Second, Succeeded: true})
		assert.Assert(t, p.acquire(context.Background()) != nil)
	}
	req := p.newRequest()
	req.Objective, req.Deadline = time.Now().Add(10*time.Millisecond), time.Now().Add(2500*time.Millisecond)
	g, refusal := p.placer.Acquire(context.Background(), time.Now(), req)
	assert.Assert(t, g == nil)
	assert.Assert(t, (refusal.RetryAfter-time.Second).Abs() < 100*time.Millisecond, "%s", refusal.RetryAfter)
}

func mustAcquire(t *testing.T, p *hostPair) *place.Grant {
	g, _ := p.schedulers[0].Acquire(context.Background(), time.Now(), p.newRequest())
	assert.Assert(t, g != nil)
	return g
}

// panickingAdmitter panics on each request.
type panickingAdmitter struct{}

func (panickingAdmitter) Acquire(context.Context, time.Time, place.Request) (*place.Grant, place.Refusal) {
	panic("unexpected")
}

func (panickingAdmitter) Release(time.Time, *place.Grant, place.Result) {}

// A request of another host that makes this host panic must fail alone; the next ones are served on the same connection.
func TestAPanicEndsOneRequestOnly(t *testing.T) {
	p := newHostPair(t)
	served := p.server.Admit
	p.server.Admit = panickingAdmitter{}
	assert.Assert(t, p.acquire(context.Background()) != nil, "the host must go on in isolated mode")
	assert.Equal(t, p.panics.Load(), int64(1))
	p.server.Admit = served
	fetcher := NewUpdateFetcher(time.Now)
	defer fetcher.Close()
	_, err := fetcher.Updates(context.Background(), p.view.Hosts[0], watch.Query{After: 1})
	assert.NilError(t, err)
}

// A peer that announces a message without end, or sends noise, must be disconnected, at a bounded cost in memory.
func TestNoiseOfAPeerEndsItsConnectionOnly(t *testing.T) {
	p := newHostPair(t)
	for name, data := range map[string][]byte{
		"a length without end": {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, "an overlong length": bytes.Repeat([]byte{0xff}, 20),
		"no JSON": append([]byte{9}, "not json!"...), "another protocol": []byte("GET / HTTP/1.1\r\n\r\n"), "JSON of another kind": append([]byte{3}, "[1]"...),
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", p.ln.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, err = c.Write(data)
			assert.NilError(t, err)
			endless := bytes.Repeat([]byte("x"), 1<<16)
			assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			for sent := 0; err == nil; sent += len(endless) {
				assert.Assert(t, sent < 2*maxMessageBytes, "the peer is still connected after %d bytes", sent)
				_, err = c.Write(endless)
			}
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the peer was not disconnected")
			g := p.acquire(context.Background())
			assert.Assert(t, g != nil)
			p.placer.Release(time.Now(), g, place.Result{Duration: time.Millisecond, Succeeded: true})
		})
	}
}

// The host that would place next must get a copy of the placing host's knowledge.
func TestTheNextPlacingHostLearns(t *testing.T) {
	p := newHostPair(t)
	req := p.newRequest()
	req.Object = "x"
	g, _ := p.placer.Acquire(context.Background(), time.Now(), req)
	p.placer.Release(time.Now(), g, place.Result{Duration: 300 * time.Millisecond, Succeeded: true})
	for p.schedulers[0].Knowledge("s") == nil {
		time.Sleep(time.Millisecond)
	}
	l := &Learner{Scheduler: p.schedulers[1], View: func() *roster.View { return p.view }, OnError: func(string, error) {}, Clock: time.Now, peers: newPeerPool(time.Now)}
	defer l.peers.close()
	assert.Assert(t, teacher("h3", p.view.DutyHosts["s"]) == nil)
	l.learn(context.Background(), "s", *teacher("h2", p.view.DutyHosts["s"]))
	assert.DeepEqual(t, p.schedulers[1].Knowledge("s"), p.schedulers[0].Knowledge("s"))
}

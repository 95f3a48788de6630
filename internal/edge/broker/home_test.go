package broker

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// twoRegions is a region with two hosts that place jobs, and a host of another region whose jobs may only run in the first.
type twoRegions struct {
	schedulers  []*place.Scheduler // Of the two hosts in the east and the one in the west.
	stop        []context.CancelFunc
	east        *Placer // Of the second host in the east.
	west        *Placer
	view        *roster.View // Of the host in the west.
	unreachable atomic.Int64 // Hosts that the one in the west did not reach.
	homes       chan string  // What the placer of the west reported.
}

func newTwoRegions(t *testing.T) *twoRegions {
	r := &twoRegions{}
	v := roster.View{Policy: &policy.Policy{Workspaces: map[string]policy.Workspace{"acme": {Name: "acme"}}}}
	listeners := []net.Listener{}
	for _, h := range []roster.Host{{Name: "e1", Domain: "e", Region: "east", Cores: 2}, {Name: "e2", Domain: "e", Region: "east", Cores: 1}, {Name: "w1", Domain: "w", Region: "west", Cores: 1}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		h.Peer = ln.Addr().String()
		listeners, v.Hosts = append(listeners, ln), append(v.Hosts, h)
	}
	v.Upstreams = map[string][]*roster.Upstream{"s": {
		{ID: "e-up", Service: "s", Address: "x", Domain: "e", Region: "east", Slots: 2}, {ID: "w-up", Service: "s", Address: "y", Domain: "w", Region: "west", Slots: 2},
	}}
	views := []*roster.View{}
	for i, self := range v.Hosts {
		own := v
		own.Self = self
		own.DutyHosts = map[string][]roster.Host{"s": own.PlacingOrder("s")}
		views = append(views, &own)
		scheduler := place.NewScheduler()
		scheduler.Update(time.Now(), &own)
		r.schedulers = append(r.schedulers, scheduler)
		ctx, stop := context.WithCancel(context.Background())
		r.stop = append(r.stop, stop)
		server := &Server{Admit: scheduler, Scheduler: scheduler, Clock: time.Now, OnPanic: func(where string, v any) { t.Errorf("panic in %s: %v", where, v) }, Done: make(chan struct{})}
		go server.Serve(ctx, listeners[i])
		t.Cleanup(stop)
	}
	r.view = views[2]
	r.east = NewPlacer(r.schedulers[1], func() *roster.View { return views[1] }, time.Now, func(string, error) {})
	r.west = NewPlacer(r.schedulers[2], func() *roster.View { return r.view }, time.Now, func(string, error) { r.unreachable.Add(1) })
	r.homes = make(chan string, 20)
	r.west.OnHome = func(region string) { r.homes <- region }
	t.Cleanup(r.east.Close)
	t.Cleanup(r.west.Close)
	return r
}

// acquire requests an upstream through a placer and waits for it up to the given time.
func acquire(p *Placer, wait time.Duration, homes, tried []string) *place.Grant {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	now := time.Now()
	g, _ := p.Acquire(ctx, now, place.Request{
		Host: p.View().Self, Service: "s", Homes: homes, Tried: tried, Workspace: "acme", Objective: now.Add(5 * time.Second), Deadline: now.Add(9 * time.Second),
	})
	return g
}

const (
	longWait  = 5 * time.Second
	shortWait = 150 * time.Millisecond
)

var eastOnly = []string{"east"}

// Guards against jobs of other regions that fill the slots of a region beside its own jobs.
func TestJobsWhoseHomeIsElsewhereShareItsSlots(t *testing.T) {
	r := newTwoRegions(t)
	first := acquire(r.west, longWait, eastOnly, nil)
	assert.Assert(t, first != nil && first.Upstream.ID == "e-up")
	assert.Equal(t, <-r.homes, "east")
	assert.Assert(t, acquire(r.east, longWait, nil, nil) != nil)
	assert.Assert(t, acquire(r.west, shortWait, eastOnly, nil) == nil, "a third job on two slots")
	assert.Assert(t, acquire(r.east, shortWait, nil, nil) == nil, "a third job on two slots")
	got := make(chan *place.Grant)
	go func() { got <- acquire(r.east, longWait, nil, nil) }()
	time.Sleep(50 * time.Millisecond)
	r.west.Release(time.Now(), first, place.Result{Duration: time.Millisecond, Succeeded: true})
	assert.Assert(t, <-got != nil, "the slot of a job from elsewhere must go to the next job")
	assert.Equal(t, r.unreachable.Load(), int64(0))
}

func TestAJobWithAHomeHereIsPlacedHere(t *testing.T) {
	r := newTwoRegions(t)
	for _, homes := range [][]string{nil, {"east", "west"}} {
		g := acquire(r.west, longWait, homes, nil)
		assert.Equal(t, g.Upstream.ID, "w-up", "homes %v", homes)
		assert.Equal(t, len(r.homes), 0)
	}
	assert.Assert(t, acquire(r.west, shortWait, []string{"north"}, nil) == nil, "a region without upstreams")
}

func TestATriedUpstreamElsewhereIsNotUsedAgain(t *testing.T) {
	r := newTwoRegions(t)
	assert.Assert(t, acquire(r.west, shortWait, eastOnly, []string{"e-up"}) == nil)
}

func TestTheNextHostOfTheHomePlacesWhenTheFirstIsGone(t *testing.T) {
	r := newTwoRegions(t)
	assert.Assert(t, acquire(r.west, longWait, eastOnly, nil) != nil)
	r.stop[0]()
	time.Sleep(50 * time.Millisecond)
	for range 2 { // All slots of the upstream, so that the job isn't placed from the west.
		assert.Assert(t, acquire(r.west, longWait, eastOnly, nil) != nil)
	}
	assert.Equal(t, len(r.schedulers[2].Summaries(time.Now())), 0, "the west has placed jobs itself")
}

// Without any host of the home, the job uses the spare capacity of one job for each upstream there, as long as it may run nowhere else.
func TestWithoutAHostOfTheHomeAJobIsPlacedFromElsewhere(t *testing.T) {
	r := newTwoRegions(t)
	r.stop[0]()
	r.stop[1]()
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	g := acquire(r.west, longWait, eastOnly, nil)
	assert.Assert(t, g != nil && g.Upstream.ID == "e-up")
	assert.Equal(t, <-r.homes, "")
	assert.Assert(t, time.Since(begin) < time.Second, "took %s", time.Since(begin))
	assert.Assert(t, acquire(r.west, shortWait, eastOnly, nil) == nil, "more than one job on an upstream that this host doesn't coordinate")
	r.west.Release(time.Now(), g, place.Result{Duration: time.Millisecond, Succeeded: true})
	assert.Assert(t, acquire(r.west, longWait, eastOnly, nil) != nil)
}

func TestWithoutWorkspacesJobsArePlacedAsBefore(t *testing.T) {
	r := newTwoRegions(t)
	v := *r.view
	v.Policy = &policy.Policy{}
	r.view = &v
	assert.Assert(t, acquire(r.west, longWait, eastOnly, nil) != nil)
	assert.Assert(t, acquire(r.west, shortWait, eastOnly, nil) == nil)
	assert.Assert(t, acquire(r.east, longWait, nil, nil) != nil)
	assert.Assert(t, acquire(r.east, longWait, nil, nil) != nil, "the placing host of the east doesn't know of the job")
}

// Guards against pools that are computed for each job, and against ones that are kept after the hosts changed.
func TestThePoolsOfAHomeFollowTheView(t *testing.T) {
	r := newTwoRegions(t)
	req := place.Request{Service: "s", Homes: eastOnly, Workspace: "acme"}
	first := r.west.homes.pools(r.view, &req)
	same := *r.view
	assert.Assert(t, sameSlice(r.west.homes.pools(&same, &req)[0].Hosts, first[0].Hosts))
	changed := *r.view
	changed.Hosts = append([]roster.Host{}, r.view.Hosts[1:]...)
	assert.Equal(t, r.west.homes.pools(&changed, &req)[0].Hosts[0].Name, "e2")
	changed.Upstreams = map[string][]*roster.Upstream{"s": r.view.Upstreams["s"][1:]}
	assert.Equal(t, len(r.west.homes.pools(&changed, &req)), 0)
}

func TestTheShortestRoundTripCounts(t *testing.T) {
	h := &homeRegions{}
	for _, took := range []time.Duration{0, 80 * time.Millisecond, time.Second, 60 * time.Millisecond, 0, 70 * time.Millisecond} {
		h.record("east", took)
	}
	assert.DeepEqual(t, h.roundTrips, map[string]time.Duration{"east": 60 * time.Millisecond})
}

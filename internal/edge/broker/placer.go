package broker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// Placer places this host's jobs: with its own scheduler if this host places jobs for its region, otherwise through the
// host that does, and in isolated mode if no such host can be reached. Jobs whose homes exclude this host's region are placed by a
// host of a home region, if one can be reached.
type Placer struct {
	Scheduler     *place.Scheduler
	Admit         Admitter // Acquires from Scheduler.
	View          func() *roster.View
	Clock         func() time.Time
	OnUnreachable func(host string, err error) // Called for a host that could not be reached.
	OnHome        func(region string)          // Called for a job that may not run here, with the home whose host places it, or "" if none could be reached.

	peers    *peerPool
	lastCall atomic.Uint64
	mu       sync.Mutex
	remote   map[*place.Grant]*peer
	homes    homeRegions
}

// NewPlacer returns a placer; connections are opened on demand.
func NewPlacer(scheduler *place.Scheduler, view func() *roster.View, clock func() time.Time, onUnreachable func(host string, err error)) *Placer {
	return &Placer{Scheduler: scheduler, Admit: scheduler, View: view, Clock: clock, OnUnreachable: onUnreachable, OnHome: func(string) {}, peers: newPeerPool(clock), remote: map[*place.Grant]*peer{}}
}

// Close closes the connections to other hosts.
func (p *Placer) Close() { p.peers.close() }

// maxRemoteTries is the number of hosts that are tried to place one job; if none can be reached, the host after them in
// the order places jobs itself.
const maxRemoteTries = 2

// Acquire returns an upstream for a job, or a refusal if none is free in time.
func (p *Placer) Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal) {
	v := p.View()
	tries := 0
	homes := p.homes.pools(v, &req)
	for _, pool := range homes {
		if g, refusal, reached := p.acquireFromFirst(ctx, now, pool.Hosts, &tries, req); reached {
			p.OnHome(pool.Region)
			return g, refusal
		}
		now = p.Clock()
	}
	if len(homes) > 0 {
		p.OnHome("")
	}
	tries = 0
	if g, refusal, reached := p.acquireFromFirst(ctx, now, v.DutyHosts[req.Service], &tries, req); reached {
		return g, refusal
	}
	req.Isolated = true
	return p.Admit.Acquire(ctx, p.Clock(), req)
}

// acquireFromFirst acquires an upstream through the first of a pool's hosts that can be reached, or on this host if its turn
// comes first. It adds to the tries of the job, and reports whether a host was reached.
func (p *Placer) acquireFromFirst(ctx context.Context, now time.Time, hosts []roster.Host, tries *int, req place.Request) (*place.Grant, place.Refusal, bool) {
	for i, h := range hosts {
		if i > maxRemoteTries {
			break // Further hosts are isolated: if each of them placed freely, each slot would be filled many times.
		}
		if h.Name == p.View().Self.Name {
			g, refusal := p.Admit.Acquire(ctx, now, req)
			return g, refusal, true
		}
		if *tries == maxRemoteTries || p.peers.skipped(h) {
			continue
		}
		*tries++
		g, refusal, err := p.acquireFrom(ctx, now, h, req)
		if err == nil || ctx.Err() != nil {
			return g, refusal, true
		}
		p.OnUnreachable(h.Name, err)
		now = p.Clock()
	}
	return nil, place.Refusal{}, false
}

// acquireFrom acquires an upstream through another host. A grant for an upstream that this host no longer considers
// usable, or that asked this host not to send, is released, and another one requested.
func (p *Placer) acquireFrom(ctx context.Context, now time.Time, h roster.Host, req place.Request) (*place.Grant, place.Refusal, error) {
	to, err := p.peers.get(ctx, h)
	if err != nil {
		return nil, place.Refusal{}, err
	}
	for {
		grant, err := p.requestGrant(ctx, to, newWireAcquire(&req, p.lastCall.Add(1), now))
		if err != nil {
			return nil, place.Refusal{}, err
		}
		if grant.Upstream == "" {
			return nil, place.Refusal{RetryAfter: grant.RetryAfter, Quarantined: grant.Quarantined, OverQuota: grant.OverQuota}, nil
		}
		g := &place.Grant{ID: grant.ID, Upstream: findUpstream(p.View(), req.Service, grant), Digest: req.Digest, HedgeAfter: grant.HedgeAfter}
		if g.Upstream != nil && p.Scheduler.Accepts(p.Clock(), g.Upstream) {
			p.mu.Lock()
			p.remote[g] = to
			p.mu.Unlock()
			return g, place.Refusal{}, nil
		}
		_ = to.conn.Notify(ctx, methodRelease, wireRelease{ID: grant.ID, Inconclusive: true, NotRun: true})
		req.Tried = append(req.Tried, grant.Upstream)
		now = p.Clock()
	}
}

// grantReply is the result of a request for a grant.
type grantReply struct {
	grant wireGrant
	err   error
}

// requestGrant makes one call for a grant. If the context ends first, the call is canceled on the other host; a grant
// that arrives after that is released.
func (p *Placer) requestGrant(ctx context.Context, to *peer, w wireAcquire) (wireGrant, error) {
	replies := make(chan grantReply, 1)
	callCtx := context.WithoutCancel(ctx)
	go func() {
		var reply grantReply
		reply.err = to.call(callCtx, methodAcquire, w, &reply.grant)
		replies <- reply
	}()
	select {
	case reply := <-replies:
		if reply.err != nil {
			return wireGrant{}, ErrCall.Wrap(reply.err, "requesting an upstream from host %s", to.host.Name)
		}
		return reply.grant, nil
	case <-ctx.Done():
	}
	_ = to.conn.Notify(callCtx, methodCancel, wireCancel{Call: w.Call})
	go func() {
		if reply := <-replies; reply.err == nil && reply.grant.Upstream != "" {
			_ = to.conn.Notify(callCtx, methodRelease, wireRelease{ID: reply.grant.ID, Inconclusive: true, NotRun: true})
		}
	}()
	return wireGrant{}, ctx.Err()
}

// findUpstream returns the granted incarnation of an upstream, or nil if the view doesn't contain it.
func findUpstream(v *roster.View, service string, w wireGrant) *roster.Upstream {
	for _, u := range v.Upstreams[service] {
		if u.ID == w.Upstream && u.Born == w.Born {
			return u
		}
	}
	return nil
}

// Release ends a grant with the result of its job.
func (p *Placer) Release(now time.Time, g *place.Grant, r place.Result) {
	p.mu.Lock()
	to := p.remote[g]
	delete(p.remote, g)
	p.mu.Unlock()
	p.homes.record(g.Upstream.Region, r.DialTime)
	if to == nil {
		p.Admit.Release(now, g, r)
		return
	}
	p.Scheduler.Observe(now, g.Upstream, &r)
	// If the notification is lost, the placing host ends the grant when it expires.
	_ = to.conn.Notify(context.Background(), methodRelease, newWireRelease(g.ID, r))
}

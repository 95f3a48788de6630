package broker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// Placer places this host's jobs: through its own table if this host places for its region, through the host that
// does otherwise, and by itself if none can be reached.
type Placer struct {
	Table *place.Table
	Admit Admitter // Asks the table.
	View  func() *roster.View
	Clock func() time.Time
	Lost  func(host string, err error) // Told of a host that could not be asked.

	peers  *peers
	calls  atomic.Uint64
	mu     sync.Mutex
	remote map[*place.Grant]*peer
}

// NewPlacer returns a placer without connections.
func NewPlacer(t *place.Table, view func() *roster.View, clock func() time.Time, lost func(host string, err error)) *Placer {
	return &Placer{Table: t, Admit: t, View: view, Clock: clock, Lost: lost, peers: newPeers(clock), remote: map[*place.Grant]*peer{}}
}

// Close ends the connections to other hosts.
func (p *Placer) Close() { p.peers.close() }

// triesMost is how many hosts are asked to place one job; the one after them places if they can't be reached.
const triesMost = 2

// Acquire returns an upstream for a job, or nil if none is free in time.
func (p *Placer) Acquire(ctx context.Context, now time.Time, ask place.Ask) *place.Grant {
	v := p.View()
	tries := 0
	for i, h := range v.Duties[ask.Service] {
		if i > triesMost {
			break // Were all hosts to place when they can reach no other, they would fill each slot many times.
		}
		if h.Name == v.Self.Name {
			return p.Admit.Acquire(ctx, now, ask)
		}
		if tries == triesMost || p.peers.skipped(h) {
			continue
		}
		tries++
		g, err := p.take(ctx, now, h, ask)
		if err == nil || ctx.Err() != nil {
			return g
		}
		p.Lost(h.Name, err)
		now = p.Clock()
	}
	ask.Isolated = true
	return p.Admit.Acquire(ctx, now, ask)
}

// take asks another host. An upstream that this host knows to be leaving is given back.
func (p *Placer) take(ctx context.Context, now time.Time, h roster.Host, ask place.Ask) (*place.Grant, error) {
	to, err := p.peers.get(ctx, h)
	if err != nil {
		return nil, err
	}
	for {
		w, err := p.grant(ctx, to, toWire(&ask, p.calls.Add(1), now))
		if err != nil || w == nil {
			return nil, err
		}
		g := &place.Grant{Number: w.Number, Upstream: find(p.View(), ask.Service, w)}
		if g.Upstream != nil {
			p.mu.Lock()
			p.remote[g] = to
			p.mu.Unlock()
			return g, nil
		}
		_ = to.conn.Notify(ctx, methodFree, wireFree{Number: w.Number, Quiet: true})
		ask.Tried = append(ask.Tried, w.Upstream)
		now = p.Clock()
	}
}

// taken is the answer to a call for a grant.
type taken struct {
	grant *wireGrant
	err   error
}

// grant makes one call for a grant. If the caller leaves, the call is dropped; a grant that crosses the drop is
// given back.
func (p *Placer) grant(ctx context.Context, to *peer, w wireTake) (*wireGrant, error) {
	answer := make(chan taken, 1)
	life := context.WithoutCancel(ctx)
	go func() {
		var t taken
		t.err = to.call(life, p.Clock, methodTake, w, &t.grant)
		answer <- t
	}()
	select {
	case t := <-answer:
		if t.err != nil {
			return nil, ErrCall.Wrap(t.err, "asking %s", to.host.Name)
		}
		return t.grant, nil
	case <-ctx.Done():
	}
	_ = to.conn.Notify(life, methodDrop, wireDrop{Call: w.Call})
	go func() {
		if t := <-answer; t.err == nil && t.grant != nil {
			_ = to.conn.Notify(life, methodFree, wireFree{Number: t.grant.Number, Quiet: true})
		}
	}()
	return nil, ctx.Err()
}

func find(v *roster.View, service string, w *wireGrant) *roster.Upstream {
	for _, u := range v.Upstreams[service] {
		if u.ID == w.Upstream && u.Born == w.Born {
			return u
		}
	}
	return nil
}

// Release ends a job's stay at an upstream.
func (p *Placer) Release(now time.Time, g *place.Grant, r place.Result) {
	p.mu.Lock()
	to := p.remote[g]
	delete(p.remote, g)
	p.mu.Unlock()
	if to == nil {
		p.Table.Release(now, g, r)
		return
	}
	// A host that is lost meanwhile ends the grant by itself.
	_ = to.conn.Notify(context.Background(), methodFree, fromResult(g.Number, r))
}

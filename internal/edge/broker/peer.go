package broker

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// dialLife bounds a connection to another host of the region, a few milliseconds away.
	dialLife = 300 * time.Millisecond
	// quietLife is the silence after which a host that owes answers is asked whether it lives.
	quietLife = 150 * time.Millisecond
	// pingLife is how long it may take to say so: more than a pause of its processor, less than a freeze.
	pingLife = 300 * time.Millisecond
	// watchPeriod is how often silence is looked for.
	watchPeriod = 50 * time.Millisecond
	// skipLife is how long a host that did not answer is passed over.
	skipLife = 1500 * time.Millisecond
)

// peer is a connection to another host.
type peer struct {
	host    roster.Host
	conn    *jsonrpc2.Conn
	pending atomic.Int64
	heard   atomic.Int64 // Unix nanoseconds.
}

// call makes a call and returns when its answer is there or the connection is lost.
func (p *peer) call(ctx context.Context, clock func() time.Time, method string, in, out any) error {
	p.pending.Add(1)
	defer p.pending.Add(-1)
	err := p.conn.Call(ctx, method, in, out)
	if err == nil {
		p.heard.Store(clock().UnixNano())
	}
	return err
}

// watch closes the connection when the host owes answers and does not answer a ping.
func (p *peer) watch(clock func() time.Time) {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		select {
		case <-p.conn.DisconnectNotify():
			return
		case <-t.C:
		}
		if p.pending.Load() == 0 || clock().Sub(time.Unix(0, p.heard.Load())) < quietLife {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), pingLife)
		err := p.call(ctx, clock, methodPing, true, nil)
		cancel()
		if err != nil {
			_ = p.conn.Close()
			return
		}
	}
}

// peers holds the connections to other hosts, one for each.
type peers struct {
	clock func() time.Time

	mu    sync.Mutex
	conns map[string]*peer // By address.
	skip  map[string]time.Time
}

func newPeers(clock func() time.Time) *peers {
	return &peers{clock: clock, conns: map[string]*peer{}, skip: map[string]time.Time{}}
}

// get returns a connection to a host, or an error if it can't be reached or was lost a moment ago.
func (ps *peers) get(ctx context.Context, h roster.Host) (*peer, error) {
	ps.mu.Lock()
	if p := ps.conns[h.Peer]; p != nil && p.host.Incarnation == h.Incarnation {
		ps.mu.Unlock()
		return p, nil
	}
	if ps.clock().Before(ps.skip[h.Peer]) {
		ps.mu.Unlock()
		return nil, ErrCall.New("host %s was lost a moment ago", h.Name)
	}
	ps.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialLife)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", h.Peer)
	if err != nil {
		ps.lose(h)
		return nil, ErrCall.Wrap(err, "connecting to %s", h.Name)
	}
	p := &peer{host: h}
	p.heard.Store(ps.clock().UnixNano())
	p.conn = jsonrpc2.NewConn(context.Background(), stream(nc), noCalls{})
	return ps.keep(p), nil
}

// keep books a connection, unless another one was opened meanwhile.
func (ps *peers) keep(p *peer) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if old := ps.conns[p.host.Peer]; old != nil {
		if old.host.Incarnation == p.host.Incarnation {
			_ = p.conn.Close()
			return old
		}
		_ = old.conn.Close()
	}
	ps.conns[p.host.Peer] = p
	go p.watch(ps.clock)
	go func() {
		<-p.conn.DisconnectNotify()
		ps.mu.Lock()
		defer ps.mu.Unlock()
		if ps.conns[p.host.Peer] == p {
			delete(ps.conns, p.host.Peer)
			ps.skip[p.host.Peer] = ps.clock().Add(skipLife)
		}
	}()
	return p
}

// lose passes over a host for a while.
func (ps *peers) lose(h roster.Host) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.skip[h.Peer] = ps.clock().Add(skipLife)
}

// skipped tells whether a host is passed over.
func (ps *peers) skipped(h roster.Host) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.clock().Before(ps.skip[h.Peer])
}

// close ends all connections.
func (ps *peers) close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.conns {
		_ = p.conn.Close()
	}
}

// noCalls ignores calls from the other side, which makes none.
type noCalls struct{}

// Handle ignores a call.
func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

package broker

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// dialTimeout bounds connecting to another host; hosts of a region are a few milliseconds apart.
	dialTimeout = 300 * time.Millisecond
	// silenceLimit is the time without an answer after which a host with pending calls is pinged.
	silenceLimit = 150 * time.Millisecond
	// pingTimeout bounds a ping. It is longer than a brief scheduling pause of the other host, and shorter than the
	// time for which a frozen host, which keeps its connections open, doesn't answer.
	pingTimeout = 300 * time.Millisecond
	// monitorInterval is the interval between checks for silent hosts.
	monitorInterval = 50 * time.Millisecond
)

// peer is a connection to another host.
type peer struct {
	host      roster.Host
	conn      *jsonrpc2.Conn
	pending   atomic.Int64
	awaited   chan struct{} // Signals that a call is pending.
	lastHeard atomic.Int64  // When bytes last arrived, as Unix time in nanoseconds.
}

// heardSince reports whether bytes have arrived since a time.
func (p *peer) heardSince(t time.Time) bool { return p.lastHeard.Load() >= t.UnixNano() }

// heardConn records when bytes arrive from a peer.
type heardConn struct {
	net.Conn
	clock func() time.Time
	heard *atomic.Int64
}

// Read reads from the connection.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(c.clock().UnixNano())
	}
	return n, err
}

// call makes a call and returns when it is answered, its context ends or the connection is lost.
func (p *peer) call(ctx context.Context, method string, in, out any) error {
	p.expectReply()
	defer p.pending.Add(-1)
	return p.send(ctx, method, in, out)
}

// expectReply counts a call whose answer is due.
func (p *peer) expectReply() {
	p.pending.Add(1)
	select {
	case p.awaited <- struct{}{}:
	default:
	}
}

// send makes a call whose answer may take a while; monitor doesn't wait for it.
func (p *peer) send(ctx context.Context, method string, in, out any) error {
	return p.conn.Call(ctx, method, in, out)
}

// monitor closes the connection when a host with pending calls neither answers a ping nor sends anything else. Behind a large answer the
// reply to a ping waits its turn.
func (p *peer) monitor(clock func() time.Time) {
	t := time.NewTimer(monitorInterval)
	defer t.Stop()
	for {
		if p.pending.Load() == 0 {
			select {
			case <-p.conn.DisconnectNotify():
				return
			case <-p.awaited:
			}
		}
		t.Reset(monitorInterval)
		select {
		case <-p.conn.DisconnectNotify():
			return
		case <-t.C:
		}
		asked := clock()
		if p.pending.Load() == 0 || p.heardSince(asked.Add(-silenceLimit)) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := p.call(ctx, methodPing, true, nil)
		cancel()
		if err != nil && !p.heardSince(asked) {
			_ = p.conn.Close()
			return
		}
	}
}

// ignoreRequests ignores requests from the server side, which sends none.
type ignoreRequests struct{}

// Handle ignores a request.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

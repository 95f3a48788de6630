package broker

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// skipPeriod is the time after a failure in which a host is left alone. It is skipped until it has answered a ping after that.
	skipPeriod = 1500 * time.Millisecond
	// pingedHosts is the number of hosts that are pinged at the same time to find one that answers.
	pingedHosts = 8
)

// skip is a host that failed.
type skip struct {
	Incarnation string // A later incarnation is not skipped.
	Until       time.Time
	Pinging     bool
}

// peerPool holds one connection per host.
type peerPool struct {
	clock func() time.Time

	mu     sync.Mutex
	closed bool
	conns  map[string]*peer // By address.
	skips  map[string]*skip // By address.
}

func newPeerPool(clock func() time.Time) *peerPool {
	return &peerPool{clock: clock, conns: map[string]*peer{}, skips: map[string]*skip{}}
}

// get returns a connection to a host, or an error if the host can't be reached or is skipped after a failure.
func (ps *peerPool) get(ctx context.Context, h roster.Host) (*peer, error) {
	if ps.connected(h) == nil && ps.skipped(h) {
		return nil, ErrCall.New("host %s failed recently and is skipped", h.Name)
	}
	p, err := ps.connect(ctx, h)
	if err != nil {
		ps.markFailed(h)
	}
	return p, err
}

// connect returns a connection to a host, whether it is skipped or not.
func (ps *peerPool) connect(ctx context.Context, h roster.Host) (*peer, error) {
	if p := ps.connected(h); p != nil {
		return p, nil
	}
	return ps.dial(ctx, h)
}

// connected returns the open connection to a host, or nil.
func (ps *peerPool) connected(h roster.Host) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p := ps.conns[h.Peer]; p != nil && p.host.Incarnation == h.Incarnation {
		return p
	}
	return nil
}

// dial opens a connection to a host and adds it to the pool.
func (ps *peerPool) dial(ctx context.Context, h roster.Host) (*peer, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", h.Peer)
	if err != nil {
		return nil, ErrCall.Wrap(err, "connecting to host %s", h.Name)
	}
	p := &peer{host: h, awaited: make(chan struct{}, 1)}
	p.lastHeard.Store(ps.clock().UnixNano())
	heard := &heardConn{Conn: nc, clock: ps.clock, heard: &p.lastHeard}
	p.conn = jsonrpc2.NewConn(context.Background(), newStream(heard), ignoreRequests{})
	return ps.add(p), nil
}

// add adds a connection to the pool and returns it, or the existing one if another was opened meanwhile. It closes a
// connection to an earlier incarnation of the host.
func (ps *peerPool) add(p *peer) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.closed {
		_ = p.conn.Close()
		return p
	}
	if old := ps.conns[p.host.Peer]; old != nil {
		if old.host.Incarnation == p.host.Incarnation {
			_ = p.conn.Close()
			return old
		}
		_ = old.conn.Close()
	}
	ps.conns[p.host.Peer] = p
	go p.monitor(ps.clock)
	go func() {
		<-p.conn.DisconnectNotify()
		ps.mu.Lock()
		defer ps.mu.Unlock()
		if ps.conns[p.host.Peer] == p {
			delete(ps.conns, p.host.Peer)
			ps.skip(p.host)
		}
	}()
	return p
}

// markFailed skips a host.
func (ps *peerPool) markFailed(h roster.Host) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.skip(h)
}

func (ps *peerPool) skip(h roster.Host) {
	ps.skips[h.Peer] = &skip{Incarnation: h.Incarnation, Until: ps.clock().Add(skipPeriod)}
}

// skipped reports whether a host failed and has not answered a ping since. The ping is made here, beside the calls: a host that is
// still silent delays none of them.
func (ps *peerPool) skipped(h roster.Host) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	s := ps.skips[h.Peer]
	if s == nil || s.Incarnation != h.Incarnation {
		return false
	}
	if !s.Pinging && !ps.closed && !ps.clock().Before(s.Until) {
		s.Pinging = true
		go ps.pingSkipped(h)
	}
	return true
}

// pingSkipped pings a host that is skipped, and skips it no longer if it answers.
func (ps *peerPool) pingSkipped(h roster.Host) {
	err := ps.ping(context.Background(), h)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if s := ps.skips[h.Peer]; s == nil || s.Incarnation != h.Incarnation {
		return
	}
	if err != nil {
		ps.skip(h)
		return
	}
	delete(ps.skips, h.Peer)
}

// ping connects to a host, if necessary, and calls it.
func (ps *peerPool) ping(ctx context.Context, h roster.Host) error {
	p, err := ps.connect(ctx, h)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	asked := ps.clock()
	if err := p.call(ctx, methodPing, true, nil); err != nil && !p.heardSince(asked) {
		return ErrCall.Wrap(err, "pinging host %s", h.Name)
	}
	return nil
}

// firstSound returns the first host of an order that answers a ping, or this host if it comes first; it returns false if none of the
// next pingedHosts does. All are pinged at the same time, so that many frozen ones take no longer than one; those that don't answer are
// skipped from then on.
func (ps *peerPool) firstSound(ctx context.Context, self string, order []roster.Host) (roster.Host, bool) {
	var hosts []roster.Host
	for _, h := range order {
		if len(hosts) == pingedHosts || h.Name == self {
			break
		}
		if !ps.skipped(h) {
			hosts = append(hosts, h)
		}
	}
	errs := make([]error, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if errs[i] = ps.ping(ctx, h); errs[i] != nil && ctx.Err() == nil {
				ps.markFailed(h)
			}
		}()
	}
	wg.Wait()
	for i, h := range hosts {
		if errs[i] == nil {
			return h, true
		}
	}
	for _, h := range order {
		if h.Name == self {
			return h, ctx.Err() == nil && len(hosts) < pingedHosts
		}
	}
	return roster.Host{}, false
}

// close closes all connections.
func (ps *peerPool) close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.closed = true
	for _, p := range ps.conns {
		_ = p.conn.Close()
	}
}

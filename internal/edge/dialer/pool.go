package dialer

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout leaves time for one retransmission, which takes 1 s, at 55 ms of latency to a far region.
	dialTimeout = 1200 * time.Millisecond
	// idleTimeout is how long an idle connection is kept, unless the upstream's Keep-Alive asks for less.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from a Keep-Alive timeout, so that no job is sent while the upstream closes the connection.
	idleMargin = 500 * time.Millisecond
	// userTimeout closes a connection whose peer has not acknowledged sent data for this long.
	userTimeout = 3 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 8
	// readBufferSize is the size of a connection's read buffer in bytes; most responses fit.
	readBufferSize = 4096
)

// upstreamConn is a keep-alive connection to an upstream.
type upstreamConn struct {
	net.Conn
	reader  *bufio.Reader // Nil while the connection is idle.
	reused  bool          // An earlier request was sent on the connection.
	expires time.Time     // The connection is not reused after this time.
}

// pool holds idle connections, keyed by upstream and incarnation.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*upstreamConn
}

// get takes an idle connection that is still usable out of the pool, or returns nil.
func (p *pool) get(now time.Time, key string) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[key] = list
		if now.Before(c.expires) && reusable(c) {
			c.reused = true
			c.takeReader()
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, key)
	return nil
}

// put returns a connection to the pool, or closes it if the pool is full.
func (p *pool) put(now time.Time, key string, c *upstreamConn, timeout time.Duration) {
	if c.reader.Buffered() > 0 { // The bytes belong to no job.
		_ = c.Close()
		return
	}
	c.returnReader()
	c.expires = now.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// closeExpired closes connections whose idle timeout has passed.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *upstreamConn) bool {
			if now.Before(c.expires) {
				return false
			}
			_ = c.Close()
			return true
		})
		p.idle[key] = list
		if len(list) == 0 {
			delete(p.idle, key)
		}
	}
}

// reusable reports whether an idle connection is open and has no bytes to read: such bytes belong to no job,
// and end of file means that the upstream has closed the connection.
func reusable(c *upstreamConn) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// dial opens a connection to an upstream.
func dial(ctx context.Context, address string) (*upstreamConn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	uc := &upstreamConn{Conn: c}
	uc.takeReader()
	return uc, nil
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

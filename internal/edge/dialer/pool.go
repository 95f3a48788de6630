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
	// dialLife bounds a new connection: far regions are 55 ms away, and a lost packet is sent again after 1 s.
	dialLife = 1200 * time.Millisecond
	// idleLife is how long a connection is kept without a job; upstreams say less in Keep-Alive, or nothing.
	idleLife = 4 * time.Second
	// idleMargin is the time in which a job could cross the upstream's close.
	idleMargin = 500 * time.Millisecond
	// userTimeout ends connections to hosts that went silent while something is unacknowledged.
	userTimeout = 3 * time.Second
	// idleMost is how many idle connections to one upstream are kept.
	idleMost = 8
	// readBuffer is the buffer of a connection, in bytes; most answers fit.
	readBuffer = 4096
)

// link is a connection to an upstream.
type link struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // It is not used again after this.
}

// pool keeps the idle connections, by upstream.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*link
}

// get returns an idle connection that is still open and silent, or nil.
func (p *pool) get(now time.Time, key string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for len(list) > 0 {
		l := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[key] = list
		if now.Before(l.until) && quiet(l) {
			return l
		}
		_ = l.Close()
	}
	delete(p.idle, key)
	return nil
}

// put keeps a connection for the next job.
func (p *pool) put(now time.Time, key string, l *link, keep time.Duration) {
	l.until = now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= idleMost {
		_ = l.Close()
		return
	}
	p.idle[key] = append(p.idle[key], l)
}

// sweep closes connections that have been idle for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		list = slices.DeleteFunc(list, func(l *link) bool {
			if now.Before(l.until) {
				return false
			}
			_ = l.Close()
			return true
		})
		p.idle[key] = list
		if len(list) == 0 {
			delete(p.idle, key)
		}
	}
}

// quiet tells whether nothing has arrived on an idle connection: bytes there belong to no job, and an end
// means that the upstream has closed it.
func quiet(l *link) bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	sc, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		silent = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

// dial opens a connection to an upstream.
func dial(ctx context.Context, address string) (*link, error) {
	d := net.Dialer{Timeout: dialLife, KeepAlive: -1, Control: control}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &link{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

func control(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

package linger

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/edge/tally"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("linger")

// ErrUndelivered is returned when peers have not acknowledged what was written to them.
var ErrUndelivered = Errors.NewType("undelivered")

// Listener accepts connections whose Close returns at once and ends the connection when the peer has closed it, or has
// received all that was written and neither closes nor sends. The kernel discards what a peer has not acknowledged when a socket
// with unread bytes is closed, or when more bytes arrive afterwards.
type Listener struct {
	net.Listener
	Clock func() time.Time

	closing tally.Counter
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &conn{TCPConn: tcp, listener: l}, nil
}

// Wait waits until all closed connections have ended; it fails if the context ends first.
func (l *Listener) Wait(ctx context.Context) error {
	if err := l.closing.Wait(ctx); err != nil {
		return ErrUndelivered.Wrap(err, "closing the connections of %s", l.Addr())
	}
	return nil
}

// conn is an accepted connection.
type conn struct {
	*net.TCPConn
	listener *Listener

	reading sync.Mutex // Held while Read reads.
	mu      sync.Mutex
	closed  bool
}

// Read reads from the connection until it is closed here. What arrives later is discarded, since it can't be answered.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(b)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetDeadline sets both deadlines, unless the connection is closed.
func (c *conn) SetDeadline(t time.Time) error { return c.setDeadline(c.TCPConn.SetDeadline, t) }

// SetReadDeadline sets the deadline of Read, unless the connection is closed.
func (c *conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.TCPConn.SetReadDeadline, t) }

func (c *conn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set(t)
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close ends Read and Write at once, and the connection when its peer has what was written.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if err := errors.Join(c.CloseWrite(), c.TCPConn.SetReadDeadline(time.Unix(1, 0))); err != nil {
		return errors.Join(err, c.TCPConn.Close())
	}
	c.listener.closing.Begin()
	go c.deliver()
	return nil
}

// deliver discards what arrives until the peer closes the connection or it needn't be kept any longer.
func (c *conn) deliver() {
	defer c.listener.closing.End()
	defer func() { _ = c.TCPConn.Close() }()
	c.awaitRead() // The read deadline stays in the past until then.
	var kept Delivery
	for {
		if c.TCPConn.SetReadDeadline(c.listener.Clock().Add(CheckInterval)) != nil {
			return
		}
		sent, err := io.Copy(io.Discard, c.TCPConn)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return // The peer closed or reset the connection.
		}
		now := c.listener.Clock()
		if sent > 0 {
			kept.SentAt = now
		}
		if n, known := Unacknowledged(c.TCPConn); kept.Expired(now, n, known) {
			return
		}
	}
}

// awaitRead waits until a Read that has begun before the close has returned.
func (c *conn) awaitRead() {
	c.reading.Lock()
	defer c.reading.Unlock()
}

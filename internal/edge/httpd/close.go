package httpd

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/boragelane/boragelane/internal/edge/linger"
)

// idleCloseDelay is how long an idle connection that is to be closed is still read, for a request that has arrived already.
const idleCloseDelay = 50 * time.Millisecond

// Closed describes a connection that is about to be closed.
type Closed struct {
	Last           *Request   // The request whose response was written last, or nil.
	Unanswered     []*Request // Requests that ran or waited behind one that did.
	Announced      bool       // A response has said that the connection ends.
	ByCaller       bool       // The caller closed or reset it first.
	Unacknowledged int        // The bytes of responses that the caller's kernel has not acknowledged, if known.
}

// close closes the connection, and reports it if it was used.
func (c *conn) close() {
	c.mu.Lock()
	report := (c.lastWritten != nil || len(c.line) > 0) && !c.closed
	c.closed, c.closing = true, true
	event := Closed{Last: c.lastWritten, Announced: c.ended, ByCaller: c.callerLeft}
	for _, ex := range c.line {
		event.Unanswered = append(event.Unanswered, ex.req)
	}
	c.mu.Unlock()
	if report {
		event.Unacknowledged, _ = linger.Unacknowledged(c.net)
		c.server.OnClosed(event)
	}
	_ = c.net.Close()
}

// noteCallerLeft registers that the caller has closed or reset the connection.
func (c *conn) noteCallerLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callerLeft = true
}

// closeIdle closes the connection if no request is pending or being read.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.reading && !c.closing {
		c.closing, c.closingIdle = true, true
		_ = c.net.SetReadDeadline(c.server.Clock().Add(idleCloseDelay))
	}
}

// drain makes the connection accept no request after those that are pending or being read. A caller that always has a
// request outstanding would otherwise keep it open until the process exits. An idle connection accepts one more request.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 && !c.reading && !c.closing {
		c.closing = true
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// startWriting registers that the response to a request is being written, and reports whether the connection must close after it.
func (c *conn) startWriting(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.lastWritten, c.writing, c.idleDelivery = ex.req, true, linger.Delivery{}
	if c.server.draining.Load() && c.pending == 0 && !c.reading {
		c.closing = true
	}
	return ex.closeAfter || c.closing && c.pending == 0
}

// endWriting registers that a response has been handed to the kernel.
func (c *conn) endWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.idleSince = false, c.server.Clock()
}

// isResponding reports whether a response is pending or being written.
func (c *conn) isResponding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0 || c.writing
}

// isDelivering reports whether the caller may still receive a response. The close of an idle connection would otherwise cut it
// when the caller sends its next request.
func (c *conn) isDelivering(now time.Time) bool {
	if c.writing {
		return true
	}
	missing, known := linger.Unacknowledged(c.net)
	return known && missing > 0 && !c.idleDelivery.Expired(now, missing, known)
}

// awaitLastResponse waits on a connection that accepts no more requests, and reports whether the caller disconnects before
// its last response. It discards what the caller still sends: it would hide the end, and with unread bytes a close sends a reset.
func (c *conn) awaitLastResponse() bool {
	c.mu.Lock()
	if !c.ended { // Else the deadline that endReading has set must stay.
		_ = c.net.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	discarded := make([]byte, readBufferSize)
	for {
		if _, err := c.net.Read(discarded); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}

// endReading stops the reading of requests after the last response.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.ended = true, true
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
}

// hasEnded reports whether the last response has been written.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// linger closes the write side and discards what the caller still sends until it has closed its side, because closing a socket
// with unread bytes sends a reset, which discards what the caller has not received. Without a last response nothing more is
// read: the caller of a request that crosses the close of an idle connection may then send it again.
func (c *conn) linger() {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	var kept linger.Delivery
	if c.bodyRefused { // The rest of the body may come with pauses.
		kept.QuietTimeout = linger.CloseTimeout
	}
	discarded := make([]byte, readBufferSize)
	var checkAt time.Time
	for {
		now := c.server.Clock()
		if !now.Before(checkAt) {
			if missing, known := linger.Unacknowledged(c.net); kept.Expired(now, missing, known) {
				return
			}
			checkAt = now.Add(linger.CheckInterval)
			_ = c.net.SetReadDeadline(checkAt)
		}
		n, err := c.net.Read(discarded)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.noteCallerLeft()
			return
		}
		if n > 0 {
			kept.SentAt = now
		}
	}
}

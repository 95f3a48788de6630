package httpd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/edge/linger"
)

const (
	// maxPipelined bounds the requests of one connection that run concurrently.
	maxPipelined = 16
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4096
	// writeTimeout bounds writing a piece of a response to a slow caller.
	writeTimeout = 10 * time.Second
	// crowdedWriteTimeout is the same while the host holds too much for its callers.
	crowdedWriteTimeout = writeTimeout / 4
	// writePiece is the size in bytes of such a piece, so that the bound is on the caller's rate and not on the response's size:
	// 26 KB a second, or 105 KB while the host holds too much.
	writePiece = 256 << 10
	// connShare divides the limit of all that is held; more may not wait for one caller before its next request is read.
	connShare = 16
)

// conn is a connection from a caller.
type conn struct {
	server   *Server
	net      net.Conn
	limiter  byteLimiter
	reader   *bufio.Reader // Nil while nothing has been read that is not yet used.
	pipeline chan *exchange
	// bodyRefused means that a part of a body was left unread; only the reading goroutine uses it.
	bodyRefused bool

	mu           sync.Mutex
	waiting      int64     // Bytes of responses that are ready but not written.
	written      sync.Cond // Signaled when waiting falls.
	pending      int
	reading      bool            // The first byte of a request has arrived, but not yet all of it.
	closing      bool            // No further request is accepted.
	closingIdle  bool            // closing was set because the connection was idle; no response has announced it.
	idleSince    time.Time       // When the connection was accepted or its last response was written or still being received.
	writing      bool            // A response is being written.
	idleDelivery linger.Delivery // How long an idle connection is kept for its last response.
	lastWritten  *Request        // The request whose response was written last.
	closed       bool            // The connection has been closed here.
	callerLeft   bool            // The caller has closed or reset the connection.
	ended        bool            // The last response has been written.
	// line holds the requests from the first that still runs on, in their order.
	line []*exchange
	// yieldCause is the cause with which requests that hold back a ready response are canceled; nil if they aren't.
	yieldCause error
}

// exchange is a request in progress and its response.
type exchange struct {
	req        *Request
	response   chan Response
	closeAfter bool // The connection is closed after this response.
	giveUp     context.CancelCauseFunc
	ready      bool // The response is ready; guarded by the connection's mu.
}

var (
	errReadLimit = errors.New("read limit exceeded")
	// errNoMoreRequests ends the reading of a connection that accepts no further request.
	errNoMoreRequests = errors.New("connection accepts no more requests")
)

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		server: s, net: nc, limiter: byteLimiter{Reader: nc},
		pipeline: make(chan *exchange, maxPipelined), idleSince: s.Clock(),
	}
	c.written.L = &c.mu
	return c
}

// run reads requests and writes responses until the connection ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeResponses(cancel)
	}()
	callerGone := c.readRequests(ctx)
	close(c.pipeline)
	if callerGone {
		c.noteCallerLeft()
		cancel()
	}
	<-writerDone
	if c.hasEnded() {
		c.linger()
	}
	c.close()
}

// readRequests starts requests until the connection ends; it reports whether the caller has disconnected.
func (c *conn) readRequests(ctx context.Context) bool {
	for {
		c.awaitRoom()
		req, status, err := c.readRequest()
		switch {
		case errors.Is(err, errNoMoreRequests):
			return c.awaitLastResponse()
		case err != nil:
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
		ex := &exchange{req: req, response: make(chan Response, 1)}
		if !c.addPending(ex, status != 0) {
			req.Held.Settle(0)
			return false
		}
		exCtx := c.enter(ctx, ex)
		c.pipeline <- ex
		if status != 0 {
			c.server.OnRefused(req, status)
			c.settle(ex)
			ex.response <- refusal(status)
			return false
		}
		go func() {
			resp := c.server.serve(exCtx, req)
			c.settle(ex)
			c.hold(req, int64(cap(resp.Body)))
			req.Body = nil // The response may wait for those of earlier requests.
			ex.response <- resp
		}()
		if ex.closeAfter {
			return c.awaitLastResponse()
		}
	}
}

// addPending registers a request; it returns false if the connection accepts no more.
func (c *conn) addPending(ex *exchange, closeAfter bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.reading = false
	ex.closeAfter = closeAfter || ex.req.Header.Get("Connection") == "close" || c.server.draining.Load()
	c.closing = ex.closeAfter
	return true
}

// readRequest reads a request; a status other than 0 refuses it and closes the connection.
func (c *conn) readRequest() (*Request, int, error) {
	limits := c.server.Limits()
	c.limiter.remaining = limits.MaxHeaderBytes + readBufferSize
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return nil, 0, err
	}
	arrived := c.server.Clock()
	_ = c.net.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	hr, err := http.ReadRequest(c.reader)
	if err != nil && c.limiter.lastErr != nil {
		err = c.limiter.lastErr
	}
	switch {
	case errors.Is(err, errReadLimit):
		return c.newRequest(), http.StatusRequestHeaderFieldsTooLarge, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.newRequest(), http.StatusRequestTimeout, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		return nil, 0, err
	case err != nil:
		return c.newRequest(), http.StatusBadRequest, nil
	}
	req := c.newRequest()
	req.Method, req.Target, req.Host, req.Header, req.Arrived = hr.Method, hr.RequestURI, hr.Host, hr.Header, arrived
	if hr.Close || !hr.ProtoAtLeast(1, 1) && hr.Header.Get("Connection") != "keep-alive" {
		req.Header.Set("Connection", "close")
	}
	status, err := c.readBody(hr, req, limits.MaxBodyBytes)
	return req, status, err
}

// newRequest returns a request that holds nothing yet.
func (c *conn) newRequest() *Request { return &Request{Held: c.server.Held.NewAccount()} }

// awaitRequest waits for the first byte of a request; the idle timeout does not apply while responses are pending.
func (c *conn) awaitRequest(timeout time.Duration) error {
	for {
		if !c.setIdleDeadline(timeout) {
			return errNoMoreRequests
		}
		err := c.awaitByte()
		if err = c.beginRequest(err, timeout); !errors.Is(err, errStillBusy) {
			return err
		}
	}
}

// errStillBusy means that the idle timeout has passed while responses are pending or not yet received.
var errStillBusy = errors.New("responses are pending")

// setIdleDeadline sets the idle timeout unless the connection is closing; it returns false if no request may follow.
func (c *conn) setIdleDeadline(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		_ = c.net.SetReadDeadline(c.idleDeadline(c.server.Clock(), timeout))
	}
	return !c.closing || c.closingIdle
}

// idleDeadline returns when the idle timeout ends; it counts from the last response, or from now if one is pending.
func (c *conn) idleDeadline(now time.Time, timeout time.Duration) time.Time {
	if c.pending > 0 || c.writing {
		return now.Add(timeout)
	}
	return c.idleSince.Add(timeout)
}

// beginRequest decides, after a wait for the first byte of a request that ended with waitErr, whether a request follows.
func (c *conn) beginRequest(waitErr error, timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.server.Clock()
	switch {
	case c.closing && !c.closingIdle:
		if waitErr == nil || errors.Is(waitErr, os.ErrDeadlineExceeded) {
			return errNoMoreRequests
		}
	case waitErr == nil:
		c.reading = true
		c.closing, c.closingIdle = false, false // The request may have arrived just before the connection would have been closed.
	case errors.Is(waitErr, os.ErrDeadlineExceeded) && c.pending > 0:
		return errStillBusy
	case errors.Is(waitErr, os.ErrDeadlineExceeded) && c.isDelivering(now):
		c.idleSince = now
		if c.closing {
			_ = c.net.SetReadDeadline(now.Add(linger.CheckInterval))
		}
		return errStillBusy
	case errors.Is(waitErr, os.ErrDeadlineExceeded) && !c.closing && now.Before(c.idleDeadline(now, timeout)):
		return errStillBusy
	default:
		c.closing = true
	}
	return waitErr
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne)
}

func (c *conn) pendingRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

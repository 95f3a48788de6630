package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/held"
)

// Request is a fully read request of a caller.
type Request struct {
	Method  string
	Target  string // Path and query as sent.
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time     // Time at which the first byte was read.
	Held    *held.Account // What the server and the handler hold for the request.
}

// Response is the response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler responds to requests; the context is canceled when the caller disconnects.
type Handler interface {
	Serve(ctx context.Context, r *Request) Response
}

// serve runs the handler. A panic ends this request only: the answer doesn't say whether it ran.
func (s *Server) serve(ctx context.Context, r *Request) (resp Response) {
	defer func() {
		if v := recover(); v != nil {
			s.OnPanic("request", v)
			resp = Response{Status: http.StatusBadGateway}
		}
	}()
	return s.Handler.Serve(ctx, r)
}

// Limits holds the size limits and timeouts that apply to a request.
type Limits struct {
	MaxHeaderBytes int64 // In bytes.
	MaxBodyBytes   int64 // In bytes.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server accepts and serves connections from callers.
type Server struct {
	Handler   Handler
	Limits    func() Limits
	Clock     func() time.Time
	OnPanic   func(where string, value any) // Called in the goroutine that panicked.
	OnRefused func(r *Request, status int)  // Called for a request that was refused before it was read in full.
	OnClosed  func(c Closed)                // Called before a used connection is closed; it must not call the server.
	Done      chan struct{}                 // Closed when the last connection has ended.
	Held      *held.Budget                  // Bounds what is held for all requests; a body that exceeds it is refused.

	mu       sync.Mutex
	conns    map[*conn]struct{}
	closed   bool // CloseIdle was called.
	active   sync.WaitGroup
	draining atomic.Bool
	// yieldCause is the cause given to Yield, or nil.
	yieldCause error
}

// defaultMaxHeld is the default limit of Server.Held in bytes.
const defaultMaxHeld = 128 << 20

// New returns a server that is not running yet.
func New(h Handler, limits func() Limits, clock func() time.Time) *Server {
	return &Server{
		Handler: h, Limits: limits, Clock: clock, OnPanic: func(string, any) {}, OnRefused: func(*Request, int) {},
		OnClosed: func(Closed) {}, Done: make(chan struct{}), Held: held.NewBudget(defaultMaxHeld), conns: map[*conn]struct{}{},
	}
}

// acceptRetryDelay is the pause after a failed accept, for example when file descriptors run out.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the listener is closed, then waits for all of them to end.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	defer close(s.Done)
	defer s.active.Wait()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(ctx, c)
	}
}

func (s *Server) startConn(ctx context.Context, nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	if s.closed { // It was accepted before the listener was closed; nothing would close it before the process exits.
		s.mu.Unlock()
		_ = nc.Close()
		return
	}
	c.yieldCause = s.yieldCause
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		c.run(ctx)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain makes each connection close after the requests that it has accepted, or after one more if it is idle. The last
// response announces the close.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}

// CloseIdle closes the connections without pending requests, and those that are accepted from now on. The listener must be
// closed before.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.closeIdle()
	}
}

// Close closes all connections at once. What their callers have not received by then may be lost.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.close()
	}
}

// Pending returns the number of requests that were read and are not answered yet.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.pendingRequests()
	}
	return n
}

package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Request is one request of a caller, read to its end.
type Request struct {
	Method  string
	Target  string // Path and query as they were sent.
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time // When its first byte was read.
}

// Answer is what a caller gets.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests; the context ends when the caller leaves.
type Handler interface {
	Serve(ctx context.Context, r *Request) Answer
}

// Bounds limits what a caller may send.
type Bounds struct {
	Header     int64 // Bytes.
	Body       int64 // Bytes.
	HeaderLife time.Duration
	IdleLife   time.Duration
}

// Server serves callers until it is closed.
type Server struct {
	Handler Handler
	Bounds  func() Bounds
	Clock   func() time.Time
	Done    chan struct{} // Closed when the last connection has ended.

	mu       sync.Mutex
	conns    map[*conn]struct{}
	work     sync.WaitGroup
	draining atomic.Bool
}

// New returns a server that does not run yet.
func New(h Handler, bounds func() Bounds, clock func() time.Time) *Server {
	return &Server{Handler: h, Bounds: bounds, Clock: clock, Done: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// acceptDelay is the pause after a failed accept, such as when descriptors run out.
const acceptDelay = 20 * time.Millisecond

// Serve accepts connections until the listener is closed, and waits for the last one to end.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	defer close(s.Done)
	defer s.work.Wait()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptDelay)
			continue
		}
		s.start(ctx, c)
	}
}

func (s *Server) start(ctx context.Context, nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		c.run(ctx)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain makes each connection close with its next answer that has no other behind it.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which nothing is under way.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/edge/tally"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/poison"
)

// Limits of a server.
const (
	// helloTimeout bounds the time until the first message of a new connection, its hello.
	helloTimeout = 5 * time.Second
	// maxCalls bounds the calls in flight on one connection.
	maxCalls = 4096
	// maxConns bounds the open connections of a server.
	maxConns = 8192
)

// Host handles the calls of other hosts.
type Host interface {
	RunForwarded(ctx context.Context, job *pipe.Job)
	RunOwned(ctx context.Context, job *pipe.Job)
	HandleHeartbeat(ctx context.Context, hb state.Heartbeat) (state.HeartbeatReply, bool)
	HandleExchange(ctx context.Context, exchange state.Exchange) (state.ExchangeReply, bool)
	Notice(n state.NoticeReceived)
	Document() *spec.Document
	HandleCrash(c poison.Crash, spread bool)
	AdoptRecords(incarnation string, until time.Time, last bool, records []dedup.Record)
}

// Server serves the calls of other hosts.
type Server struct {
	Host  Host
	Clock func() time.Time
	Log   *zap.Logger
	Meter *Meter
	Done  chan struct{} // Closed when the last connection has ended.

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	jobs  tally.Counter // Jobs of other hosts whose replies are not written yet.
	wg    sync.WaitGroup
}

// NewServer returns a server that serves no listener yet.
func NewServer(h Host, clock func() time.Time, log *zap.Logger, meter *Meter) *Server {
	return &Server{Host: h, Clock: clock, Log: log, Meter: meter, Done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
}

// Serve accepts connections until the listener is closed, then closes them and waits for their calls to end.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	defer close(s.Done)
	for {
		c, err := ln.Accept()
		if err != nil {
			break
		}
		if !s.addConn(c) {
			_ = c.Close()
			continue
		}
		s.wg.Add(1)
		go s.serveConn(ctx, c)
	}
	s.closeAll()
	s.wg.Wait()
}

func (s *Server) addConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConns {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// WaitForJobs waits until the replies to all jobs of other hosts are written; it fails if the context ends first.
func (s *Server) WaitForJobs(ctx context.Context) error { return s.jobs.Wait(ctx) }

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &session{server: s, conn: c, calls: map[uint64]context.CancelFunc{}}
	_ = c.SetReadDeadline(s.Clock().Add(helloTimeout))
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(c, frameCodec{s.Meter}), h, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
	_ = c.Close()
	cancel()
	h.closeCalls()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

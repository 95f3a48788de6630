package broker

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/ctrl/deal"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// Dealer lends upstreams between regions.
type Dealer interface {
	Ask(ctx context.Context, a deal.Ask) (deal.Loans, bool)
}

// Teller passes on what this host read from the store.
type Teller interface {
	News(ctx context.Context, after int64) (watch.News, bool)
}

// Admitter admits jobs to upstreams.
type Admitter interface {
	Acquire(ctx context.Context, now time.Time, ask place.Ask) *place.Grant
}

// Server places the jobs of other hosts of its region.
type Server struct {
	Dealer Dealer
	Teller Teller
	Admit  Admitter // Asks the table.
	Table  *place.Table
	Clock  func() time.Time
	Done   chan struct{}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	defer close(s.Done)
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		ses := &session{server: s, drops: map[uint64]context.CancelFunc{}}
		life, cancel := context.WithCancel(ctx)
		conn := jsonrpc2.NewConn(life, stream(c), jsonrpc2.AsyncHandler(ses))
		go func() {
			<-conn.DisconnectNotify()
			cancel()
		}()
	}
}

func stream(c net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
}

// session is one host's connection.
type session struct {
	server *Server
	mu     sync.Mutex
	drops  map[uint64]context.CancelFunc // Calls that wait, by the number that the host gave them.
}

// Handle answers one call.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var err error
	switch req.Method {
	case methodTake:
		err = handle(req, func(w *wireTake) error { return s.take(ctx, conn, req.ID, w) })
	case methodFree:
		err = handle(req, s.free)
	case methodDrop:
		err = handle(req, s.drop)
	case methodPing:
		err = conn.Reply(ctx, req.ID, true)
	case methodNews:
		err = handle(req, func(w *wireFollow) error { return s.news(ctx, conn, req.ID, w) })
	case methodDeal:
		err = handle(req, func(a *deal.Ask) error { return s.deal(ctx, conn, req.ID, a) })
	default:
		err = ErrCall.New("no method %q", req.Method)
	}
	if err != nil && !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()})
	}
}

func handle[T any](req *jsonrpc2.Request, do func(*T) error) error {
	var in T
	if req.Params == nil {
		return ErrCall.New("%s has no parameters", req.Method)
	}
	if err := json.Unmarshal(*req.Params, &in); err != nil {
		return ErrCall.Wrap(err, "parameters of %s", req.Method)
	}
	return do(&in)
}

func (s *session) take(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, w *wireTake) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.drops[w.Call] = cancel
	s.mu.Unlock()
	now := s.server.Clock()
	g := s.server.Admit.Acquire(ctx, now, w.ask(now))
	s.mu.Lock()
	delete(s.drops, w.Call)
	s.mu.Unlock()
	if g == nil {
		return conn.Reply(ctx, id, nil)
	}
	err := ctx.Err() // A dropped call gets no grant.
	if err == nil {
		err = conn.Reply(ctx, id, wireGrant{Number: g.Number, Upstream: g.Upstream.ID, Born: g.Upstream.Born})
	}
	if err != nil {
		s.server.Table.Release(s.server.Clock(), g, place.Result{Quiet: true})
	}
	return err
}

func (s *session) free(w *wireFree) error {
	if g := s.server.Table.Find(w.Number); g != nil {
		s.server.Table.Release(s.server.Clock(), g, w.result())
	}
	return nil
}

func (s *session) drop(w *wireDrop) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.drops[w.Call]; cancel != nil {
		cancel()
	}
	return nil
}

func (s *session) deal(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, a *deal.Ask) error {
	loans, ok := s.server.Dealer.Ask(ctx, *a)
	if !ok {
		return ErrCall.New("this host is stopping")
	}
	return conn.Reply(ctx, id, loans)
}

// news tells what changed; the time left of a cold upstream is what matters to the other host, not its clock.
func (s *session) news(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, w *wireFollow) error {
	n, ok := s.server.Teller.News(ctx, w.After)
	if !ok {
		return ErrCall.New("this host is stopping")
	}
	now := s.server.Clock()
	changes := slices.Clone(n.Batch.Changes)
	for i := range changes {
		u := &changes[i].Upstream
		u.Cold = max(0, u.ColdUntil().Sub(now))
		u.Reported = time.Time{}
		if changes[i].Err != nil {
			changes[i].Err, changes[i].Removed = nil, true // An entry that can't be read names nothing to use.
		}
	}
	return conn.Reply(ctx, id, wireNews{Revision: n.Batch.Revision, Full: n.Batch.Full, Age: n.Age, Changes: changes})
}

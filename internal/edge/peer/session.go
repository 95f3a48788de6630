package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// session is the server's side of a connection.
type session struct {
	server        *Server
	conn          net.Conn
	helloReceived bool
	mu            sync.Mutex
	calls         map[uint64]context.CancelFunc
	ended         bool
	wg            sync.WaitGroup
}

// Handle processes one message; it is called in the order of arrival and runs each call in a goroutine of its own.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !s.helloReceived && req.Method != methodHello {
		s.disconnect("message before hello", req.Method)
		return
	}
	if req.Method == methodCancel {
		s.cancelCall(req)
		return
	}
	if req.Notif {
		s.disconnect("unknown notification", req.Method)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	if !s.beginCall(req.ID.Num, cancel) {
		cancel()
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "too many calls"})
		return
	}
	if req.Method == methodHello {
		s.handleHello(ctx, rpc, req)
		s.endCall(req.ID.Num)
		return
	}
	job := req.Method == methodRun || req.Method == methodOwn
	if job {
		s.server.jobs.Begin()
	}
	go func() {
		defer s.endCall(req.ID.Num)
		s.handleCall(ctx, rpc, req)
		if job {
			s.server.jobs.End()
		}
	}()
}

func (s *session) disconnect(why, method string) {
	s.server.Log.Warn("cutting off a peer connection", zap.String("reason", why), zap.String("method", method),
		zap.Stringer("remote", s.conn.RemoteAddr()))
	_ = s.conn.Close()
}

// beginCall registers a call; it returns false for a duplicate id, for too many calls and on a closed connection.
func (s *session) beginCall(id uint64, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.calls[id]; taken || s.ended || len(s.calls) >= maxCalls {
		return false
	}
	s.calls[id] = cancel
	s.wg.Add(1)
	return true
}

// closeCalls refuses further calls and waits for those in flight.
func (s *session) closeCalls() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *session) endCall(id uint64) {
	defer s.wg.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.calls[id]; cancel != nil {
		cancel()
	}
	delete(s.calls, id)
}

func (s *session) cancelCall(req *jsonrpc2.Request) {
	var w wireCancel
	if decodeParams(req, &w) != nil {
		s.disconnect("malformed cancel message", req.Method)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.calls[w.ID]; cancel != nil {
		cancel()
	}
}

func (s *session) handleHello(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var w wireHello
	if decodeParams(req, &w) != nil || w.Version != protocolVersion {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "this host speaks version 1"})
		s.disconnect("invalid hello or unsupported protocol version", req.Method)
		return
	}
	s.helloReceived = true
	_ = s.conn.SetReadDeadline(time.Time{})
	_ = rpc.Reply(ctx, req.ID, wireHello{Version: protocolVersion})
}

func decodeParams(req *jsonrpc2.Request, v any) error {
	if req.Params == nil {
		return ErrFrame.New("method %s has no parameters", req.Method)
	}
	if err := json.Unmarshal(*req.Params, v); err != nil {
		return ErrFrame.Wrap(err, "decoding the parameters of %s", req.Method)
	}
	return nil
}

// handleCall runs one call and sends its result or its error.
func (s *session) handleCall(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, req)
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		return
	}
	_ = rpc.Reply(ctx, req.ID, result)
}

func (s *session) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	host, now := s.server.Host, s.server.Clock()
	switch req.Method {
	case methodRun:
		return s.runJob(ctx, req, host.RunForwarded)
	case methodOwn:
		return s.runJob(ctx, req, host.RunOwned)
	case methodHeartbeat:
		var w wireHeartbeat
		if err := decodeParams(req, &w); err != nil {
			return nil, err
		}
		r, ok := host.HandleHeartbeat(ctx, w.heartbeat())
		return fromHeartbeatReply(r), stoppingError(ok)
	case methodExchange:
		var w wireExchange
		if err := decodeParams(req, &w); err != nil {
			return nil, err
		}
		r, ok := host.HandleExchange(ctx, w.exchange())
		return wireExchangeReply{Incarnation: r.Incarnation, Revision: r.Revision, Seq: r.Seq, Summaries: fromSummaries(r.Summaries)}, stoppingError(ok)
	case methodNotice:
		var w wireNotice
		if err := decodeParams(req, &w); err != nil {
			return nil, err
		}
		host.Notice(state.NoticeReceived(w))
		return struct{}{}, nil
	case methodFetch:
		var w wireFetch
		if err := decodeParams(req, &w); err != nil {
			return nil, err
		}
		return newFetchReply(host.Document(), w.Have), nil
	case methodCrash:
		var w wireCrash
		if err := decodeParams(req, &w); err != nil {
			return nil, err
		}
		host.HandleCrash(w.crash(now), w.Spread)
		return struct{}{}, nil
	case methodHandOver:
		return struct{}{}, s.handOver(req)
	}
	return nil, ErrFrame.New("there is no method %q", req.Method)
}

func stoppingError(ok bool) error {
	if ok {
		return nil
	}
	return ErrRefused.New("this host is stopping")
}

func (s *session) runJob(ctx context.Context, req *jsonrpc2.Request, serve func(context.Context, *pipe.Job)) (any, error) {
	var w wireJob
	if err := decodeParams(req, &w); err != nil {
		return nil, err
	}
	job := w.job(s.server.Clock())
	serve(ctx, job)
	return fromOutcome(job), nil
}

func (s *session) handOver(req *jsonrpc2.Request) error {
	var w wireHandOver
	if err := decodeParams(req, &w); err != nil {
		return err
	}
	records := make([]dedup.Record, 0, len(w.Records))
	for _, r := range w.Records {
		records = append(records, r.record())
	}
	s.server.Host.AdoptRecords(w.Incarnation, time.Unix(w.Until, 0), w.Last, records)
	return nil
}

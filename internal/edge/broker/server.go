package broker

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/loans"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// LoanPlanner records a region's demand and returns the planned loans of upstreams between regions; it returns false if
// the context or the planner ended first.
type LoanPlanner interface {
	RequestLoans(ctx context.Context, req loans.Request) (loans.Loans, bool)
}

// UpdateSource answers a host that follows this one, and waits for news as long as it asks for; it returns false if the context
// or the source ended first.
type UpdateSource interface {
	Updates(ctx context.Context, q watch.Query) (watch.Updates, bool)
}

// QuotaOwner grants tokens of workspaces; it returns false if the context or the owner ended first.
type QuotaOwner interface {
	RequestQuota(ctx context.Context, req quota.Request) (quota.Reply, bool)
}

// Admitter admits jobs to upstreams, waits for a free slot and takes the results.
type Admitter interface {
	Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal)
	Release(now time.Time, g *place.Grant, r place.Result)
}

// CrashRecorder is told of the upstreams that crashed while they ran a job of another host.
type CrashRecorder interface {
	RecordCrash(now time.Time, digest uint64, u *roster.Upstream)
}

// Server answers other hosts: it places the jobs of its region, plans loans and passes on store changes.
type Server struct {
	Planner   LoanPlanner
	Updates   UpdateSource
	Quota     QuotaOwner
	Admit     Admitter // Acquires from Scheduler.
	Scheduler *place.Scheduler
	Crashes   CrashRecorder
	Clock     func() time.Time
	OnPanic   func(where string, value any) // Called in the goroutine that panicked.
	Done      chan struct{}

	packer packer
}

// Serve accepts connections until the context ends or the listener is closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	defer close(s.Done)
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		sess := &session{server: s, cancels: map[uint64]context.CancelFunc{}}
		connCtx, cancel := context.WithCancel(ctx)
		conn := jsonrpc2.NewConn(connCtx, newStream(c), jsonrpc2.AsyncHandler(sess))
		go func() {
			<-conn.DisconnectNotify()
			cancel()
		}()
	}
}

// session is the connection of one host.
type session struct {
	server  *Server
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // Waiting calls, by the number that the other host assigned.
}

// Handle serves one request. A panic ends this request only.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	defer func() {
		if v := recover(); v != nil {
			s.server.OnPanic(req.Method, v)
			if !req.Notif {
				_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "internal error"})
			}
		}
	}()
	var err error
	switch req.Method {
	case methodAcquire:
		err = decodeParams(req, func(w *wireAcquire) error { return s.acquire(ctx, conn, req.ID, w) })
	case methodRelease:
		err = decodeParams(req, s.release)
	case methodCancel:
		err = decodeParams(req, s.cancel)
	case methodPing:
		err = conn.Reply(ctx, req.ID, true)
	case methodUpdates:
		err = decodeParams(req, func(w *wireUpdatesRequest) error { return s.updates(ctx, conn, req.ID, w) })
	case methodLearn:
		err = decodeParams(req, func(w *wireLearnRequest) error {
			return conn.Reply(ctx, req.ID, newWireKnowledge(s.server.Scheduler.Knowledge(w.Service)))
		})
	case methodQuota:
		err = decodeParams(req, func(w *wireQuotaRequest) error { return s.quota(ctx, conn, req.ID, w) })
	case methodLoans:
		err = decodeParams(req, func(params *loans.Request) error { return s.loans(ctx, conn, req.ID, params) })
	default:
		err = ErrCall.New("no method %q", req.Method)
	}
	if err != nil && !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()})
	}
}

// decodeParams decodes the parameters of a request and passes them to do.
func decodeParams[T any](req *jsonrpc2.Request, do func(*T) error) error {
	var in T
	if req.Params == nil {
		return ErrCall.New("%s has no parameters", req.Method)
	}
	if err := json.Unmarshal(*req.Params, &in); err != nil {
		return ErrCall.Wrap(err, "parameters of %s", req.Method)
	}
	return do(&in)
}

// acquire waits for an upstream and replies with a grant or a refusal.
func (s *session) acquire(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, w *wireAcquire) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancels[w.Call] = cancel
	s.mu.Unlock()
	now := s.server.Clock()
	g, refusal := s.server.Admit.Acquire(ctx, now, w.toRequest(now))
	s.mu.Lock()
	delete(s.cancels, w.Call)
	s.mu.Unlock()
	if g == nil && ctx.Err() != nil {
		return ErrCall.New("the call was canceled, or this host is stopping") // Not a refusal: the next host may place the job.
	}
	if g == nil {
		return conn.Reply(ctx, id, wireGrant{RetryAfter: refusal.RetryAfter, Quarantined: refusal.Quarantined, OverQuota: refusal.OverQuota})
	}
	err := ctx.Err() // A canceled call gets no grant.
	if err == nil {
		err = conn.Reply(ctx, id, wireGrant{ID: g.ID, Upstream: g.Upstream.ID, Born: g.Upstream.Born, HedgeAfter: g.HedgeAfter})
	}
	if err != nil {
		s.server.Admit.Release(s.server.Clock(), g, place.Result{Inconclusive: true, NotRun: true})
	}
	return err
}

// release ends a grant; an unknown grant is ignored, since it may have expired.
func (s *session) release(w *wireRelease) error {
	if g := s.server.Scheduler.Find(w.ID); g != nil {
		now := s.server.Clock()
		if w.Crashed {
			s.server.Crashes.RecordCrash(now, g.Digest, g.Upstream)
		}
		s.server.Admit.Release(now, g, w.toResult())
	}
	return nil
}

// cancel ends the wait of a call; an unknown call is ignored, since it may have been answered.
func (s *session) cancel(w *wireCancel) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[w.Call]; cancel != nil {
		cancel()
	}
	return nil
}

// loans records a region's demand and replies with the loans.
func (s *session) loans(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, req *loans.Request) error {
	loans, ok := s.server.Planner.RequestLoans(ctx, *req)
	if !ok {
		return ErrCall.New("this host is stopping")
	}
	return conn.Reply(ctx, id, loans)
}

// updates replies with the store changes after a revision, as soon as there are news.
func (s *session) updates(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, w *wireUpdatesRequest) error {
	updates, ok := s.server.Updates.Updates(ctx, watch.Query{Era: w.Era, After: w.After, Wait: min(w.Wait, maxUpdatesWait), Age: w.Age})
	if !ok {
		return ErrCall.New("this host is stopping")
	}
	out, err := s.server.packer.pack(&updates, s.server.Clock())
	if err != nil {
		return err
	}
	return conn.Reply(ctx, id, out)
}

const (
	// maxUpdatesWait bounds the time for which a request for updates waits.
	maxUpdatesWait = 5 * time.Second
	// snapshotReuse is how long an encoded snapshot is sent again; after a restart of many hosts each of them needs one.
	snapshotReuse = 250 * time.Millisecond
)

// packer encodes updates and keeps the last snapshot.
type packer struct {
	mu       sync.Mutex
	snapshot wireUpdates
	packedAt time.Time
}

// pack encodes updates. A snapshot of the last snapshotReuse is returned again, with its own revision and its present age.
func (p *packer) pack(updates *watch.Updates, now time.Time) (wireUpdates, error) {
	out := wireUpdates{Era: updates.Batch.Era, Revision: updates.Batch.Revision, Snapshot: updates.Batch.Snapshot, Age: updates.Age, Steady: updates.Batch.Steady, Outage: updates.Batch.Outage}
	if !out.Snapshot {
		return out, out.encodeChanges(updates.Batch.Changes, now)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if age := now.Sub(p.packedAt); age < snapshotReuse && age >= 0 {
		reused := p.snapshot
		reused.Age += age
		return reused, nil
	}
	err := out.encodeChanges(updates.Batch.Changes, now)
	if err == nil {
		p.snapshot, p.packedAt = out, now
	}
	return out, err
}

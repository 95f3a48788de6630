package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/poison"
)

// Timeouts of a client.
const (
	// DialTimeout bounds connecting to a host, including the protocol handshake.
	DialTimeout = 500 * time.Millisecond
	// CallTimeout bounds a control call.
	CallTimeout = 700 * time.Millisecond
	// FetchTimeout bounds a call that transfers a document or ticket records.
	FetchTimeout = 2 * time.Second
)

// connClass separates control messages from traffic, because control must not queue behind large bodies.
type connClass int

const (
	controlConn connClass = iota
	trafficConn
)

type connKey struct {
	addr  string
	class connClass
}

// Client calls other hosts; it keeps one connection for control and one for traffic to each of them.
type Client struct {
	Seat  string // This host's seat.
	Clock func() time.Time
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	// Control and Traffic count the bytes of each class of connection.
	Control Meter
	Traffic Meter

	mu     sync.Mutex
	conns  map[connKey]*connEntry
	nextID atomic.Uint64
	closed bool
}

type connEntry struct {
	ready chan struct{}
	rpc   *jsonrpc2.Conn
	err   error
}

// NewClient returns a client that connects on the first call to a host.
func NewClient(seat string, clock func() time.Time) *Client {
	return &Client{Seat: seat, Clock: clock, Dial: (&net.Dialer{}).DialContext, conns: map[connKey]*connEntry{}}
}

// Close closes all connections and refuses further calls.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.closeConns()
}

// conn returns the connection to an address; concurrent callers share one dial.
func (c *Client) conn(ctx context.Context, k connKey) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrDown.New("this host is stopping")
	}
	e := c.conns[k]
	if e == nil {
		e = &connEntry{ready: make(chan struct{})}
		c.conns[k] = e
		go c.dial(k, e)
	}
	c.mu.Unlock()
	select {
	case <-e.ready:
		return e.rpc, e.err
	case <-ctx.Done():
		return nil, ErrDown.Wrap(ctx.Err(), "connecting to %s", k.addr)
	}
}

func (c *Client) dial(k connKey, e *connEntry) {
	e.rpc, e.err = c.connect(k)
	close(e.ready)
	if e.err != nil {
		c.removeConn(k, e)
		return
	}
	<-e.rpc.DisconnectNotify()
	c.removeConn(k, e)
}

func (c *Client) connect(k connKey) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	raw, err := c.Dial(ctx, "tcp", k.addr)
	if err != nil {
		return nil, ErrDown.Wrap(err, "connecting to %s", k.addr)
	}
	meter := &c.Control
	if k.class == trafficConn {
		meter = &c.Traffic
	}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, frameCodec{meter}), rejectCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	var hello wireHello
	if err := rpc.Call(ctx, methodHello, wireHello{Version: protocolVersion, Seat: c.Seat}, &hello); err != nil {
		_ = rpc.Close()
		return nil, ErrDown.Wrap(err, "hello to %s", k.addr)
	}
	return rpc, nil
}

// rejectCalls disconnects from a server that calls its client, which the protocol does not allow.
type rejectCalls struct{}

// Handle closes the connection.
func (rejectCalls) Handle(_ context.Context, rpc *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = rpc.Close()
}

func (c *Client) removeConn(k connKey, e *connEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[k] == e {
		delete(c.conns, k)
	}
}

// call makes one call, and sends a cancel message if its context ends first.
func (c *Client) call(ctx context.Context, addr string, class connClass, method string, params, result any) error {
	rpc, err := c.conn(ctx, connKey{addr, class})
	if err != nil {
		return err
	}
	id := jsonrpc2.ID{Num: c.nextID.Add(1)}
	err = rpc.Call(ctx, method, params, result, jsonrpc2.PickID(id))
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return ErrRefused.Wrap(err, "%s at %s", method, addr)
	case errors.Is(err, jsonrpc2.ErrClosed):
		return ErrLost.Wrap(err, "%s at %s", method, addr)
	}
	if ctx.Err() != nil {
		detached := context.WithoutCancel(ctx)
		go func() { _ = rpc.Notify(detached, methodCancel, wireCancel{ID: id.Num}) }()
	}
	return ErrLost.Wrap(err, "%s at %s", method, addr)
}

func (c *Client) callControl(ctx context.Context, timeout time.Duration, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.call(ctx, addr, controlConn, method, params, result)
}

// Run sends a job to another host and applies the outcome that it returns.
func (c *Client) Run(ctx context.Context, t pipe.Target, job *pipe.Job) {
	c.runRemote(ctx, t.Peer, methodRun, job)
}

// Forward sends a job to the owner of its ticket; it returns false if nothing was sent.
func (c *Client) Forward(ctx context.Context, _ time.Time, seat spec.Seat, job *pipe.Job) bool {
	c.runRemote(ctx, seat.Peer, methodOwn, job)
	if job.Outcome.Reason == pipe.PeerDown {
		job.Outcome = pipe.Outcome{}
		return false
	}
	return true
}

func (c *Client) runRemote(ctx context.Context, addr, method string, job *pipe.Job) {
	var out wireOutcome
	err := c.call(ctx, addr, trafficConn, method, fromJob(job, c.Clock()), &out)
	switch {
	case err == nil:
		out.applyTo(job)
		checkAnswer(job)
	case errorx.IsOfType(err, ErrDown):
		job.Refuse(pipe.PeerDown, "host "+addr+" can't be reached")
	case ctx.Err() != nil:
		job.EndUnknown(pipe.Expired, "host "+addr+" did not answer in time")
	default:
		job.EndUnknown(pipe.PeerLost, "the connection to host "+addr+" was lost")
	}
}

// Heartbeat sends a heartbeat of this host to a relay.
func (c *Client) Heartbeat(ctx context.Context, addr string, hb state.Heartbeat) (state.HeartbeatReply, error) {
	var w wireHeartbeatReply
	err := c.callControl(ctx, CallTimeout, addr, methodHeartbeat, fromHeartbeat(hb), &w)
	return w.reply(), err
}

// Exchange exchanges load summaries with another relay.
func (c *Client) Exchange(ctx context.Context, addr string, s state.Exchange) (state.ExchangeReply, error) {
	var w wireExchangeReply
	err := c.callControl(ctx, CallTimeout, addr, methodExchange, fromExchange(s), &w)
	return state.ExchangeReply{Incarnation: w.Incarnation, Revision: w.Revision, Seq: w.Seq, Summaries: toSummaries(w.Summaries)}, err
}

// SendNotice notifies a host of a new revision.
func (c *Client) SendNotice(ctx context.Context, addr string, n state.SendNotice) error {
	return c.callControl(ctx, CallTimeout, addr, methodNotice, wireNotice{Seat: c.Seat, Revision: n.Revision, Changes: n.Changes}, nil)
}

// Fetch returns a host's document, or false if it has none; with known set it fetches only the changes since then.
func (c *Client) Fetch(ctx context.Context, addr string, known *spec.Document) (spec.Document, bool, error) {
	var req wireFetch
	if known != nil {
		req.Have = known.Revision
	}
	var w wireFetchReply
	if err := c.callControl(ctx, FetchTimeout, addr, methodFetch, req, &w); err != nil {
		return spec.Document{}, false, err
	}
	doc, ok := w.document(known)
	return doc, ok, nil
}

// ReportCrash reports a crash to a host; with spread set the host forwards it to its failure domain.
func (c *Client) ReportCrash(ctx context.Context, addr string, cr poison.Crash, spread bool) error {
	w := wireCrash{Digest: cr.Digest, Upstream: cr.Upstream, Age: c.Clock().Sub(cr.At).Microseconds(), Spread: spread}
	return c.callControl(ctx, CallTimeout, addr, methodCrash, w, nil)
}

// handOverBatch is the maximum number of records in one hand-over message.
const handOverBatch = 64

// HandOver transfers the ticket records of a stopped incarnation to its successor, in batches.
func (c *Client) HandOver(ctx context.Context, addr, incarnation string, until time.Time, records []dedup.Record) error {
	for {
		n := min(handOverBatch, len(records))
		w := wireHandOver{Incarnation: incarnation, Until: until.Unix(), Last: n == len(records)}
		for _, r := range records[:n] {
			w.Records = append(w.Records, fromRecord(r))
		}
		if err := c.callControl(ctx, FetchTimeout, addr, methodHandOver, w, nil); err != nil {
			return err
		}
		records = records[n:]
		if w.Last {
			return nil
		}
	}
}

// Reset closes all connections; the next call opens a new one.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeConns()
}

func (c *Client) closeConns() {
	for k, e := range c.conns {
		select {
		case <-e.ready:
			if e.rpc != nil {
				_ = e.rpc.Close()
			}
		default:
		}
		delete(c.conns, k)
	}
}

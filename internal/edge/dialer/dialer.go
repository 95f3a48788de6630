package dialer

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/edge/egress"
	"github.com/boragelane/boragelane/internal/edge/strict"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("dialer")

// ErrResponse marks a response that can't be used as the job's answer.
var ErrResponse = Errors.NewType("answer")

// ErrNoMemory is returned when the host holds too much for its callers to read a response.
var ErrNoMemory = ErrResponse.NewSubtype("memory")

// HeaderNames holds the names of the HTTP headers that boragelane exchanges with upstreams.
type HeaderNames struct {
	RequestID   string // The caller's request id, which the upstream echoes in its response.
	Deadline    string // Milliseconds until the deadline.
	UpstreamID  string // Id of the upstream that the request is addressed to.
	Signature   string // Marks a response that an upstream itself produced.
	NotExecuted string // Present if the upstream did not run the request.
	Load        string // Running requests, waiting requests, slots and, from some upstreams, the pace in percent, separated by commas.
	Leaving     string // "1" in each response of an upstream that leaves.
	Key         string // The caller's key, which no upstream gets.
	Workspace   string // Name of the job's workspace.
}

const (
	// maxResponseBody is the largest accepted response body, in bytes.
	maxResponseBody = 16 << 20
	// maxStaleResponses is how many responses are read from a connection while looking for the job's.
	maxStaleResponses = 4
	// deadlineMargin is subtracted from the deadline sent to the upstream, so that its response arrives before the job's deadline.
	deadlineMargin = 10 * time.Millisecond
)

// Sender sends jobs to upstreams over pooled connections.
type Sender struct {
	Names     HeaderNames
	Clock     func() time.Time
	OnBadLoad func(u *roster.Upstream, value string) // Called for each malformed load header; nil ignores them.
	Usable    func(u *roster.Upstream) bool          // Reports whether an upstream may still get jobs; nil allows all.

	pool pool
}

// New returns a sender with an empty connection pool.
func New(names HeaderNames, clock func() time.Time) *Sender {
	return &Sender{Names: names, Clock: clock, pool: pool{idle: map[string][]*upstreamConn{}}}
}

// CloseExpired closes pooled connections whose idle timeout has passed.
func (s *Sender) CloseExpired(now time.Time) { s.pool.closeExpired(now) }

// poolKey returns the key of an upstream's pooled connections. It includes the upstream's incarnation, so that a
// connection to an earlier one is never reused.
func poolKey(u *roster.Upstream) string {
	return u.ID + " " + u.Address + " " + strconv.FormatInt(u.Born, 36)
}

// Send sends a job to an upstream exactly once and reads the full response.
func (s *Sender) Send(ctx context.Context, now time.Time, job *pipe.Job, u *roster.Upstream) pipe.Reply {
	var r pipe.Reply
	c := s.pool.get(now, poolKey(u))
	if c == nil {
		if c, r.Err = dial(ctx, u.Address); r.Err != nil {
			r.Late = ctx.Err() != nil
			return r
		}
		r.DialTime = s.Clock().Sub(now)
		if s.Usable != nil && !s.Usable(u) { // It left while the connection was opened, which may take dialTimeout.
			r.Left = true
			_ = c.Close()
			return r
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	r.Sent = true
	reuse, err := s.roundTrip(job, u, c, &r)
	if !stop() || err != nil || reuse <= 0 {
		_ = c.Close()
	} else {
		s.pool.put(s.Clock(), poolKey(u), c, reuse)
	}
	if err != nil {
		r.Err = err
		r.NoMemory = errorx.IsOfType(err, ErrNoMemory)
		r.Late = ctx.Err() != nil
		r.Crashed = !r.Late && !errorx.IsOfType(err, ErrResponse) && !egress.Reachable(u.Address)
	}
	return r
}

// roundTrip writes the request and reads the response; it returns how long the connection may be reused, or 0.
func (s *Sender) roundTrip(job *pipe.Job, u *roster.Upstream, c *upstreamConn, r *pipe.Reply) (time.Duration, error) {
	req := s.newRequest(job, u)
	if err := req.check(); err != nil {
		return 0, err
	}
	writeErr := make(chan error, 1)
	if len(job.Body) == 0 {
		writeErr <- req.writeTo(c)
	} else {
		// An upstream may respond before it has read all of a long body.
		go func() { writeErr <- req.writeTo(c) }()
	}
	head, body, err := s.readResponse(req, job, c)
	if err != nil {
		return 0, err
	}
	if head.UntilClose() {
		if err := confirmEnd(c, writeErr); err != nil {
			return 0, err
		}
	}
	s.fillReply(head, body, r)
	r.Report = s.readLoad(u, head.Header.Get(s.Names.Load))
	select {
	case err := <-writeErr:
		if err == nil && !head.Close {
			return reuseTimeout(head.Header), nil
		}
	default: // The body is still being written, so the connection can't be reused.
	}
	return 0, nil
}

// confirmEnd returns an error if a response that ended with its connection was cut off by a reset. The system reports a reset once: if
// the request is still being written, the writer may get the error, and the reader an ordinary end. EPIPE is no such report, since it
// means that the upstream had ended its side before.
func confirmEnd(c *upstreamConn, writeErr <-chan error) error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // The upstream may have stopped reading.
	err := <-writeErr
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

func (s *Sender) newRequest(job *pipe.Job, u *roster.Upstream) *request {
	header := http.Header(maps.Clone(job.Header))
	if header == nil {
		header = http.Header{}
	}
	s.setWorkspace(header, job)
	header.Set(s.Names.UpstreamID, u.ID)
	remaining := job.Deadline.Sub(s.Clock()) - deadlineMargin
	header.Set(s.Names.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	for name, value := range job.Trace {
		header.Set(name, value)
	}
	return &request{Method: job.Method, Target: job.Path, Host: job.Host, Header: header, Body: job.Body}
}

// setWorkspace replaces the caller's key and what the caller claims to be by the job's workspace, if the policy has workspaces.
func (s *Sender) setWorkspace(header http.Header, job *pipe.Job) {
	if !job.Workspaces {
		return
	}
	header.Del(s.Names.Key)
	header.Del(s.Names.Workspace)
	if job.Workspace != "" {
		header.Set(s.Names.Workspace, job.Workspace)
	}
}

// readResponse returns the response to the job. It skips informational responses and late responses to earlier requests.
func (s *Sender) readResponse(req *request, job *pipe.Job, c *upstreamConn) (strict.Head, []byte, error) {
	for range maxStaleResponses {
		h, body, err := readOne(req, job, c)
		if err != nil {
			return strict.Head{}, nil, err
		}
		if h.Status < http.StatusOK {
			continue
		}
		echo := h.Header.Get(s.Names.RequestID)
		if echo == job.ID || echo == "" && !c.reused {
			return h, body, nil
		}
		job.Held.ShrinkAnswer(int64(cap(body)))
		if echo == "" {
			return strict.Head{}, nil, ErrResponse.New("received a response without an ID, which may belong to an earlier request")
		}
		if h.Close {
			return strict.Head{}, nil, ErrResponse.New("received the response to another request instead of %s", job.ID)
		}
	}
	return strict.Head{}, nil, ErrResponse.New("too many responses to other requests")
}

// readOne reads one full response from a connection.
func readOne(req *request, job *pipe.Job, c *upstreamConn) (strict.Head, []byte, error) {
	head, err := strict.ReadHead(c.reader, req.Method)
	if err != nil {
		return strict.Head{}, nil, asResponseError(err)
	}
	body, err := readBody(head.Body(c.reader), head.Length, job)
	if err != nil {
		return strict.Head{}, nil, asResponseError(err)
	}
	return head, body, nil
}

// asResponseError returns ErrResponse for a malformed response; other errors are those of the connection.
func asResponseError(err error) error {
	if errorx.IsOfType(err, strict.ErrMalformed) {
		return ErrResponse.Wrap(err, "reading the response")
	}
	return err
}

// fillReply translates an HTTP response into a reply.
func (s *Sender) fillReply(resp strict.Head, body []byte, r *pipe.Reply) {
	h := resp.Header
	r.ID = h.Get(s.Names.RequestID)
	r.Draining = resp.Close
	r.Leaving = h.Get(s.Names.Leaving) == "1"
	if resp.Status == http.StatusServiceUnavailable {
		r.RetryAfter = parseRetryAfter(h.Get("Retry-After"))
	}
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		r.AddressReused = true
		return
	case h.Get(s.Names.NotExecuted) != "":
		r.Shed = true
		return
	}
	success := resp.Status < http.StatusMultipleChoices
	signed := h.Get(s.Names.Signature) != "" && r.ID != ""
	r.Complete = signed || !success
	if success && !signed {
		r.Err = ErrResponse.New("response is not signed")
	}
	r.Answer = pipe.Answer{Status: resp.Status, ContentType: h.Get("Content-Type"), Header: h, Body: body}
}

// maxRetryAfter bounds the time for which an upstream may ask for no requests.
const maxRetryAfter = time.Minute

// parseRetryAfter parses a Retry-After header in seconds; it returns 0 if there is none or it is malformed.
func parseRetryAfter(text string) time.Duration {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return time.Duration(min(v, maxRetryAfter.Seconds()) * float64(time.Second))
}

// reuseTimeout returns how long a connection may stay idle, according to the Keep-Alive header.
func reuseTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(idleTimeout, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return idleTimeout
}

package dialer

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/edge/egress"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("dialer")

// ErrAnswer is an answer that can't be passed on.
var ErrAnswer = Errors.NewType("answer")

// Names are the headers that the platform and boragelane agree on.
type Names struct {
	ID          string // The caller's id of the request, echoed in its answer.
	Deadline    string // Milliseconds left.
	Target      string // The id of the upstream that is meant.
	Signature   string // Marks an answer that an upstream made.
	NotExecuted string // The upstream did not run the request.
	Load        string // Running, waiting, slots.
}

const (
	// maxAnswer is the largest answer, in bytes.
	maxAnswer = 64 << 20
	// strays is how many answers to other requests are skipped before a connection is given up.
	strays = 4
	// backMargin is the time that an answer takes on its way back: the upstream's own deadline ends before the job's.
	backMargin = 10 * time.Millisecond
)

// Sender sends jobs to upstreams.
type Sender struct {
	Names Names
	Clock func() time.Time

	pool pool
}

// New returns a sender without connections.
func New(names Names, clock func() time.Time) *Sender {
	return &Sender{Names: names, Clock: clock, pool: pool{idle: map[string][]*link{}}}
}

// Sweep closes connections that have been idle for too long.
func (s *Sender) Sweep(now time.Time) { s.pool.sweep(now) }

// key tells incarnations apart: a connection to an older one must not be used.
func key(u *roster.Upstream) string {
	return u.ID + " " + u.Address + " " + strconv.FormatInt(u.Born, 36)
}

// Send sends a job to an upstream once and reads the whole answer.
func (s *Sender) Send(ctx context.Context, now time.Time, job *pipe.Job, u *roster.Upstream) pipe.Reply {
	var r pipe.Reply
	l := s.pool.get(now, key(u))
	if l == nil {
		if l, r.Err = dial(ctx, u.Address); r.Err != nil {
			r.Late = ctx.Err() != nil
			return r
		}
		r.Dial = s.Clock().Sub(now)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.SetDeadline(time.Unix(1, 0)) })
	r.Sent = true
	life, err := s.exchange(job, u, l, &r)
	if !stop() || err != nil || life <= 0 {
		_ = l.Close()
	} else {
		s.pool.put(s.Clock(), key(u), l, life)
	}
	if err != nil {
		r.Err = err
		r.Late = ctx.Err() != nil
		r.Crash = !r.Late && !errorx.IsOfType(err, ErrAnswer) && !egress.Reachable(u.Address)
	}
	return r
}

// exchange writes the request and reads its answer; it returns how long the connection may be used again.
func (s *Sender) exchange(job *pipe.Job, u *roster.Upstream, l *link, r *pipe.Reply) (time.Duration, error) {
	req := s.request(job, u)
	wrote := make(chan error, 1)
	if len(job.Body) == 0 {
		wrote <- req.Write(l)
	} else {
		// An upstream may answer before it has read a long body.
		go func() { wrote <- req.Write(l) }()
	}
	head, body, err := s.read(req, job.ID, l)
	if err != nil {
		return 0, err
	}
	s.fill(head, body, r)
	select {
	case err := <-wrote:
		if err == nil && !head.Close {
			return keep(head.Header), nil
		}
	default: // The rest of the body is due on this connection, and nothing else.
	}
	return 0, nil
}

func (s *Sender) request(job *pipe.Job, u *roster.Upstream) *http.Request {
	fields := http.Header(maps.Clone(job.Header))
	if fields == nil {
		fields = http.Header{}
	}
	fields.Set(s.Names.Target, u.ID)
	left := job.Deadline.Sub(s.Clock()) - backMargin
	fields.Set(s.Names.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	for name, value := range job.Trace {
		fields.Set(name, value)
	}
	if _, ok := fields["User-Agent"]; !ok {
		fields["User-Agent"] = nil // Keeps the library from adding one.
	}
	req := &http.Request{
		Method: job.Method, URL: &url.URL{Scheme: "http", Host: job.Host, Opaque: job.Path}, Host: job.Host,
		Header: fields, ContentLength: int64(len(job.Body)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(job.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(job.Body))
	}
	return req
}

// read returns the job's answer; late answers to earlier requests come first and are skipped.
func (s *Sender) read(req *http.Request, id string, l *link) (head, []byte, error) {
	for range strays {
		h, body, err := next(req, l)
		if err != nil {
			return head{}, nil, err
		}
		if h.Status < http.StatusOK {
			continue
		}
		if echo := h.Header.Get(s.Names.ID); echo == "" || echo == id {
			return h, body, nil
		}
		if h.Close {
			return head{}, nil, ErrAnswer.New("an answer to another request came in place of %s", id)
		}
	}
	return head{}, nil, ErrAnswer.New("too many answers to other requests")
}

// head is an answer without its body.
type head struct {
	Status int
	Header http.Header
	Close  bool // The connection ends with it.
}

// next reads the next answer on a connection to its end.
func next(req *http.Request, l *link) (head, []byte, error) {
	resp, err := http.ReadResponse(l.reader, req)
	if err != nil {
		return head{}, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = ErrAnswer.New("an answer has over %d bytes", maxAnswer)
	}
	return head{Status: resp.StatusCode, Header: resp.Header, Close: resp.Close}, body, err
}

// fill takes over what an answer says.
func (s *Sender) fill(a head, body []byte, r *pipe.Reply) {
	h := a.Header
	r.ID = h.Get(s.Names.ID)
	r.Report = report(h.Get(s.Names.Load))
	r.Draining = a.Close
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		r.Moved = true
		return
	case h.Get(s.Names.NotExecuted) != "":
		r.Shed = true
		return
	}
	good := a.Status < http.StatusMultipleChoices
	signed := h.Get(s.Names.Signature) != "" && r.ID != ""
	r.Whole = signed || !good
	if good && !signed {
		r.Err = ErrAnswer.New("an answer bears no signature")
	}
	r.Answer = pipe.Answer{Status: a.Status, Type: h.Get("Content-Type"), Header: h, Body: body}
}

// report reads an upstream's load: running, waiting, slots.
func report(text string) *pipe.Report {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, part := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &pipe.Report{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// keep returns how long a connection may be used again after an answer.
func keep(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(idleLife, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return idleLife
}

package dialer

import (
	"bytes"
	"context"
	"io"
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
	resp, written, err := s.exchange(job, u, l, &r)
	if !stop() || err != nil || resp.Close || !written {
		_ = l.Close()
	} else {
		s.pool.put(s.Clock(), key(u), l, keep(resp))
	}
	if err != nil {
		r.Err = err
		r.Late = ctx.Err() != nil
		r.Crash = !r.Late && !errorx.IsOfType(err, ErrAnswer) && !egress.Reachable(u.Address)
	}
	return r
}

// exchange writes the request and reads its answer; it reports whether the whole request was written.
func (s *Sender) exchange(job *pipe.Job, u *roster.Upstream, l *link, r *pipe.Reply) (*http.Response, bool, error) {
	req := s.request(job, u)
	wrote := make(chan error, 1)
	if len(job.Body) == 0 {
		wrote <- req.Write(l)
	} else {
		// An upstream may answer before it has read a long body.
		go func() { wrote <- req.Write(l) }()
	}
	resp, body, err := s.read(req, job.ID, l)
	if err != nil {
		return nil, false, err
	}
	s.fill(resp, body, r)
	select {
	case err := <-wrote:
		return resp, err == nil, nil
	default:
		return resp, false, nil
	}
}

func (s *Sender) request(job *pipe.Job, u *roster.Upstream) *http.Request {
	head := http.Header{}
	for k, v := range job.Header {
		head[k] = v
	}
	head.Set(s.Names.Target, u.ID)
	left := job.Deadline.Sub(s.Clock()) - backMargin
	head.Set(s.Names.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if _, ok := head["User-Agent"]; !ok {
		head["User-Agent"] = nil // Keeps the library from adding one.
	}
	req := &http.Request{
		Method: job.Method, URL: &url.URL{Scheme: "http", Host: job.Host, Opaque: job.Path}, Host: job.Host,
		Header: head, ContentLength: int64(len(job.Body)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(job.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(job.Body))
	}
	return req
}

// read returns the job's answer; late answers to earlier requests come first and are skipped.
func (s *Sender) read(req *http.Request, id string, l *link) (*http.Response, []byte, error) {
	for range strays {
		resp, err := http.ReadResponse(l.reader, req)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
		if err != nil {
			return nil, nil, err
		}
		if len(body) > maxAnswer {
			return nil, nil, ErrAnswer.New("an answer has over %d bytes", maxAnswer)
		}
		if echo := resp.Header.Get(s.Names.ID); echo != "" && echo != id {
			if resp.Close {
				return nil, nil, ErrAnswer.New("an answer to request %s came in place of %s", echo, id)
			}
			continue
		}
		return resp, body, nil
	}
	return nil, nil, ErrAnswer.New("too many answers to other requests")
}

// fill takes over what an answer says.
func (s *Sender) fill(resp *http.Response, body []byte, r *pipe.Reply) {
	h := resp.Header
	r.ID = h.Get(s.Names.ID)
	r.Report = report(h.Get(s.Names.Load))
	r.Draining = resp.Close
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		r.Moved = true
		return
	case h.Get(s.Names.NotExecuted) != "":
		r.Shed = true
		return
	}
	good := resp.StatusCode < http.StatusMultipleChoices
	signed := h.Get(s.Names.Signature) != "" && r.ID != ""
	r.Whole = signed || !good
	if good && !signed {
		r.Err = ErrAnswer.New("an answer bears no signature")
	}
	r.Answer = pipe.Answer{Status: resp.StatusCode, Type: h.Get("Content-Type"), Header: h, Body: body}
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
func keep(resp *http.Response) time.Duration {
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
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

package egress

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/edge/strict"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// MaxResponseBody is the maximum size of an upstream's response body, in bytes.
const MaxResponseBody = 4 << 20

// HTTP headers exchanged with upstreams.
const (
	HeaderID      = "X-Request-Id"
	HeaderTimeout = "Request-Timeout-Ms"
	HeaderState   = "Upstream-State"
	HeaderDigest  = "Content-Digest"
	stateDraining = "draining"
)

// Timeouts for upstreams.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// cancelGrace is the time allowed for a cancellation to reach the upstream. The job keeps its slot meanwhile;
	// otherwise the next job would run beside the canceled one and exceed the upstream's slots.
	cancelGrace = 20 * time.Millisecond
	// probeTimeout bounds the probe connection that tells a crash from a closed idle connection.
	probeTimeout = 100 * time.Millisecond
)

// Sender sends jobs to upstreams; it never sends a job twice.
type Sender struct {
	mu         sync.Mutex
	transports map[string]*transport
}

type transport struct {
	http  *http.Transport
	conns int64
}

// New returns a sender with no open connections.
func New() *Sender { return &Sender{transports: map[string]*transport{}} }

// Close closes idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.transports {
		t.http.CloseIdleConnections()
	}
}

// transport returns the transport for an upstream, limited to the configured number of connections.
func (s *Sender) transport(p pipe.UpstreamRef) *http.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := max(1, p.Conns)
	t := s.transports[p.Address]
	if t != nil && t.conns == conns {
		return t.http
	}
	if t != nil {
		t.http.CloseIdleConnections()
	}
	t = &transport{conns: conns, http: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     int(conns),
		MaxIdleConnsPerHost: int(conns),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
	s.transports[p.Address] = t
	return t.http
}

// unreplayableBody hides the concrete reader type, so that net/http can't rewind the body and retry the request.
type unreplayableBody struct{ io.Reader }

// Close implements io.Closer; there is nothing to release.
func (unreplayableBody) Close() error { return nil }

// Send sends a job to its upstream once and reads the full response.
func (s *Sender) Send(ctx context.Context, job *pipe.Job) pipe.Reply {
	var r pipe.Reply
	var reused bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { r.Sent, reused = true, i.Reused }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), job)
	if err != nil {
		r.Err = ErrRequest.Wrap(err, "building the request for upstream %s", job.Upstream.ID)
		return r
	}
	resp, err := s.transport(job.Upstream).RoundTrip(req)
	if err != nil {
		s.classifyError(ctx, &r, err, reused, job)
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBody+1))
	if err != nil {
		s.classifyError(ctx, &r, err, true, job)
		return r
	}
	fillReply(&r, resp, body)
	return r
}

func newRequest(ctx context.Context, job *pipe.Job) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, job.Method, "http://"+job.Upstream.Address+job.Path, nil)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(job.Path, "//") { // net/http writes an opaque "//a/b" as "http://a/b".
		req.URL = &url.URL{Scheme: "http", Host: job.Upstream.Address, Opaque: job.Path} // Otherwise it is escaped anew, and without its fragment.
	}
	req.Body = unreplayableBody{bytes.NewReader(job.Body)}
	req.ContentLength = int64(len(job.Body))
	req.GetBody = nil
	if job.ContentType != "" {
		req.Header.Set("Content-Type", job.ContentType)
	}
	req.Header.Set(HeaderID, job.ID)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(job.Deadline.Sub(job.Started).Milliseconds(), 10))
	for k, v := range job.Trace {
		req.Header.Set(k, v)
	}
	return req, nil
}

// classifyError records an error in the reply as a timeout, a broken connection or a crash. A crash is assumed only if
// the request was sent, and the upstream no longer accepts connections or a new connection broke before the response
// began; reusedOrBegun is set if the connection was reused or a response had begun. After a timeout of a request that
// was sent, it waits for cancelGrace.
func (s *Sender) classifyError(ctx context.Context, r *pipe.Reply, err error, reusedOrBegun bool, job *pipe.Job) {
	r.Err = ErrConnection.Wrap(err, "upstream %s", job.Upstream.ID)
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		r.Late = true
		if r.Sent {
			time.Sleep(cancelGrace)
		}
		return
	}
	if !r.Sent {
		return
	}
	r.Crashed = !reusedOrBegun || !Reachable(job.Upstream.Address)
}

// Reachable reports whether an upstream accepts TCP connections.
func Reachable(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func fillReply(r *pipe.Reply, resp *http.Response, body []byte) {
	r.ID = resp.Header.Get(HeaderID)
	r.Draining = resp.Header.Get(HeaderState) == stateDraining
	valid := strict.Check(resp) == nil
	if valid && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
		r.Shed = true
		return
	}
	r.Complete = valid && strict.Framed(resp) && len(body) <= MaxResponseBody && digestMatches(resp.Header.Get(HeaderDigest), body)
	r.Answer = pipe.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
}

// digestMatches verifies a sha-256 Content-Digest field (RFC 9530); it accepts a missing field and any other form.
func digestMatches(field string, body []byte) bool {
	const prefix, suffix = "sha-256=:", ":"
	if field == "" {
		return true
	}
	if len(field) < len(prefix)+len(suffix) || field[:len(prefix)] != prefix || field[len(field)-1:] != suffix {
		return true
	}
	sum := sha256.Sum256(body)
	return field[len(prefix):len(field)-1] == base64.StdEncoding.EncodeToString(sum[:])
}

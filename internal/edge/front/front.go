package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/flow/accept"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// HTTP headers of callers' requests and of responses to them.
const (
	HeaderTicket    = "Idempotency-Key"
	HeaderRank      = "Boragelane-Rank"
	HeaderTimeout   = "Boragelane-Timeout"
	HeaderCaller    = "Boragelane-Caller"
	HeaderID        = "X-Request-Id"
	HeaderOutcome   = "Boragelane-Outcome"
	HeaderReason    = "Boragelane-Reason"
	HeaderNewTicket = "Boragelane-Ticket"
	HeaderUpstream  = "Boragelane-Upstream"
)

// Limits of the front end.
const (
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxIDBytes     = 128
	maxInFlight    = 20_000
)

// Host runs requests and issues tickets.
type Host interface {
	Plan() *plan.Plan
	RunReceived(ctx context.Context, job *pipe.Job)
	IssueTicket(now time.Time) dedup.Ticket
}

// Front serves the callers' HTTP interface.
type Front struct {
	Host      Host
	Clock     func() time.Time
	OnRefused func(reason pipe.Reason) // Called for each request that is not answered, if set.
	Lookups   atomic.Int64             // Number of lookups.
	inFlight  atomic.Int64
}

// Server returns an HTTP server with the front end's routes and timeouts.
func (f *Front) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/run/{service}/{path...}", f.handleRun)
	mux.HandleFunc("GET /v1/lookup", f.handleLookup)
	mux.HandleFunc("POST /v1/ticket", f.handleTicket)
	return &http.Server{
		Handler: mux, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
}

type wireHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

type wireLookup struct {
	Revision uint64     `json:"revision"`
	Hosts    []wireHost `json:"hosts"`
	TTL      int64      `json:"life"` // In milliseconds.
	Ticket   string     `json:"ticket"`
}

// handleLookup responds with the hosts that a caller should use, in order of preference, and a new ticket.
func (f *Front) handleLookup(w http.ResponseWriter, r *http.Request) {
	f.Lookups.Add(1)
	p := f.Host.Plan()
	if p.Doc == nil {
		f.writeProblem(w, &pipe.Job{Outcome: pipe.Outcome{Kind: pipe.NotRun, Reason: pipe.NoTarget, Detail: "this host has no configuration yet"}})
		return
	}
	out := wireLookup{Revision: p.Doc.Revision, TTL: p.Lookup.TTL.Milliseconds(), Hosts: []wireHost{}, Ticket: f.Host.IssueTicket(f.Clock()).String()}
	var buf [plan.MaxLookupHosts]int
	for _, i := range p.Lookup.Pick(rendez.Hash(callerName(r)), buf[:0]) {
		h := p.Lookup.Hosts[i]
		out.Hosts = append(out.Hosts, wireHost{Name: h.Name, Address: h.Front})
	}
	writeJSON(w, http.StatusOK, out)
}

func (f *Front) handleTicket(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"ticket": f.Host.IssueTicket(f.Clock()).String()})
}

// callerName returns the caller's name from the header or the query, or its IP address.
func callerName(r *http.Request) string {
	if c := r.Header.Get(HeaderCaller); c != "" {
		return c
	}
	if c := r.URL.Query().Get("caller"); c != "" {
		return c
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return host
}

// handleRun runs one request of a caller.
func (f *Front) handleRun(w http.ResponseWriter, r *http.Request) {
	defer f.inFlight.Add(-1)
	job := &pipe.Job{
		ID: r.Header.Get(HeaderID), Service: r.PathValue("service"), Rank: r.Header.Get(HeaderRank),
		Caller: callerName(r), Method: r.Method, Path: upstreamPath(r), ContentType: r.Header.Get("Content-Type"),
		Ticket: r.Header.Get(HeaderTicket), Trace: map[string]string{},
	}
	if f.inFlight.Add(1) > maxInFlight {
		job.RefuseUnclaimed(pipe.QueueFull, "this host serves too many requests")
		f.writeProblem(w, job)
		return
	}
	propagation.TraceContext{}.Inject(propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header)), propagation.MapCarrier(job.Trace))
	if !f.parseRequest(w, r, job) {
		f.writeProblem(w, job)
		return
	}
	f.Host.RunReceived(r.Context(), job)
	f.writeOutcome(w, job)
}

func upstreamPath(r *http.Request) string {
	p := "/" + r.PathValue("path")
	u := *r.URL
	u.Path, u.RawPath = p, ""
	return u.RequestURI()
}

// parseRequest reads the headers and the body into the job; it rejects the job and returns false if one is invalid.
func (f *Front) parseRequest(w http.ResponseWriter, r *http.Request, job *pipe.Job) bool {
	if len(job.ID) > maxIDBytes {
		job.ID = ""
		job.RefuseUnclaimed(pipe.BadRequest, "an id in "+HeaderID+" has at most "+strconv.Itoa(maxIDBytes)+" bytes")
		return false
	}
	now := f.Clock()
	if text := r.Header.Get(HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			job.RefuseUnclaimed(pipe.BadRequest, HeaderTimeout+" is a time above 0 such as 250ms, got "+strconv.Quote(text))
			return false
		}
		job.Deadline = now.Add(d)
	}
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, accept.MaxBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		job.RefuseUnclaimed(pipe.TooLarge, "a body has at most "+strconv.Itoa(accept.MaxBody)+" bytes")
		return false
	case err != nil:
		job.RefuseUnclaimed(pipe.BadRequest, "the body did not arrive whole")
		return false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	job.Body = body
	return true
}

func (f *Front) writeOutcome(w http.ResponseWriter, job *pipe.Job) {
	if job.Outcome.Kind != pipe.Answered {
		f.writeProblem(w, job)
		return
	}
	h := w.Header()
	h.Set(HeaderOutcome, job.Outcome.Kind.String())
	h.Set(HeaderID, job.ID)
	h.Set(HeaderUpstream, job.Upstream.ID)
	if job.Answer.ContentType != "" {
		h.Set("Content-Type", job.Answer.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(job.Answer.Body)))
	w.WriteHeader(job.Answer.Status)
	_, _ = w.Write(job.Answer.Body)
}

// wireProblem is a problem details object (RFC 9457) for a request that was not answered.
type wireProblem struct {
	Title   string      `json:"title"`
	Status  int         `json:"status"`
	Detail  string      `json:"detail"`
	Outcome string      `json:"outcome"`
	Reason  pipe.Reason `json:"reason"`
	ID      string      `json:"id,omitempty"`
}

func (f *Front) writeProblem(w http.ResponseWriter, job *pipe.Job) {
	o := job.Outcome
	if f.OnRefused != nil {
		f.OnRefused(o.Reason)
	}
	status := statusOf(o)
	h := w.Header()
	h.Set(HeaderOutcome, o.Kind.String())
	h.Set(HeaderReason, string(o.Reason))
	if job.ID != "" {
		h.Set(HeaderID, job.ID)
	}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	if o.Kind == pipe.NotRun && (job.Ticket != "" || o.Reason == pipe.NoTicket) {
		h.Set(HeaderNewTicket, f.Host.IssueTicket(f.Clock()).String())
	}
	h.Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireProblem{
		Title: strings.ReplaceAll(string(o.Reason), "-", " "), Status: status, Detail: o.Detail,
		Outcome: o.Kind.String(), Reason: o.Reason, ID: job.ID,
	})
}

func statusOf(o pipe.Outcome) int {
	switch o.Reason {
	case pipe.BadRequest, pipe.NoRank, pipe.BadTicket:
		return http.StatusBadRequest
	case pipe.TooLarge:
		return http.StatusRequestEntityTooLarge
	case pipe.NoService:
		return http.StatusNotFound
	case pipe.NoTicket:
		return http.StatusPreconditionRequired
	case pipe.Quarantined:
		return http.StatusUnprocessableEntity
	case pipe.Expired:
		return http.StatusGatewayTimeout
	}
	if o.Kind == pipe.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

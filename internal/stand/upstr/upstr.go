package upstr

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// CrashMark in a request body makes the upstream crash while it runs the request.
const CrashMark = "crash-this-upstream"

// Options configures an upstream.
type Options struct {
	ID                string
	Slots             int           // Maximum concurrent jobs; more are shed.
	JobTime           time.Duration // Mean run time of a job.
	ColdJobs          int           // Number of jobs after a start that take three times as long.
	Size              int           // Response size in bytes for requests without a size parameter.
	Crash             func()        // Called for a request that carries CrashMark; nil runs it as a normal job.
	Oversubscribe     bool          // Run jobs in excess of the slots, more slowly, instead of shedding them.
	CrossedFraction   float64       // Fraction of responses that carry another job's content.
	TruncatedFraction float64       // Fraction of responses that are truncated.
	Seed              uint64
	Clock             func() time.Time  // Source of the start and end times of jobs.
	Gauge             *ConcurrencyGauge // Measures the concurrent jobs of several upstreams; may be nil.
	Log               io.Writer         // Receives the key of each job, one per line, before it runs; may be nil.
}

// Run is the log entry of one execution of a job.
type Run struct {
	ID    string    `json:"id"`
	Key   string    `json:"key"`
	Start time.Time `json:"start"`
	Done  bool      `json:"done"`
}

// Report holds the counts and the log of an upstream.
type Report struct {
	ID            string `json:"id"`
	MaxConcurrent int    `json:"most"`     // Maximum concurrent jobs.
	Conns         int    `json:"conns"`    // Maximum open connections.
	Shed          int    `json:"shed"`     // Jobs refused because all slots were in use.
	Refused       int    `json:"refused"`  // Jobs refused because the upstream was draining.
	Canceled      int    `json:"canceled"` // Jobs whose request was canceled while they ran.
	Runs          []Run  `json:"runs"`
}

// Upstream is a fake upstream.
type Upstream struct {
	Options

	mu          sync.Mutex
	draining    bool
	running     int
	coldJobsRun int
	openConns   int
	report      Report
	rng         *rand.Rand
	lastKey     []byte
}

// New returns an idle upstream.
func New(o Options) *Upstream {
	return &Upstream{Options: o, report: Report{ID: o.ID, Runs: []Run{}}, rng: rand.New(rand.NewPCG(o.Seed, 1))}
}

// SetDraining turns draining on or off; a draining upstream refuses new jobs and announces its state.
func (u *Upstream) SetDraining(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = on
}

// SetAnswerFaults sets the fractions of responses that carry another job's content or are truncated.
func (u *Upstream) SetAnswerFaults(crossed, truncated float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.CrossedFraction, u.TruncatedFraction = crossed, truncated
}

// SetJobTime sets the mean run time of a job.
func (u *Upstream) SetJobTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.JobTime = d
}

// SetColdJobs makes the next jobs run as slowly as after a start.
func (u *Upstream) SetColdJobs(jobs int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ColdJobs, u.coldJobsRun = jobs, 0
}

// Report returns a copy of the current report.
func (u *Upstream) Report() Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.report
	r.Runs = append([]Run{}, r.Runs...)
	return r
}

// TrackConn counts open connections; it is meant for http.Server.ConnState.
func (u *Upstream) TrackConn(_ net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		u.openConns++
		u.report.Conns = max(u.report.Conns, u.openConns)
	case http.StateClosed, http.StateHijacked:
		u.openConns--
	case http.StateActive, http.StateIdle:
	}
}

// Handler serves jobs, the health and load endpoints and the control calls.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "0\n") })
	mux.HandleFunc("POST /control/drain", func(http.ResponseWriter, *http.Request) { u.SetDraining(true) })
	mux.HandleFunc("GET /control/report", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(u.Report()) })
	mux.HandleFunc("/", u.serveJob)
	return mux
}

// serveJob runs one job and responds with the first line of its body, the key, padded to the requested size.
func (u *Upstream) serveJob(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key, _, _ := bytes.Cut(body, []byte("\n"))
	index, runTime, refusal := u.beginJob(r.Header.Get("X-Request-Id"), string(key))
	if refusal != "" {
		u.refuse(w, refusal)
		return
	}
	if bytes.Contains(body, []byte(CrashMark)) && u.Crash != nil {
		u.Crash()
		return
	}
	done := sleep(r.Context(), runTime)
	answerKey, crossed, truncated := u.endJob(index, done, key)
	if !done {
		return
	}
	size := u.Size
	if n, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil {
		size = n
	}
	u.writeAnswer(w, r, answerKey, size, crossed, truncated)
}

// refuse responds with 503, and with the header Upstream-State if the upstream is draining.
func (u *Upstream) refuse(w http.ResponseWriter, state string) {
	if state == "draining" {
		w.Header().Set("Upstream-State", state)
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, state, http.StatusServiceUnavailable)
}

// sleep waits for d and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginJob takes a slot and logs the job, or returns the reason for a refusal.
func (u *Upstream) beginJob(id, key string) (index int, runTime time.Duration, refusal string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining {
		u.report.Refused++
		return 0, 0, "draining"
	}
	if u.running >= u.Slots && !u.Oversubscribe {
		u.report.Shed++
		return 0, 0, "full"
	}
	u.running++
	u.report.MaxConcurrent = max(u.report.MaxConcurrent, u.running)
	u.report.Runs = append(u.report.Runs, Run{ID: id, Key: key, Start: u.Clock()})
	if u.Log != nil {
		_, _ = io.WriteString(u.Log, key+"\n")
	}
	runTime = time.Duration(float64(u.JobTime) * (0.5 + u.rng.Float64()))
	if u.coldJobsRun < u.ColdJobs {
		u.coldJobsRun++
		runTime *= 3
	}
	if u.Oversubscribe && u.running > u.Slots {
		runTime = runTime * time.Duration(u.running) / time.Duration(u.Slots)
	}
	return len(u.report.Runs) - 1, runTime, ""
}

// endJob frees the slot and chooses the key and the faults of the response to a job that was not canceled.
func (u *Upstream) endJob(index int, done bool, key []byte) (answerKey []byte, crossed, truncated bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	if !done {
		u.report.Canceled++
		return nil, false, false
	}
	u.report.Runs[index].Done = true
	u.Gauge.addJob(u.report.Runs[index].Start, u.Clock())
	answerKey, crossed, truncated = key, u.rng.Float64() < u.CrossedFraction && u.lastKey != nil, u.rng.Float64() < u.TruncatedFraction
	if crossed {
		answerKey = u.lastKey
	}
	u.lastKey = key
	return answerKey, crossed, truncated
}

func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request, key []byte, size int, crossed, truncated bool) {
	body := make([]byte, max(size, len(key)+1))
	copy(body, key)
	body[len(key)] = '\n'
	for i := len(key) + 1; i < len(body); i++ {
		body[i] = '.'
	}
	id := r.Header.Get("X-Request-Id")
	if crossed {
		id = "crossed-" + id
	}
	sum := sha256.Sum256(body)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Digest", fmt.Sprintf("sha-256=:%s:", base64.StdEncoding.EncodeToString(sum[:])))
	if truncated {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}

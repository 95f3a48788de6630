package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults holds the injected faults and the rate limits.
type Faults struct {
	Down        bool          `json:"down"`   // Every call fails.
	Delay       time.Duration `json:"delay"`  // Added to the latency of every call.
	LoseAnswers bool          `json:"lose"`   // Writes take effect, but their responses are lost.
	ListLag     time.Duration `json:"lag"`    // Delay until readers see a new list of upstreams.
	ReadRate    float64       `json:"reads"`  // Reads per second; 0 means no limit.
	WriteRate   float64       `json:"writes"` // Writes per second; 0 means no limit.
}

// Counts holds the number of calls by kind.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"` // Calls above the rate limits.
}

// Platform is the in-memory platform.
type Platform struct {
	clock func() time.Time

	mu            sync.Mutex
	faults        Faults
	answersToLose int // Number of further writes whose responses are lost.
	counts        Counts
	kv            map[string]kvEntry
	sessions      map[string]kvSession
	listVersions  []listVersion
	index         uint64
	changed       chan struct{} // Closed and replaced on each change.
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
}

// New returns an empty platform without faults.
func New(clock func() time.Time) *Platform {
	return &Platform{
		clock: clock,
		kv:    map[string]kvEntry{}, sessions: map[string]kvSession{}, changed: make(chan struct{}), index: 1,
		readLimiter: rate.NewLimiter(rate.Inf, 0), writeLimiter: rate.NewLimiter(rate.Inf, 0),
		listVersions: []listVersion{{}},
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.readLimiter, p.writeLimiter = newLimiter(f.ReadRate), newLimiter(f.WriteRate)
	p.notifyWatches()
}

func newLimiter(r float64) *rate.Limiter {
	if r <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(r), int(r)+1)
}

// LoseAnswers drops the responses of the next writes, which still take effect.
func (p *Platform) LoseAnswers(writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = writes
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// advanceIndex increments the index and wakes the blocking queries.
func (p *Platform) advanceIndex() {
	p.index++
	p.notifyWatches()
}

func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves Consul's API and the control calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", p.withFaults(false, p.serveGet))
	mux.HandleFunc("PUT /v1/kv/{key...}", p.withFaults(true, p.servePut))
	mux.HandleFunc("DELETE /v1/kv/{key...}", p.withFaults(true, p.serveDelete))
	mux.HandleFunc("PUT /v1/session/create", p.withFaults(true, p.serveSessionCreate))
	mux.HandleFunc("PUT /v1/session/renew/{id}", p.withFaults(true, p.serveSessionRenew))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", p.withFaults(true, p.serveSessionDestroy))
	mux.HandleFunc("GET /v1/catalog/service/upstream", p.withFaults(false, p.serveUpstreams))
	mux.HandleFunc("POST /control/faults", func(_ http.ResponseWriter, r *http.Request) {
		var f Faults
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			p.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /control/upstreams", func(_ http.ResponseWriter, r *http.Request) {
		var list []Upstream
		if json.NewDecoder(r.Body).Decode(&list) == nil {
			p.SetUpstreams(list)
		}
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// withFaults counts and rate-limits calls and injects the faults.
func (p *Platform) withFaults(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, admitted := p.countCall(write)
		if !sleep(r.Context(), faults.Delay) {
			return
		}
		switch {
		case faults.Down:
			closeConnection(w)
		case !admitted:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		case write && faults.LoseAnswers:
			next(discardWriter{header: http.Header{}}, r)
			closeConnection(w)
		default:
			next(w, r)
		}
	}
}

// countCall counts a call and returns the faults to inject and whether the rate limit admits the call.
func (p *Platform) countCall(write bool) (Faults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireSessions()
	limiter, count := p.readLimiter, &p.counts.Reads
	if write {
		limiter, count = p.writeLimiter, &p.counts.Writes
	}
	*count++
	admitted := limiter.Allow()
	if !admitted {
		p.counts.Refused++
	}
	faults := p.faults
	if write && p.answersToLose > 0 {
		p.answersToLose--
		faults.LoseAnswers = true
	}
	return faults, admitted
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header { return d.header }

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func (discardWriter) WriteHeader(int) {}

// waitForChange implements a blocking query: it waits until ready reports true or the query's wait time is over, and
// returns false if the platform goes down or the request ends.
func (p *Platform) waitForChange(r *http.Request, ready func() bool) bool {
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	if after == 0 {
		return true
	}
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	timeout := time.After(wait)
	for {
		p.mu.Lock()
		ok, down, changed := ready(), p.faults.Down, p.changed
		p.mu.Unlock()
		if down {
			return false
		}
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // A lagging list becomes visible without a notification.
		case <-timeout:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

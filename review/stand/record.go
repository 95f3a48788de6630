package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"strings"
	"sync"
	"time"
)

// quiet drops the messages of net/http about connections that the other side broke off.
var quiet = log.New(io.Discard, "", 0)

// record keeps what was sent, answered and run, and writes it to a file as it happens.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	reqs  map[string]*request
	order []string
}

// request is one client attempt.
type request struct {
	id       string
	line     string
	sentAt   time.Time // When its last byte was written.
	endedAt  time.Time
	status   int    // 0 while there is no complete answer.
	end      string // How it ended for the client.
	runs     []run
	deadline time.Duration
	arrivals int // At backends, whether they ran it or not.
}

// run is one run on a backend.
type run struct {
	backend string
	line    string
	at      time.Time
	endedAt time.Time
	how     string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("%v", err)
	}
	return &record{start: time.Now(), file: f, reqs: map[string]*request{}}
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) sent(id, line string, deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reqs[id] = &request{id: id, line: line, sentAt: time.Now(), deadline: deadline}
	r.order = append(r.order, id)
	r.write("sent      %s  %s", id, line)
}

// allSent sets the time at which the last byte of a long request was written.
func (r *record) allSent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reqs[id].sentAt = time.Now()
	r.write("all sent  %s", id)
}

func (r *record) answered(id string, status int, end string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.reqs[id]
	q.endedAt, q.status, q.end = time.Now(), status, end
	r.write("ended     %s  %d %s", id, status, end)
}

func (r *record) arrived(id, backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.reqs[id]; q != nil {
		q.arrivals++
	}
	r.write("arrived   %s  at %s", id, backend)
}

func (r *record) started(id, backend, line string, size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.reqs[id]
	if q == nil {
		r.write("UNASKED   %s  %s at %s", id, line, backend)
		return
	}
	q.runs = append(q.runs, run{backend: backend, line: line, at: time.Now()})
	r.write("runs      %s  %s at %s, body of %d bytes", id, line, backend, size)
}

func (r *record) ended(id, backend, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.reqs[id]; q != nil {
		for i := range q.runs {
			if q.runs[i].backend == backend && q.runs[i].how == "" {
				q.runs[i].endedAt, q.runs[i].how = time.Now(), how
			}
		}
	}
	r.write("run ended %s  %s at %s", id, how, backend)
}

// all returns the requests in the order in which they were sent.
func (r *record) all() []request {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]request, 0, len(r.order))
	for _, id := range r.order {
		q := *r.reqs[id]
		q.runs = append([]run(nil), q.runs...)
		out = append(out, q)
	}
	return out
}

// summary writes how many requests ended in which way.
func (r *record) summary() {
	counts := map[string]int{}
	for _, q := range r.all() {
		how := q.end
		if q.endedAt.IsZero() {
			how = "no end seen"
		}
		counts[fmt.Sprintf("%d %s", q.status, how)]++
	}
	var parts []string
	for how, n := range counts {
		parts = append(parts, fmt.Sprintf("%d x %q", n, how))
	}
	r.note("requests: %s", strings.Join(parts, ", "))
}

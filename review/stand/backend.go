package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for one backend of a service. It runs up to slots requests at a time and queues some more.
type backend struct {
	id, service, zone string
	slots, queue      int
	work              atomic.Int64 // Time of one request, a time.Duration.
	coldUntil         int64        // In Unix milliseconds.
	address           string
	store             *store
	record            *record
	free              chan struct{}
	waiting           atomic.Int64
	running           atomic.Int64
	born              int64

	mu  sync.Mutex
	seq int
}

const beatInterval = 1500 * time.Millisecond

// startBackend starts a backend that registers itself in the store.
func startBackend(r *record, s *store, ip, id, service, zone string, slots int, work time.Duration) *backend {
	b := &backend{
		id: id, service: service, zone: zone, slots: slots, queue: 9, store: s, record: r,
		free: make(chan struct{}, slots), born: time.Now().UnixMilli(),
	}
	b.work.Store(int64(work))
	ln := listen(ip)
	b.address = ln.Addr().String()
	srv := &http.Server{Handler: b, IdleTimeout: 10 * time.Second, ErrorLog: quiet}
	go func() { _ = srv.Serve(ln) }()
	b.beat()
	go func() {
		time.Sleep(rand.N(beatInterval))
		for range time.Tick(beatInterval) {
			b.beat()
		}
	}()
	return b
}

// cool makes the backend cold for a time, and reports it.
func (b *backend) cool(d time.Duration) {
	b.record.note("cold      %s for %v", b.id, d)
	b.mu.Lock()
	b.coldUntil = time.Now().Add(d).UnixMilli()
	b.mu.Unlock()
	b.beat()
}

// beat writes the backend's entry.
func (b *backend) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	cold := max(0, b.coldUntil-time.Now().UnixMilli())
	b.store.put("servers/"+b.id, map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": "ready", "seq": b.seq, "cold_remaining_ms": cold},
	})
}

// ServeHTTP runs one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Boragelane-Backend-Load", fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), b.slots))
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Boragelane-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("X-Boragelane-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Boragelane-Attempt-Id", id)
	}
	if target := r.Header.Get("X-Boragelane-Target-Instance"); target != "" && target != b.id {
		w.Header().Set("X-Boragelane-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	notRun := func(status int) {
		w.Header().Set("X-Boragelane-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		notRun(http.StatusBadRequest)
		return
	}
	b.record.arrived(id, b.id)
	size, _ := io.Copy(io.Discard, r.Body)
	left := time.Minute
	if ms, err := strconv.ParseInt(r.Header.Get("X-Boragelane-Deadline-Ms"), 10, 64); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	if b.waiting.Add(1) > int64(b.queue+b.slots) {
		b.waiting.Add(-1)
		notRun(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.free <- struct{}{}:
		b.waiting.Add(-1)
	case <-deadline.C:
		b.waiting.Add(-1)
		notRun(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	b.running.Add(1)
	defer func() { b.running.Add(-1); <-b.free }()
	b.record.started(id, b.id, r.Method+" "+r.RequestURI, size)
	select {
	case <-time.After(time.Duration(b.work.Load())):
	case <-deadline.C:
		b.record.ended(id, b.id, "deadline")
		w.Header().Set("X-Boragelane-Response-Signature", sign(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		b.record.ended(id, b.id, "caller closed the connection")
		return
	}
	b.record.ended(id, b.id, "done")
	body := "body of " + id
	w.Header().Set("X-Boragelane-Response-Signature", sign(id))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func sign(id string) string { return "sig." + id }

//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	At      time.Time
	Server  string
	ID      string
	Path    string
	Tenant  string
	Service string
}

// server is a stand-in of a backend. Each incarnation has an id of its own.
type server struct {
	service, zone, address string
	slots                  int
	work                   time.Duration
	onRun                  func(run)

	mu   sync.Mutex
	id   string
	born int64
	seq  int64
	down bool // It writes no entry any more.
	http *http.Server

	leaving atomic.Bool // All answers say so.
}

// maxQueued is the number of requests that wait at a server before it rejects more.
const maxQueued = 9

// newServer starts a server at a free address.
func newServer(id, service, zone string, slots int, work time.Duration, onRun func(run)) *server {
	s := &server{id: id, service: service, zone: zone, address: free(), slots: slots, work: work, onRun: onRun}
	s.listen()
	return s
}

// listen begins an incarnation.
func (s *server) listen() {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		fail("server %s: %v", s.id, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.seq, s.down = time.Now().UnixMilli(), 0, false
	running, busy := make(chan struct{}, s.slots), make(chan struct{}, s.slots+maxQueued)
	id := s.id
	s.http = &http.Server{IdleTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(id, running, busy, w, r) })}
	h := s.http
	go func() { _ = h.Serve(ln) }()
}

// crash closes the listener and all connections, and writes no entry any more.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	_ = s.http.Close()
}

// leave makes the server say in all its answers that it leaves. It writes no entry any more, but serves on.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.leaving.Store(true)
}

// restart begins another incarnation with another id at the same address.
func (s *server) restart(id string) {
	s.mu.Lock()
	s.id = id
	s.mu.Unlock()
	s.listen()
}

func (s *server) handle(own string, running, busy chan struct{}, w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Boragelane-Instance-Id", own)
	id := r.Header.Get("X-Boragelane-Attempt-Id")
	if id != "" {
		h.Set("X-Boragelane-Attempt-Id", id)
	}
	if target := r.Header.Get("X-Boragelane-Target-Instance"); target != "" && target != own {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	select {
	case busy <- struct{}{}:
		defer func() { <-busy }()
	default:
		h.Set("X-Boragelane-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(r.Body)
	select {
	case running <- struct{}{}:
		defer func() { <-running }()
	case <-r.Context().Done():
		return
	}
	h.Set("X-Boragelane-Backend-Load", fmt.Sprintf("%d,%d,%d", len(running), max(0, len(busy)-len(running)), s.slots))
	if r.URL.Path == "/health" {
		return
	}
	s.onRun(run{At: time.Now(), Server: own, ID: id, Path: r.URL.Path, Tenant: r.Header.Get("X-Boragelane-Tenant"), Service: s.service})
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	h.Set("X-Boragelane-Response-Signature", "sig-"+id)
	_, _ = fmt.Fprintf(w, "%s %s %d", own, id, len(body))
}

// entry returns the key and the value that the server writes to the store; ok is false while it is down.
func (s *server) entry() (key string, value map[string]any, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return "servers/" + s.id, map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "zone": s.zone, "version": "v1", "slots": s.slots},
		"status": map[string]any{"state": "ready", "seq": s.seq, "cold_remaining_ms": 0},
	}, !s.down
}

// heartbeatPeriod is heartbeat_ms of the settings.
const heartbeatPeriod = 1500 * time.Millisecond

// heartbeat writes the entries of the servers that are up.
func heartbeat(st *store, servers []*server) {
	for {
		for _, s := range servers {
			if key, value, ok := s.entry(); ok {
				st.put(key, value)
			}
		}
		time.Sleep(heartbeatPeriod)
	}
}

// configService returns the row of a service in a configuration.
func configService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 7.9}
}

// configLimits returns the limits of a configuration.
func configLimits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

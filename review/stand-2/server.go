package main

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	headerID        = "X-Boragelane-Attempt-Id"
	headerDeadline  = "X-Boragelane-Deadline-Ms"
	headerTarget    = "X-Boragelane-Target-Instance"
	headerSignature = "X-Boragelane-Response-Signature"
	headerUnrun     = "X-Boragelane-Not-Executed"
	headerInstance  = "X-Boragelane-Instance-Id"
	headerLoad      = "X-Boragelane-Backend-Load"
)

const (
	// beatInterval is heartbeat_ms.
	beatInterval = 1500 * time.Millisecond
	// coldTime is cold_start_s; a cold server works coldFactor times as long.
	coldTime   = 3 * time.Second
	coldFactor = 2
	// queueLength is the number of requests that wait beyond those that run.
	queueLength = 9
)

// Run is one request that a server began to work on.
type Run struct {
	At     time.Time
	Server string
	ID     string
	Method string
	Target string
	Host   string
	Body   uint64 // Hash of the body.
	Ended  bool   // The answer was written.
}

// Server is a stand-in for a backend. Its address stays the same when it starts again.
type Server struct {
	Name    string // The id; Restart may change it.
	Service string
	Zone    string
	Slots   int
	Work    time.Duration
	Address string
	Store   *Store
	// OnRun is called when the server begins to work on a request; true makes the server crash.
	OnRun func(s *Server, run *Run) bool
	// OnCrash is called when the server has crashed.
	OnCrash func(s *Server)

	mu      sync.Mutex
	up      bool
	ln      net.Listener
	conns   map[net.Conn]bool
	running int
	waiting int
	free    *sync.Cond
	born    time.Time
	warmAt  time.Time
	seq     int
	life    int // Counts the starts.
	stop    context.CancelFunc
}

func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

// Start begins to serve and to report. A server that starts during traffic is cold.
func (s *Server) Start(cold bool) error {
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", s.Address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	s.up, s.ln, s.conns, s.running, s.waiting, s.seq, s.stop = true, ln, map[net.Conn]bool{}, 0, 0, 0, stop
	s.free = sync.NewCond(&s.mu)
	s.life++
	s.born = time.Now()
	s.warmAt = s.born
	if cold {
		s.warmAt = s.born.Add(coldTime)
	}
	go s.accept(ln, s.life)
	go s.beat(ctx)
	return nil
}

// Crash closes the listener and resets all connections; it returns false if the server is down already. Its entry expires after three
// heartbeats.
func (s *Server) Crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return false
	}
	s.up = false
	s.stop()
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.free.Broadcast()
	key, born := "servers/"+s.Name, s.born
	time.AfterFunc(3*beatInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.up || s.born.Equal(born) || "servers/"+s.Name != key {
			s.Store.Delete(key)
		}
	})
	return true
}

// Restart starts the server again after a time, under a new id if one is given.
func (s *Server) Restart(after time.Duration, id string) {
	time.AfterFunc(after, func() {
		s.mu.Lock()
		if id != "" {
			s.Name = id
		}
		s.mu.Unlock()
		if err := s.Start(true); err != nil {
			fmt.Println("restart:", err)
		}
	})
}

func (s *Server) beat(ctx context.Context) {
	for {
		s.mu.Lock()
		s.seq++
		entry := map[string]any{
			"address": s.Address, "born": s.born.UnixMilli(),
			"info":   map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.Slots},
			"status": map[string]any{"state": "ready", "seq": s.seq, "cold_remaining_ms": max(0, time.Until(s.warmAt).Milliseconds())},
		}
		name := s.Name
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		s.Store.Put("servers/"+name, entry)
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

func (s *Server) accept(ln net.Listener, life int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if !s.up || s.life != life {
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c, life)
	}
}

func (s *Server) serve(c net.Conn, life int) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		answer := s.answer(req, body, life)
		if answer == "" {
			return
		}
		if answer == endless {
			s.writeEndless(c, req)
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// endless stands for an answer without an end.
const endless = "endless"

// writeEndless writes bytes until the caller closes the connection.
func (s *Server) writeEndless(c net.Conn, req *http.Request) {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+headerID+": "+req.Header.Get(headerID)+"\r\n"+headerSignature+": s\r\n\r\n")
	piece := make([]byte, 64<<10)
	for err == nil {
		_, err = c.Write(piece)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.free.Signal()
}

// answer handles a request; it returns "" if the server has crashed meanwhile.
func (s *Server) answer(req *http.Request, body []byte, life int) string {
	id := req.Header.Get(headerID)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := func() string {
		return fmt.Sprintf("%s: %d,%d,%d\r\n", headerLoad, s.running, s.waiting, s.Slots)
	}
	if target := req.Header.Get(headerTarget); target != "" && target != s.Name {
		return "HTTP/1.1 421 Misdirected Request\r\n" + headerInstance + ": " + s.Name + "\r\nContent-Length: 0\r\n\r\n"
	}
	if id == "" {
		return "HTTP/1.1 400 Bad Request\r\n" + headerUnrun + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	shed := func() string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + headerID + ": " + id + "\r\n" + headerUnrun + ": 1\r\n" + load() + "Content-Length: 0\r\n\r\n"
	}
	ms, _ := strconv.Atoi(req.Header.Get(headerDeadline))
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	if s.running >= s.Slots {
		if s.waiting >= queueLength {
			return shed()
		}
		s.waiting++
		for s.running >= s.Slots && s.up && s.life == life {
			s.free.Wait()
		}
		if !s.up || s.life != life {
			return ""
		}
		s.waiting--
		if time.Now().After(deadline) {
			return shed()
		}
	}
	s.running++
	run := &Run{At: time.Now(), Server: s.Name, ID: id, Method: req.Method, Target: req.RequestURI, Host: req.Host, Body: hashOf(body)}
	work := s.Work
	if time.Now().Before(s.warmAt) {
		work *= coldFactor
	}
	s.mu.Unlock()
	crash := s.OnRun(s, run)
	if crash {
		time.Sleep(20 * time.Millisecond) // It crashes while it works.
		if s.Crash() {
			s.OnCrash(s)
		}
		s.mu.Lock()
		return ""
	}
	time.Sleep(work)
	if strings.Contains(req.RequestURI, "/endless-") {
		s.mu.Lock()
		return endless
	}
	s.mu.Lock()
	if !s.up || s.life != life {
		return ""
	}
	s.running--
	s.free.Signal()
	run.Ended = true
	text := "run of " + id + " " + req.RequestURI + "\n"
	return "HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\n" + headerSignature + ": s." + id + "\r\n" + load() +
		"Keep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["large-bodies"] = largeBodies }

// anonymous returns the bytes of memory of a process that no file backs.
func anonymous(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds memory_mb.
func (b *bench) watchMemory(h *host, peak *atomic.Int64, killed *atomic.Bool) {
	for h.running() {
		n := anonymous(h.cmd.Process.Pid)
		if n > peak.Load() {
			peak.Store(n)
		}
		if n > int64(b.site.memoryMB)<<20 && !killed.Swap(true) {
			b.record.note("%s has %d MB and may have %d: the platform kills it", h.name, n>>20, b.site.memoryMB)
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// pacedBody returns bytes at a rate.
type pacedBody struct {
	left  int64
	rate  int64 // Bytes a second.
	start time.Time
	sent  int64
}

func (p *pacedBody) Read(buf []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	if p.start.IsZero() {
		p.start = time.Now()
	}
	if ahead := time.Duration(float64(p.sent)/float64(p.rate)*float64(time.Second)) - time.Since(p.start); ahead > 0 {
		time.Sleep(ahead)
	}
	n := min(int64(len(buf)), p.left, 64<<10)
	p.left -= n
	p.sent += n
	return int(n), nil
}

const (
	bodySize = 40 << 20 // max_body_bytes is 64 MiB.
	bodyRate = 20e6     // Bytes a second of one client; five of them stay below link_mbps.
)

// largeBodies plays uploads within max_body_bytes from two clients at a time, and in a burst of 2.5 times as many, beside clients
// that send small requests on kept connections.
func largeBodies(b *bench) bool {
	const (
		work   = 700 * time.Millisecond
		others = 12
	)
	b.site.zones = map[string]string{"perth-a": "perth"}
	b.store.put("op/config", config("jepu9.example", "/puka111/", "non_idempotent", "wuno96b", 8000, 1200))
	for i := range 8 {
		startBackend(b.record, b.store, b.ip(100+i), fmt.Sprintf("i-%02d", i), "wuno96b", "perth-a", 3, work)
	}
	h := b.site.start("edge-perth-a-1", "perth-a", b.ip(1))
	h.run()
	if !h.awaitReady(10 * time.Second) {
		fail("the host is not ready")
	}
	time.Sleep(2 * time.Second)
	var peak atomic.Int64
	var killed atomic.Bool
	go b.watchMemory(h, &peak, &killed)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.keepSending(h.front, call{method: "POST", host: "jepu9.example", path: "/puka111/2f", deadline: 8 * time.Second}, stop)
		}()
	}
	upload := func(n int) {
		var uploads sync.WaitGroup
		for range n {
			uploads.Add(1)
			go func() {
				defer uploads.Done()
				time.Sleep(rand.N(200 * time.Millisecond))
				one(b.record, h.front, call{
					method: "POST", host: "jepu9.example", path: "/puka111/up", deadline: 8 * time.Second, size: bodySize,
					body: &pacedBody{left: bodySize, rate: bodyRate},
				})
			}()
		}
		uploads.Wait()
	}
	upload(2)
	upload(2)
	if b.trouble {
		upload(5)
	} else {
		upload(2)
	}
	close(stop)
	wg.Wait()
	b.record.note("peak of the memory: %d MB; killed: %v", peak.Load()>>20, killed.Load())
	return b.cutOff()
}

// keepSending sends requests one after the other on one connection until it is stopped or the connection ends.
func (b *bench) keepSending(address string, c call, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for !stopped(stop) {
		id := newID()
		b.record.sent(id, c.method+" "+c.path+" to "+address+" on a kept connection", c.deadline)
		if _, err := io.WriteString(conn, c.head(id)); err != nil {
			b.record.answered(id, 0, "connection ended before it was sent")
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(c.deadline))
		status, end, reuse, pause := readAnswer(reader, id)
		b.record.answered(id, status, end)
		if !reuse {
			return
		}
		time.Sleep(pause)
	}
}

// cutOff checks the rule LOST that holds at any time: more than three requests from kept connections were passed on to a sound
// backend, and their connection was closed without an answer.
func (b *bench) cutOff() bool {
	n := 0
	for _, q := range b.record.all() {
		if q.status != 0 || len(q.runs) == 0 || q.endedAt.IsZero() || !strings.Contains(q.line, "kept connection") {
			continue
		}
		n++
		b.record.note("LOST      %s: at work at %s, no answer after %.3f s: %s", q.id, q.runs[0].backend, q.endedAt.Sub(q.sentAt).Seconds(), q.end)
	}
	b.record.note("requests on kept connections that were passed on and lost: %d", n)
	return n > 3
}

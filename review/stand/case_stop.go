package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipelined-stop"] = pipelinedStop }

// config returns a configuration with one idempotent route.
func config(host, prefix, kind, service string, timeoutMS, targetMS int) map[string]any {
	return map[string]any{
		"version": "r7",
		"routes": []any{map[string]any{
			"name": "r-" + service, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
			"priority": 1, "service": service, "max_attempts": 2, "sticky": true, "home_regions": []any{},
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 7.9,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// pipelinedStop stops a host while clients have idempotent requests outstanding one behind the other.
func pipelinedStop(b *bench) bool {
	const (
		work     = 700 * time.Millisecond
		deadline = 4 * time.Second
		clients  = 20
		patient  = 10
	)
	b.site.zones = map[string]string{"perth-a": "perth", "perth-b": "perth"}
	b.store.put("op/config", config("hulo84.example", "/leny950/", "idempotent", "huvo11a", 2500, 1200))
	for i := range 16 {
		zone := []string{"perth-a", "perth-b"}[i%2]
		startBackend(b.record, b.store, b.ip(100+i), fmt.Sprintf("i-%02d", i), "huvo11a", zone, 3, work)
	}
	first, second := b.site.start("edge-perth-a-1", "perth-a", b.ip(1)), b.site.start("edge-perth-b-1", "perth-b", b.ip(2))
	first.run()
	second.run()
	if !first.awaitReady(10*time.Second) || !second.awaitReady(10*time.Second) {
		fail("a host is not ready")
	}
	time.Sleep(2 * time.Second)
	// Some clients keep a response of the directory for three times its life. Their questions are spread evenly over that time.
	stop, resolved := make(chan struct{}), make(chan struct{}, 1)
	var wg sync.WaitGroup
	for i := range clients {
		p := &pipeliner{
			record: b.record, directory: second.directory, zone: "perth-a", region: "perth", keep: 1, interval: 500 * time.Millisecond,
			call:  call{method: "GET", host: "hulo84.example", path: "/leny950/2f", deadline: deadline},
			phase: time.Duration(i) * 300 * time.Millisecond, stop: stop,
		}
		if i == 0 {
			p.resolved = func(time.Time) {
				select {
				case resolved <- struct{}{}:
				default:
				}
			}
		}
		if i < patient {
			p.keep, p.interval, p.phase = 3, 300*time.Millisecond, time.Duration(i)*6*time.Second/patient
		}
		wg.Add(1)
		go p.run(&wg)
	}
	// The SIGTERM comes shortly after one of the patient clients has asked the directory. With many clients there always is one.
	time.Sleep(9 * time.Second)
	select {
	case <-resolved:
	default:
	}
	<-resolved
	time.Sleep(200 * time.Millisecond)
	term := time.Now()
	if b.trouble {
		first.signal(syscall.SIGTERM)
		select {
		case <-first.exited:
		case <-time.After(6 * time.Second):
			first.signal(syscall.SIGKILL) // The end of grace_s.
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	return b.lost(term, deadline, 2500*time.Millisecond)
}

// lost checks the rule LOST around a SIGTERM. It is the same whether the connection ends or the host breaks off a request at which
// a backend is at work and answers 502 or 504 itself.
func (b *bench) lost(term time.Time, deadline, timeout time.Duration) bool {
	grace := time.Duration(b.site.graceS) * time.Second
	broken := 0
	for _, q := range b.record.all() {
		if q.endedAt.IsZero() || q.sentAt.Before(term) || q.endedAt.After(term.Add(grace+time.Second)) {
			continue
		}
		brokenOff, backendFailed, atWorkLate := false, false, false
		for _, r := range q.runs {
			backendFailed = backendFailed || r.how == "deadline"
			brokenOff = brokenOff || r.how == "caller closed the connection"
			end := r.endedAt
			if end.IsZero() {
				end = q.endedAt
			}
			atWorkLate = atWorkLate || end.After(term.Add(grace*5/6))
		}
		took, after := q.endedAt.Sub(q.sentAt), q.sentAt.Sub(term)
		switch {
		case q.status != 0 && !(brokenOff && (q.status == 502 || q.status == 504)):
			continue // It has a complete answer.
		case took >= min(deadline, timeout) || backendFailed:
			continue // The deadline or the route's timeout was reached, or the backend broke off.
		case len(q.runs) == 0:
			continue // Sent behind another request on its connection, and not passed on to a backend.
		case atWorkLate && after <= 3*time.Second:
			continue // The backend was still at work in the last sixth of grace_s on a request sent within 3 s of the SIGTERM.
		}
		broken++
		b.record.note("LOST      %s: sent %.3f s after the SIGTERM, at work at %s, ended after %.3f s: %d %s",
			q.id, after.Seconds(), q.runs[0].backend, took.Seconds(), q.status, q.end)
	}
	b.record.note("requests that were passed on to a backend and lost: %d", broken)
	return broken > 0
}

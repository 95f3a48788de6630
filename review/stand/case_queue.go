package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["queued-stop"] = queuedStop }

// queuedStop stops a host while more requests arrive than the backends can run, so that some wait in the host.
func queuedStop(b *bench) bool {
	const (
		work     = 2 * time.Second
		timeout  = 10 * time.Second
		deadline = 12 * time.Second
		gap      = 120 * time.Millisecond // Between two requests to one host.
	)
	b.site.zones = map[string]string{"perth-a": "perth", "perth-b": "perth"}
	b.store.put("op/config", config("hulo84.example", "/leny950/", "non_idempotent", "huvo11a", int(timeout.Milliseconds()), 1000))
	for i := range 4 {
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
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range []*host{first, second} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := time.NewTicker(gap)
			defer t.Stop()
			for !stopped(stop) {
				<-t.C
				wg.Add(1)
				go func() {
					defer wg.Done()
					one(b.record, h.front, call{method: "POST", host: "hulo84.example", path: "/leny950/2f", deadline: deadline})
				}()
			}
		}()
	}
	time.Sleep(10 * time.Second)
	term := time.Now()
	if b.trouble {
		first.signal(syscall.SIGTERM)
		select {
		case <-first.exited:
		case <-time.After(6 * time.Second):
			first.signal(syscall.SIGKILL)
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	close(stop)
	wg.Wait()
	return b.neverStarted(term, timeout)
}

// neverStarted checks the rule LOST for requests that the host had read and on which no backend ever began to work.
func (b *bench) neverStarted(term time.Time, timeout time.Duration) bool {
	grace := time.Duration(b.site.graceS) * time.Second
	broken := 0
	for _, q := range b.record.all() {
		if q.endedAt.IsZero() || q.status != 0 || len(q.runs) > 0 || q.endedAt.Before(term) || q.endedAt.After(term.Add(grace+time.Second)) {
			continue
		}
		if took := q.endedAt.Sub(q.sentAt); took > 200*time.Millisecond && took < timeout {
			broken++
			place := "the host"
			if q.arrivals > 0 {
				place = "a backend"
			}
			b.record.note("LOST      %s: sent %.3f s after the SIGTERM, in the queue of %s, ended after %.3f s: %s",
				q.id, q.sentAt.Sub(term).Seconds(), place, took.Seconds(), q.end)
		}
	}
	b.record.note("requests that were read, never run and lost: %d", broken)
	return broken > 0
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale-relay"] = staleRelay }

// staleRelay kills and starts, a few times, the host from which the others get the store's changes, while the operator moves a route
// from one service to another and back.
func staleRelay(b *bench) bool {
	const (
		work   = 20 * time.Millisecond
		apply  = 4 * time.Second // config_apply_ms of the large site.
		cycles = 7
		down   = 1900 * time.Millisecond
		others = 1400 // Backends of further services, as on the large site.
	)
	b.site.zones = map[string]string{"dar-temeke": "dar", "dar-kariakoo": "dar", "dar-ubungo": "dar"}
	services := []string{"lovo22d", "wuno96b"}
	version := 6
	var acks []struct {
		at      time.Time
		service string
	}
	move := func() {
		service := services[version%2]
		version++
		c := config("hulo84.example", "/leny950/", "idempotent", service, 2500, 400)
		c["version"] = fmt.Sprintf("r%d", version)
		other := config("jepu9.example", "/puka111/", "idempotent", "huvo11a", 2500, 400)
		c["routes"] = append(c["routes"].([]any), other["routes"].([]any)...)
		c["services"] = []any{}
		for _, s := range []string{"huvo11a", "lovo22d", "wuno96b"} {
			c["services"] = append(c["services"].([]any), config("", "", "", s, 1, 1)["services"].([]any)...)
		}
		b.store.put("op/config", c)
		acks = append(acks, struct {
			at      time.Time
			service string
		}{time.Now(), service})
		b.record.note("config    r%d: the route goes to %s", version, service)
	}
	move()
	zones := []string{"dar-temeke", "dar-kariakoo", "dar-ubungo"}
	for i := range others {
		startBackend(b.record, b.store, b.ip(200), fmt.Sprintf("huvo11a-%04d", i), "huvo11a", zones[i%3], 6, work)
	}
	for i := range 12 {
		startBackend(b.record, b.store, b.ip(201), fmt.Sprintf("%s-%04d", services[i%2], i), services[i%2], zones[i%3], 6, work)
	}
	reader, second, follower := b.site.start("edge-dar-temeke-1", "dar-temeke", b.ip(1)), b.site.start("edge-dar-kariakoo-1", "dar-kariakoo", b.ip(2)), b.site.start("edge-dar-ubungo-1", "dar-ubungo", b.ip(3))
	for _, h := range b.site.hosts {
		h.run()
	}
	for _, h := range []*host{reader, second, follower} {
		if !h.awaitReady(10 * time.Second) {
			fail("%s is not ready", h.name)
		}
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range []*host{second, follower} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stopped(stop) {
				one(b.record, h.front, call{method: "GET", host: "hulo84.example", path: "/leny950/2f", deadline: 2500 * time.Millisecond})
				time.Sleep(60 * time.Millisecond)
			}
		}()
	}
	for range cycles {
		time.Sleep(8 * time.Second)
		if b.trouble {
			reader.signal(syscall.SIGKILL)
			<-reader.exited
		}
		time.Sleep(down - 250*time.Millisecond)
		move()
		time.Sleep(250 * time.Millisecond)
		if b.trouble {
			reader.restart()
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	broken := 0
	for _, q := range b.record.all() {
		for _, r := range q.runs {
			service, _, _ := strings.Cut(r.backend, "-")
			for i := len(acks) - 1; i >= 0; i-- {
				if q.sentAt.Before(acks[i].at) {
					continue
				}
				if i+1 < len(acks) && !r.at.Before(acks[i+1].at) {
					break // It began to run under the next version.
				}
				if late := q.sentAt.Sub(acks[i].at); late > apply && service != acks[i].service {
					broken++
					if broken <= 20 {
						b.record.note("CONFIG    %s: sent %.3f s after the version, %s, run by %s", q.id, late.Seconds(), q.line, r.backend)
					}
				}
				break
			}
		}
	}
	b.record.note("requests run by a service that only an older version allows: %d", broken)
	return broken > 0
}

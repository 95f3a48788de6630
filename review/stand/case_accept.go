package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-accept"] = lateAccept }

// lateAccept stops a host with the grace_s of a large deployment, while clients send long requests on connections of their own.
func lateAccept(b *bench) bool {
	const (
		work     = 7 * time.Second
		timeout  = 10 * time.Second
		deadline = 20 * time.Second
		clients  = 24
	)
	b.site.graceS = 10
	b.site.zones = map[string]string{"dar-ubungo": "dar", "dar-temeke": "dar"}
	b.store.put("op/config", config("hulo84.example", "/leny950/", "idempotent", "huvo11a", int(timeout.Milliseconds()), 5000))
	for i := range 12 {
		zone := []string{"dar-ubungo", "dar-temeke"}[i%2]
		startBackend(b.record, b.store, b.ip(100+i), fmt.Sprintf("i-%02d", i), "huvo11a", zone, 6, work)
	}
	first, second := b.site.start("edge-dar-ubungo-1", "dar-ubungo", b.ip(1)), b.site.start("edge-dar-temeke-1", "dar-temeke", b.ip(2))
	first.run()
	second.run()
	if !first.awaitReady(10*time.Second) || !second.awaitReady(10*time.Second) {
		fail("a host is not ready")
	}
	time.Sleep(2 * time.Second)
	// Some clients keep a response of the directory for three times its life.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			keep := []float64{1, 3}[i%2]
			var list []string
			var until time.Time
			failed := map[string]time.Time{}
			for !stopped(stop) {
				time.Sleep(rand.N(600 * time.Millisecond))
				if time.Now().After(until) {
					if l, ttl, err := resolve(second.directory, "hulo84.example", "dar", "dar-ubungo"); err == nil {
						list, until = l, time.Now().Add(time.Duration(keep*float64(ttl)))
					}
				}
				usable := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return time.Since(failed[a]) < 5*time.Second })
				if len(usable) == 0 {
					continue
				}
				a := usable[rand.N(len(usable))]
				wg.Add(1)
				go func() { // One request on a connection of its own.
					defer wg.Done()
					one(b.record, a, call{method: "GET", host: "hulo84.example", path: "/leny950/2f", deadline: deadline})
				}()
				time.Sleep(2 * time.Second)
			}
		}()
	}
	time.Sleep(14 * time.Second)
	term := time.Now()
	if b.trouble {
		first.signal(syscall.SIGTERM)
		select {
		case <-first.exited:
		case <-time.After(time.Duration(b.site.graceS) * time.Second):
			first.signal(syscall.SIGKILL)
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	close(stop)
	wg.Wait()
	return b.lost(term, deadline, timeout)
}

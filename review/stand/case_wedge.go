package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["wedged-host"] = wedgedHost }

// wedgedHost starts the system for the first time. The store turns one registered machine away while the first configuration is
// written, and one backend is cold.
func wedgedHost(b *bench) bool {
	const (
		work      = 200 * time.Millisecond
		deadline  = 2 * time.Second
		away      = 9 * time.Second
		traffic   = 85 * time.Second
		coldStart = 3 * time.Second
		lost      = "edge-perth-b-1" // The machine that is turned away.
	)
	b.site.zones = map[string]string{"perth-a": "perth", "perth-b": "perth"}
	services := []string{"huvo11a", "wuno96b"}
	var victim *backend
	for i := range 12 {
		zone, service := []string{"perth-a", "perth-b"}[i/2%2], services[i%2]
		bk := startBackend(b.record, b.store, b.ip(100+i), fmt.Sprintf("i-%02d", i), service, zone, 3, work)
		if i == 0 {
			victim = bk
		}
	}
	first, second, third := b.site.start("edge-perth-a-1", "perth-a", b.ip(1)), b.site.start("edge-perth-a-2", "perth-a", b.ip(2)), b.site.start(lost, "perth-b", b.ip(3))
	for _, h := range b.site.hosts {
		h.run()
	}
	for _, h := range b.site.hosts {
		for end := time.Now().Add(10 * time.Second); !b.store.has("hosts/" + h.name); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				fail("%s has not registered", h.name)
			}
		}
	}
	time.Sleep(2 * time.Second)
	// One backend becomes cold again, as it may at any moment.
	victim.cool(coldStart)
	time.Sleep(600 * time.Millisecond) // The hosts read the store twice a second.
	if b.trouble {
		b.record.note("the store turns %s away", lost)
		b.store.setReject(lost, true)
		time.AfterFunc(away, func() {
			b.record.note("the store serves %s again", lost)
			b.store.setReject(lost, false)
		})
	}
	time.Sleep(800 * time.Millisecond) // Watches that wait at the store end meanwhile.
	c := config("hulo84.example", "/leny950/", "idempotent", services[0], 1500, 400)
	other := config("hulo84.example", "/puka111/", "idempotent", services[1], 1500, 400)
	c["routes"] = append(c["routes"].([]any), other["routes"].([]any)...)
	c["services"] = append(c["services"].([]any), other["services"].([]any)...)
	b.store.put("op/config", c)
	if !first.awaitReady(10*time.Second) || !second.awaitReady(10*time.Second) {
		fail("a host is not ready")
	}
	b.record.note("traffic starts")
	// A third of the requests goes to the first service, the rest to the second. Each client asks the directory and picks an address
	// at random, of those that have not failed it.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	served := [2][2]int{} // By service: requests, and those that were served.
	var mu sync.Mutex
	for i := range 18 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			kind := min(1, i%3)
			failed := map[string]time.Time{}
			for !stopped(stop) {
				time.Sleep(500*time.Millisecond + rand.N(300*time.Millisecond))
				list, _, err := resolve(first.directory, "hulo84.example", "perth", "perth-a")
				if err != nil {
					continue
				}
				var usable []string
				for _, a := range list {
					if time.Since(failed[a]) > 5*time.Second {
						usable = append(usable, a)
					}
				}
				if len(usable) == 0 {
					usable = list
				}
				address := usable[rand.N(len(usable))]
				_, status := one(b.record, address, call{method: "GET", host: "hulo84.example", path: []string{"/leny950/2f", "/puka111/2f"}[kind], deadline: deadline})
				mu.Lock()
				served[kind][0]++
				if status == 200 {
					served[kind][1]++
				} else {
					failed[address] = time.Now()
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(traffic)
	close(stop)
	wg.Wait()
	for _, h := range b.site.hosts {
		b.record.note("%s is ready at the end: %v", h.name, h.isReady())
	}
	third.signal(syscall.SIGTERM)
	select {
	case <-third.exited:
	case <-time.After(time.Duration(b.site.graceS) * time.Second):
		b.record.note("%s has not ended within grace_s of a SIGTERM", third.name)
	}
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	kind, all := share(served[0][1], served[0][0]), share(served[0][1]+served[1][1], served[0][0]+served[1][0])
	b.record.note("served: %.3f of the first kind (%d requests), %.3f of all (%d)", kind, served[0][0], all, served[0][0]+served[1][0])
	return kind < all/4
}

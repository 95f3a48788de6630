package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// foreign plays an entry among the servers' that comes from another writer and lacks fields. At its address another program listens,
// which knows nothing of the platform.
func foreign(c *Case) (int, error) {
	if err := c.AddServers("bookings", 6, 3, 100*time.Millisecond, nil, nil); err != nil {
		return failed, err
	}
	c.Configure(7, []Route{
		{Name: "r-book", Host: "fold.example", Prefix: "/book/", Kind: "non_idempotent", Timeout: 2500, Target: 400, Priority: 1, Service: "bookings", MaxAttempts: 2, Sticky: true, Homes: []string{}},
	}, "bookings")
	var mu sync.Mutex
	taken := map[string]bool{}
	ln, err := net.Listen("tcp", c.Fleet.Base+".3.1:8080")
	if err != nil {
		return failed, err
	}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.Log("the other program runs %s: %s %s", r.Header.Get(headerID), r.Method, r.RequestURI)
			mu.Lock()
			taken[r.Header.Get(headerID)] = true
			mu.Unlock()
			_, _ = io.WriteString(w, "done\n")
		}))
	}()
	if c.Trouble {
		c.Fleet.Store.Put("servers/report-tool", map[string]any{
			"address": ln.Addr().String(), "info": map[string]any{"service": "bookings", "zone": zones[0][0], "slots": 3}, "status": map[string]any{"state": "ready"},
		})
	}
	if err := c.StartHosts(0, 1, 3); err != nil {
		return failed, err
	}
	var wg sync.WaitGroup
	for n := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.Send(&Call{
				Host: c.Fleet.Hosts[n%len(c.Fleet.Hosts)].Front(), ID: NewID(), Method: "POST", Name: "fold.example", Target: fmt.Sprintf("/book/%d", n),
				Body: []byte("seat for one"), Object: fmt.Sprint(n % 40), Deadline: 2500 * time.Millisecond,
			})
		}()
		time.Sleep(80 * time.Millisecond)
	}
	wg.Wait()
	sent, foreign, lost := 0, 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, call := range c.Calls() {
		sent++
		if taken[call.ID] {
			foreign++
			if call.Status != http.StatusOK {
				lost++
			}
		}
	}
	c.Say("%d bookings sent, %d run by a program that is no backend of any service, %d of these not answered with success", sent, foreign, lost)
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}

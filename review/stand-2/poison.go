package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// stableWindow is stable_window_ms.
	stableWindow = 4 * time.Second
	// crashesBefore and retriesAllowed are the figures of the rule: after a request has crashed the third server, more than three
	// of its retries reach servers.
	crashesBefore, retriesAllowed = 3, 3
	// serverBack is the time after which a crashed server is back.
	serverBack = 2 * time.Second
)

// poison tells which servers each crashing request has crashed.
type poison struct {
	mu      sync.Mutex
	crashes map[string][]*Run // By path.
}

// add counts a crash.
func (p *poison) add(r *Run) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes[r.Target] = append(p.crashes[r.Target], r)
	return len(p.crashes[r.Target])
}

// lateRetries returns the client attempts that reached a server later than the stable window after the third crash, by path.
func (p *poison) lateRetries() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for path, runs := range p.crashes {
		out[path] = 0
		if len(runs) < crashesBefore {
			continue
		}
		from := runs[crashesBefore-1].At.Add(stableWindow)
		seen := map[string]bool{}
		for _, r := range runs {
			if r.At.After(from) {
				seen[r.ID] = true
			}
		}
		out[path] = len(seen)
	}
	return out
}

// poisonFleet starts the system with one service, whose servers crash when they begin to run a bad request, unless the case plays without
// its trouble. A crashed server comes back, under the id that it had or under a new one.
func poisonFleet(c *Case, servers int, keepsID bool, hosts ...int) (*poison, error) {
	p := &poison{crashes: map[string][]*Run{}}
	var mu sync.Mutex
	starts := 0
	onRun := func(s *Server, r *Run) bool {
		if !c.Trouble || !strings.Contains(r.Target, "/bad-") {
			return false
		}
		n := p.add(r)
		c.Say("%.1f s: %s crashes %s, its crash number %d", c.Since(r.At), r.Target, r.Server, n)
		return true
	}
	onCrash := func(s *Server) {
		id := ""
		if !keepsID {
			mu.Lock()
			starts++
			id = fmt.Sprintf("i-new-%03d", starts)
			mu.Unlock()
		}
		s.Restart(serverBack, id)
	}
	if err := c.AddServers("bookings", servers, 3, 300*time.Millisecond, onRun, onCrash); err != nil {
		return nil, err
	}
	c.Configure(7, []Route{
		{Name: "r-book", Host: "fold.example", Prefix: "/book/", Kind: "non_idempotent", Timeout: 2500, Target: 400, Priority: 1, Service: "bookings", MaxAttempts: 2, Sticky: true, Homes: []string{}},
		{Name: "r-scores", Host: "fold.example", Prefix: "/scores/", Kind: "idempotent", Timeout: 2500, Target: 400, Priority: 0, Service: "bookings", MaxAttempts: 2, Sticky: true, Homes: []string{}},
	}, "bookings")
	return p, c.StartHosts(hosts...)
}

// bookings sends bookings at a steady rate until stopped.
func bookings(c *Case, every time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		t := time.NewTicker(every)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.Send(&Call{
					Host: c.Fleet.Hosts[n%len(c.Fleet.Hosts)].Front(), ID: NewID(), Method: "POST", Name: "fold.example", Target: fmt.Sprintf("/book/%d", n),
					Body: []byte("seat for one"), Object: fmt.Sprint(n % 20), Deadline: 2500 * time.Millisecond,
				})
			}()
		}
	}()
	return &wg
}

// judgePoison reports the late retries and the bookings that were lost with the crashed servers.
func judgePoison(c *Case, p *poison) int {
	code := held
	for path, n := range p.lateRetries() {
		c.Say("%s: %d retries reached servers later than %.0f s after its third crash; %d are allowed", path, n, stableWindow.Seconds(), retriesAllowed)
		if n > retriesAllowed {
			code = broken
		}
	}
	ran := map[string]*Run{}
	for _, r := range c.Runs() {
		if strings.HasPrefix(r.Target, "/book/") && !strings.Contains(r.Target, "/bad-") {
			ran[r.ID] = r
		}
	}
	sent, lost := 0, 0
	for _, call := range c.Calls() {
		if strings.HasPrefix(call.Target, "/book/") && !strings.Contains(call.Target, "/bad-") {
			sent++
			if r := ran[call.ID]; r != nil && !r.Ended && (call.Status == 0 || call.Status >= 500) {
				lost++
			}
		}
	}
	c.Say("bookings: %d sent, %d were running on a server that crashed and were lost", sent, lost)
	return code
}

// attack sends the crashing requests in rounds: each client sends its own again, on the next host.
func attack(c *Case, method string, paths []string, rounds int, pause time.Duration) {
	for round := range rounds {
		var wg sync.WaitGroup
		for n, path := range paths {
			wg.Add(1)
			go func() {
				defer wg.Done()
				call := &Call{
					Host: c.Fleet.Hosts[(round+n)%len(c.Fleet.Hosts)].Front(), ID: NewID(), Method: method, Name: "fold.example", Target: path,
					Object: fmt.Sprintf("bad-%d", n), Deadline: 2500 * time.Millisecond,
				}
				c.Send(call)
				c.Say("round %d: %s gets status %d after %.2f s", round, path, call.Status, call.Took.Seconds())
			}()
		}
		wg.Wait()
		time.Sleep(pause)
	}
}

// poisonTrio plays three requests that crash servers and come at the same time, again and again. With TROUBLE=one only one of them comes.
func poisonTrio(c *Case) (int, error) {
	p, err := poisonFleet(c, 12, false, 0, 1, 2, 3)
	if err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	wg := bookings(c, 80*time.Millisecond, stop)
	time.Sleep(3 * time.Second)
	paths := []string{"/scores/bad-1", "/scores/bad-2", "/scores/bad-3"}
	if c.Mode == "one" {
		paths = paths[:1]
	}
	attack(c, "GET", paths, 12, 5*time.Second)
	close(stop)
	wg.Wait()
	return judgePoison(c, p), nil
}

// poisonID plays a request that crashes servers, which start again under the id that they had. With TROUBLE=new they get new ids.
func poisonID(c *Case) (int, error) {
	p, err := poisonFleet(c, 3, c.Mode != "new", 0, 3)
	if err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	wg := bookings(c, 300*time.Millisecond, stop)
	time.Sleep(3 * time.Second)
	attack(c, "POST", []string{"/book/bad-1"}, 10, 8*time.Second)
	close(stop)
	wg.Wait()
	return judgePoison(c, p), nil
}

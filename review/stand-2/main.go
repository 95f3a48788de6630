// Command stand2 plays the cases of the second review: it starts the system's processes, and stands in for the platform's store,
// the servers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Case is one case in progress.
type Case struct {
	Trouble bool
	Mode    string // The variable TROUBLE.
	Fleet   *Fleet
	Servers []*Server

	mu     sync.Mutex
	start  time.Time
	record *os.File
	runs   []*Run
	calls  []*Call
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f ", time.Since(c.start).Seconds())
	_, _ = fmt.Fprintf(c.record, format+"\n", args...)
}

// Say writes a line to the record and to the output.
func (c *Case) Say(format string, args ...any) {
	c.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Since returns the seconds from the start of the case to a moment.
func (c *Case) Since(t time.Time) float64 { return t.Sub(c.start).Seconds() }

// Send makes a call and records it.
func (c *Case) Send(call *Call) {
	c.Log("sent %s to %s: %s %s", call.ID, call.Host, call.Method, call.Target)
	call.Do()
	c.Log("answered %s: status %d after %.3f s (%v)", call.ID, call.Status, call.Took.Seconds(), call.Err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// AddRun records that a server began to work.
func (c *Case) AddRun(r *Run) {
	c.Log("run %s on %s: %s %s", r.ID, r.Server, r.Method, r.Target)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, r)
}

// Runs returns the runs so far.
func (c *Case) Runs() []*Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Run(nil), c.runs...)
}

// Calls returns the calls that have ended.
func (c *Case) Calls() []*Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Call(nil), c.calls...)
}

// AddServers starts servers of a service, spread over the zones.
func (c *Case) AddServers(service string, count, slots int, work time.Duration, onRun func(*Server, *Run) bool, onCrash func(*Server)) error {
	for n := range count {
		at := len(c.Servers)
		s := &Server{
			Name: fmt.Sprintf("i-%s-%02d", service, n), Service: service, Zone: zones[n%len(zones)][0], Slots: slots, Work: work,
			Address: fmt.Sprintf("%s.2.%d:8080", c.Fleet.Base, at+1), Store: c.Fleet.Store, OnCrash: onCrash,
		}
		s.OnRun = func(s *Server, run *Run) bool {
			c.AddRun(run)
			return onRun != nil && onRun(s, run)
		}
		if err := s.Start(false); err != nil {
			return err
		}
		c.Servers = append(c.Servers, s)
	}
	return nil
}

// StartHosts starts one host in each of the given zones and waits until all are ready.
func (c *Case) StartHosts(zones ...int) error {
	for _, z := range zones {
		if _, err := c.Fleet.Add(z); err != nil {
			return err
		}
	}
	for _, h := range c.Fleet.Hosts {
		if err := c.Fleet.Start(h); err != nil {
			return err
		}
	}
	if err := c.Fleet.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // The hosts have found each other, and nothing is cold.
	return nil
}

// Configure writes the operator's configuration.
func (c *Case) Configure(version int, routes []Route, services ...string) {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 7.9,
		})
	}
	c.Fleet.Store.Put("op/config", map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// Route is a route of the operator's configuration.
type Route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	Kind        string   `json:"kind"`
	Timeout     int      `json:"timeout_ms"`
	Target      int      `json:"target_latency_ms"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service"`
	MaxAttempts int      `json:"max_attempts"`
	Sticky      bool     `json:"sticky"`
	Homes       []string `json:"home_regions"`
}

var cases = map[string]func(*Case) (int, error){
	"poison-trio": poisonTrio,
	"poison-id":   poisonID,
	"path":        doubleSlash,
	"foreign":     foreign,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE ROOT RECORD")
		return failed
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = record.Close() }()
	fleet, err := NewFleet(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer fleet.Close()
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Mode: os.Getenv("TROUBLE"), Fleet: fleet, start: time.Now(), record: record}
	done := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](c)
		if err != nil {
			c.Say("the case could not run: %v", err)
			code = failed
		}
		done <- code
	}()
	select {
	case code := <-done:
		return code
	case <-time.After(115 * time.Second):
		c.Say("the case could not run: it took too long")
		return failed
	}
}

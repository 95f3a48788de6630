//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one edge machine with its process.
type machine struct {
	name, zone, region          string
	ip                          string
	front, ready, dir, storeURL string
	peer                        int
	file                        string
	log                         *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// freePort returns a port that is free at an address now.
func freePort(ip string) int {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("no port: %v", err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

// metricsPort is the port of deploy/system.toml at which each machine serves its metrics.
const metricsPort = 9464

// freeIP returns a loopback address at which the metrics port is free.
func freeIP() string {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
		if ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort)); err == nil {
			_ = ln.Close()
			return ip
		}
	}
	fail("no loopback address with a free port %d", metricsPort)
	return ""
}

// newMachine writes the settings file of a machine. Each has a loopback address of its own.
func newMachine(dir, name, zone string, zones map[string]string, extraBounds []string) *machine {
	ip := freeIP()
	m := &machine{name: name, zone: zone, region: zones[zone], ip: ip}
	m.peer = freePort(ip)
	m.front, m.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	m.dir, m.storeURL = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	var b strings.Builder
	fmt.Fprintf(&b, "node_name: %q\nrole: \"entry\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\n  - \"directory\"\nip: %q\nzone: %q\nregion: %q\nzones:\n", name, ip, zone, m.region)
	for z, r := range zones {
		fmt.Fprintf(&b, "  %s: %q\n", z, r)
	}
	fmt.Fprintf(&b, "listen:\n  front: %q\n  ready: %q\n  directory: %q\ninternal_ports:\n  - %d\n  - %d\nbootstrap: true\n", m.front, m.ready, m.dir, m.peer, m.peer)
	fmt.Fprintf(&b, "limits:\n  cpu_share: 0.32\n  cores: 1\n  memory_mb: 284\n  file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\nheartbeat_ms: 1500\nbounds:\n")
	for _, x := range append([]string{"stable_window_ms=4000", "drain_ms=2500", "grace_s=6", "config_apply_ms=2500", "retry_budget_ratio=0.2", "budget_window_s=10", "budget_slack=56", "max_shift=0.15"}, extraBounds...) {
		fmt.Fprintf(&b, "  - %q\n", x)
	}
	fmt.Fprintf(&b, "provider:\n  address: %q\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n", m.storeURL)
	m.file = filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(m.file, []byte(b.String()), 0o600); err != nil {
		fail("settings: %v", err)
	}
	var err error
	if m.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		fail("log: %v", err)
	}
	return m
}

// start starts the process as the deploy file does.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := exec.Command("target/boragelane", "serve")
	c.Env = []string{"BORAGELANE_CONFIG=" + m.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = m.log, m.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("starting %s: %v", m.name, err)
	}
	ended := make(chan struct{})
	m.process, m.ended = c, ended
	go func() { _ = c.Wait(); close(ended) }()
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill ends the process and waits for it.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

// wait waits until the process has ended.
func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// startMachines starts machines in the zones in turn, and waits until they are ready. Each reaches the store at an address of its own.
func startMachines(dir string, st *store, names []string, zones map[string]string, n int, bounds []string) []*machine {
	var machines []*machine
	for i := range n {
		zone := names[i%len(names)]
		m := newMachine(dir, fmt.Sprintf("edge-%s-%d", zone, 1+i/len(names)), zone, zones, bounds)
		if err := st.serve(m.name, m.storeURL); err != nil {
			fail("the store's address: %v", err)
		}
		machines = append(machines, m)
	}
	for _, m := range machines {
		cleanup = append(cleanup, m.kill)
		m.start()
	}
	for _, m := range machines {
		m.awaitReady(20 * time.Second)
	}
	return machines
}

// awaitReady waits until a machine says that it is ready.
func (m *machine) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if status(m.ready, "/ready") == 200 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	if log, err := os.ReadFile(m.log.Name()); err == nil {
		note("log of %s: %s", m.name, log[max(0, len(log)-2000):])
	}
	fail("%s isn't ready after %s", m.name, limit)
}

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is one process of the system, started with the command of the deploy file.
type host struct {
	name, zone, region, ip  string
	front, ready, directory string
	settings                string
	cmd                     *exec.Cmd
	exited                  chan struct{}
	record                  *record
}

// site holds what all hosts share.
type site struct {
	dir      string
	store    *store
	zones    map[string]string
	graceS   int
	memoryMB int
	record   *record
	hosts    []*host
}

// command is what deploy/system.toml names under run, relative to the root of the repository.
const command, commandArg = "target/boragelane", "serve"

// start writes a host's settings and starts its process.
func (s *site) start(name, zone, ip string) *host {
	h := &host{name: name, zone: zone, region: s.zones[zone], ip: ip, exited: make(chan struct{}), record: s.record}
	var free []string
	for range 5 {
		ln := listen(ip)
		defer func() { _ = ln.Close() }()
		free = append(free, ln.Addr().String())
	}
	h.front, h.ready, h.directory = free[0], free[1], free[2]
	_, peer, _ := strings.Cut(free[4], ":")
	var zones strings.Builder
	for z, region := range s.zones {
		fmt.Fprintf(&zones, "  %s: %q\n", z, region)
	}
	text := fmt.Sprintf(`node_name: %q
role: "entry"
machine_class: "edge"
serves:
  - "edge"
  - "directory"
ip: %q
zone: %q
region: %q
zones:
%slisten:
  front: %q
  ready: %q
  control: %q
  directory: %q
internal_ports:
  - %s
  - %s
seeds: []
bootstrap: true
in_failure_budget: false
limits:
  cpu_share: 0.32
  cores: 1
  memory_mb: %d
  file_descriptors: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1500
bounds:
  - "seed_lag_s=3"
  - "reuse_after_s=2"
  - "stable_window_ms=4000"
  - "ack_ms=5000"
  - "catch_up_s=4"
  - "drain_ms=2500"
  - "grace_s=%d"
  - "loss_slack_ms=200"
  - "config_apply_ms=2500"
  - "rollback_slack_ms=250"
  - "max_skew_ms=6000"
  - "retry_budget_ratio=0.2"
  - "budget_window_s=10"
  - "budget_slack=56"
  - "cold_overage=1.5"
  - "cold_slack=5"
  - "evacuate_ms=5000"
  - "recovery_s=15"
  - "ttl_max_s=5"
  - "max_shift=0.15"
provider:
  address: %q
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, name, ip, zone, h.region, zones.String(), h.front, h.ready, free[3], h.directory, peer, peer, s.memoryMB, s.graceS, s.store.addressFor(name))
	h.settings = filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	s.hosts = append(s.hosts, h)
	h.cmd = exec.Command(command, commandArg)
	h.cmd.Env = append(os.Environ(), "BORAGELANE_CONFIG="+h.settings)
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		fail("%v", err)
	}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h
}

// run starts the process. The ports that start found free are released by then.
func (h *host) run() {
	if err := h.cmd.Start(); err != nil {
		fail("starting %s: %v", h.name, err)
	}
	h.record.note("started   %s as process %d", h.name, h.cmd.Process.Pid)
	cmd, exited := h.cmd, h.exited
	go func() {
		err := cmd.Wait()
		h.record.note("exited    %s: %v", h.name, err)
		close(exited)
	}()
}

// restart starts the process again with the same settings.
func (h *host) restart() {
	old := h.cmd
	h.cmd, h.exited = exec.Command(command, commandArg), make(chan struct{})
	h.cmd.Env, h.cmd.Stdout, h.cmd.Stderr, h.cmd.SysProcAttr = old.Env, old.Stdout, old.Stderr, old.SysProcAttr
	h.run()
}

// isReady asks the host's ready address as the platform does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}

// running reports whether the process has not exited.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.record.note("signal    %v to %s", sig, h.name)
	if h.cmd.Process != nil && h.running() {
		_ = h.cmd.Process.Signal(sig)
	}
}

// killAll ends all processes that were started.
func (s *site) killAll() {
	for _, h := range s.hosts {
		if h.cmd.Process != nil && h.running() {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
}

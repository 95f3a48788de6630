package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// zones maps the zones of the deployment to their regions.
var zones = [][2]string{
	{"perth-a", "perth"}, {"goldfields-a", "goldfields"}, {"southwest-a", "southwest"},
	{"perth-b", "perth"}, {"goldfields-b", "goldfields"}, {"southwest-b", "southwest"},
}

// Host is one process of the system.
type Host struct {
	Name, Zone, Region, IP string
	Settings               string
	Log                    string
	cmd                    *exec.Cmd
	out                    *os.File
	waited                 chan struct{}
}

// Front returns the address for clients.
func (h *Host) Front() string { return h.IP + ":8641" }

// Fleet is the system with the stand-ins around it.
type Fleet struct {
	Root  string // The repository.
	Dir   string // A temporary folder.
	Base  string // The first two bytes of all addresses.
	Store *Store
	Hosts []*Host
}

// NewFleet prepares a store and a temporary folder.
func NewFleet(root string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Root: root, Dir: dir, Store: NewStore()}
	for n := range 100 {
		f.Base = fmt.Sprintf("127.%d", 60+(os.Getpid()+n*7)%180)
		ln, err := net.Listen("tcp", f.Base+".0.1:8642")
		if err == nil {
			go f.Store.Serve(ln)
			return f, nil
		}
	}
	return nil, errors.New("no free address for the store")
}

// Add writes the settings of a host in a zone.
func (f *Fleet) Add(zone int) (*Host, error) {
	n := len(f.Hosts) + 1
	z := zones[zone]
	h := &Host{Name: fmt.Sprintf("edge-%s-%d", z[0], n), Zone: z[0], Region: z[1], IP: fmt.Sprintf("%s.1.%d", f.Base, n)}
	h.Settings, h.Log = filepath.Join(f.Dir, h.Name+".yaml"), filepath.Join(f.Dir, h.Name+".log")
	var zoneLines strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneLines, "  %s: %q\n", z[0], z[1])
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
  front: "%[2]s:8641"
  ready: "%[2]s:8640"
  directory: "%[2]s:8644"
internal_ports:
  - 7620
  - 7635
bootstrap: true
limits:
  cpu_share: 0.32
  cores: 1
  memory_mb: 284
  file_descriptors: 4100
  link_mbps: 1000.0
  disk_mb: 0
discovery: "platform"
entry: "directory"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"]
fault_tolerance: {machines: 2, zones: 1, regions: 1}
bounds: ["seed_lag_s=3", "reuse_after_s=2", "stable_window_ms=4000", "ack_ms=5000", "catch_up_s=4", "drain_ms=2500", "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2500", "rollback_slack_ms=250", "max_skew_ms=6000", "retry_budget_ratio=0.2", "budget_window_s=10", "budget_slack=56", "cold_overage=1.5", "cold_slack=5", "evacuate_ms=5000", "recovery_s=15", "ttl_max_s=5", "max_shift=0.15"]
provider:
  address: "%[6]s.0.1:8642"
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, h.Name, h.IP, h.Zone, h.Region, zoneLines.String(), f.Base)
	f.Hosts = append(f.Hosts, h)
	return h, os.WriteFile(h.Settings, []byte(text), 0o600)
}

// Start starts a host's process with the command of the deploy file.
func (f *Fleet) Start(h *Host) error {
	out, err := os.OpenFile(h.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/boragelane", "serve")
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.Root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BORAGELANE_CONFIG=" + h.Settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.out, h.waited = cmd, out, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(h.waited)
	}()
	return nil
}

// Signal sends a signal to a host's process.
func (h *Host) Signal(sig syscall.Signal) { _ = h.cmd.Process.Signal(sig) }

// Ended reports whether the host's process has ended.
func (h *Host) Ended() bool {
	select {
	case <-h.waited:
		return true
	default:
		return false
	}
}

// AwaitReady waits until all hosts are ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, h := range f.Hosts {
		for {
			resp, err := http.Get("http://" + h.IP + ":8640/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		if h.cmd != nil && !h.Ended() {
			h.Signal(syscall.SIGCONT)
			h.Signal(syscall.SIGKILL)
			<-h.waited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Dir)
	} else {
		fmt.Println("logs in", f.Dir)
	}
}

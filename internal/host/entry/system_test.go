package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/ctrl/commit"
	"github.com/boragelane/boragelane/internal/edge/front"
	"github.com/boragelane/boragelane/internal/edge/store"
	"github.com/boragelane/boragelane/internal/host/config"
	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/internal/stand/consul"
	"github.com/boragelane/boragelane/internal/stand/layout"
	"github.com/boragelane/boragelane/internal/stand/upstr"
)

// system is a small system that runs in one process, on loopback addresses of its own.
type system struct {
	t         *testing.T
	layout    layout.Layout
	platform  *consul.Platform
	hosts     map[string]*runningHost
	upstreams map[string]*fakeUpstream
	trace     trace.Provider
	gauges    map[string]*upstr.ConcurrencyGauge // Concurrent jobs, by region.

	mu       sync.Mutex
	isolated map[string]bool // Failure domains and seats that are isolated from all others.
}

// runningHost is a host with the function that starts its graceful shutdown.
type runningHost struct {
	*Host
	cancel context.CancelFunc
}

// fakeUpstream is a simulated upstream with its server, which a job can crash.
type fakeUpstream struct {
	*upstr.Upstream
	server  *http.Server
	addr    string
	crashed atomic.Bool
}

// testOptions returns the options of a system of 2 regions with 2 failure domains of 2 hosts each; net is the second
// byte of its loopback addresses, which no other test may use.
func testOptions(net int) layout.Options {
	return layout.Options{
		Subnet: net, Regions: []string{"dar", "mwanza"}, Domains: 2, Hosts: 2, Upstreams: 1,
		Slots: 4, Capacity: 200, LinkRate: 35_000_000, LinkDelay: 20 * time.Millisecond,
	}
}

// systemSlots bounds the systems that run at once, since each has eight hosts or more with bounds in real time.
var systemSlots = make(chan struct{}, 4)

// startSystem starts a system and waits until each host has the configuration and the loads of all failure domains.
func startSystem(t *testing.T, o layout.Options, tr trace.Provider) *system {
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots })
	s := &system{
		t: t, layout: layout.Build(o), platform: consul.New(time.Now), trace: tr,
		hosts: map[string]*runningHost{}, upstreams: map[string]*fakeUpstream{}, gauges: map[string]*upstr.ConcurrencyGauge{}, isolated: map[string]bool{},
	}
	for _, r := range o.Regions {
		s.gauges[r] = &upstr.ConcurrencyGauge{}
	}
	s.startServer(s.layout.Platform, s.platform.Handler(), nil)
	for _, u := range s.layout.Upstreams {
		s.startUpstream(u, upstr.Options{Clock: time.Now, ID: u.ID, Slots: o.Slots, JobTime: 3 * time.Millisecond, Size: 100})
	}
	s.platform.SetUpstreams(s.layout.Upstreams)
	_, err := commit.Commit(context.Background(), store.New("http://"+s.layout.Platform), s.layout.InitialChange(), nil, "first")
	assert.NilError(t, err)
	for _, c := range s.layout.Settings {
		s.startHost(c.Seat)
	}
	s.waitReady()
	return s
}

// startServer serves HTTP until the test ends; it retries while the address is still in use.
func (s *system) startServer(addr string, h http.Handler, state func(net.Conn, http.ConnState)) *http.Server {
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(s.t, err)
	srv := &http.Server{Handler: h, ConnState: state}
	go func() { _ = srv.Serve(ln) }()
	s.t.Cleanup(func() { _ = srv.Close() })
	return srv
}

func (s *system) startUpstream(u consul.Upstream, o upstr.Options) {
	region, _, _ := s.layout.Document.FindDomain(u.Domain)
	o.Gauge = s.gauges[region.Name]
	f := &fakeUpstream{addr: fmt.Sprintf("%s:%d", u.Address, u.Port)}
	o.Crash = func() {
		f.crashed.Store(true)
		_ = f.server.Close()
	}
	f.Upstream = upstr.New(o)
	f.server = s.startServer(f.addr, f.Handler(), f.TrackConn)
	s.upstreams[u.ID] = f
}

func (s *system) logger() *zap.Logger {
	return zaptest.NewLogger(s.t, zaptest.Level(zap.WarnLevel))
}

// startHost starts the host of a seat, or a replacement for it.
func (s *system) startHost(seat string) {
	for _, c := range s.layout.Settings {
		if c.Seat != seat {
			continue
		}
		h := New(c, time.Now, s.logger(), s.trace)
		h.peerClient.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if s.unreachable(c, addr) {
				return nil, fmt.Errorf("the host is isolated")
			}
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
		ctx, cancel := context.WithCancel(context.Background())
		r := &runningHost{Host: h, cancel: cancel}
		s.hosts[seat] = r
		runErr := make(chan error, 1)
		go func() { runErr <- h.Run(ctx) }()
		s.t.Cleanup(func() {
			s.killHost(r)
			assert.NilError(s.t, <-runErr)
		})
	}
}

// unreachable reports whether isolation separates a host from the host at an address.
func (s *system) unreachable(from config.Settings, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, to := range s.layout.Settings {
		if to.Peer == addr && to.Seat != from.Seat {
			return s.isolated[to.Seat] || s.isolated[from.Seat] || to.Domain != from.Domain && (s.isolated[to.Domain] || s.isolated[from.Domain])
		}
	}
	return false
}

// isolate isolates failure domains or the hosts of seats from all others, ends earlier isolation and closes all
// connections between hosts.
func (s *system) isolate(names ...string) {
	s.mu.Lock()
	s.isolated = map[string]bool{}
	for _, n := range names {
		s.isolated[n] = true
	}
	s.mu.Unlock()
	for _, h := range s.hosts {
		h.peerClient.Reset()
	}
}

// killHost stops a host without a graceful shutdown: its connections break and its jobs are aborted.
func (s *system) killHost(r *runningHost) {
	r.cancelRun()
	for _, srv := range r.httpServers {
		_ = srv.Close()
	}
}

// waitReady waits until each host knows the hosts and loads of all failure domains.
func (s *system) waitReady() {
	s.t.Helper()
	s.eventually(15*time.Second, "all hosts are ready", func() bool {
		for _, h := range s.hosts {
			p := h.Plan()
			if p.Doc == nil || len(p.Domains) < 1+len(s.domains()) {
				return false
			}
			for _, d := range p.Domains {
				if !d.Self && (len(d.Hosts) == 0 || d.Loads[layout.Price].Slots == 0) {
					return false
				}
			}
		}
		return true
	})
}

func (s *system) domains() []string {
	var out []string
	for _, r := range s.layout.Document.Regions {
		for _, d := range r.Domains {
			out = append(out, d.Name)
		}
	}
	return out
}

// eventually waits until a condition holds and returns the time it took; the test fails after the limit.
func (s *system) eventually(limit time.Duration, condition string, ok func() bool) time.Duration {
	s.t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > limit {
			s.t.Fatalf("not within %s: %s", limit, condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// call describes a request of a caller.
type call struct {
	host, service, key, ticket, rank, timeout string
	method, path, id                          string
	body                                      []byte
}

// answer is what a caller receives.
type answer struct {
	status              int
	outcome, reason     string
	newTicket, upstream string
	body                string
}

func (s *system) call(c call) answer {
	s.t.Helper()
	a, err := s.tryCall(c)
	assert.NilError(s.t, err)
	return a
}

func (s *system) tryCall(c call) (answer, error) {
	return s.callAt(s.hosts[c.host].Settings.Front, c)
}

func (s *system) callAt(addr string, c call) (answer, error) {
	if c.body == nil {
		c.body = []byte(c.key + "\n")
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	url := "http://" + addr + "/v1/run/" + c.service + "/x" + c.path
	req, err := http.NewRequestWithContext(context.Background(), c.method, url, bytes.NewReader(c.body))
	assert.NilError(s.t, err)
	for k, v := range map[string]string{
		front.HeaderTicket: c.ticket, front.HeaderRank: c.rank, front.HeaderTimeout: c.timeout, front.HeaderID: c.id,
	} {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, outcome: resp.Header.Get(front.HeaderOutcome), reason: resp.Header.Get(front.HeaderReason),
		newTicket: resp.Header.Get(front.HeaderNewTicket), upstream: resp.Header.Get(front.HeaderUpstream), body: string(body),
	}, err
}

func (s *system) ticket(host string) string { return s.hosts[host].IssueTicket(time.Now()).String() }

// countRuns returns how often a key was executed, as all upstreams recorded it.
func (s *system) countRuns(key string) int {
	n := 0
	for _, u := range s.upstreams {
		for _, r := range u.Report().Runs {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// countCrashed returns how many upstreams have crashed, as they recorded it themselves.
func (s *system) countCrashed() int {
	n := 0
	for _, u := range s.upstreams {
		if u.crashed.Load() {
			n++
		}
	}
	return n
}

func TestAJobCrossesRegions(t *testing.T) {
	o := testOptions(100)
	o.Skip = func(domain, service string) bool {
		return service == layout.Catalog && strings.HasPrefix(domain, "dar")
	}
	s := startSystem(t, o, trace.Noop())
	a := s.call(call{host: "dar-a-1", service: layout.Catalog, key: "far"})
	assert.Equal(t, a.outcome, "answered")
	assert.Assert(t, strings.HasPrefix(a.upstream, "catalog-mwanza"), a.upstream)
	assert.Assert(t, strings.HasPrefix(a.body, "far\n"))
	assert.Equal(t, s.countRuns("far"), 1)
}

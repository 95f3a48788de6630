package steer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	otel "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/deal"
	"github.com/boragelane/boragelane/internal/ctrl/enrol"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/edge/broker"
	"github.com/boragelane/boragelane/internal/edge/dialer"
	"github.com/boragelane/boragelane/internal/edge/httpd"
	"github.com/boragelane/boragelane/internal/flow/guard"
	"github.com/boragelane/boragelane/internal/flow/match"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/place"
	"github.com/boragelane/boragelane/internal/flow/serve"
	"github.com/boragelane/boragelane/internal/host/meters"
	"github.com/boragelane/boragelane/internal/host/trace"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("steer")

// ErrListen is an address that can't be listened on.
var ErrListen = Errors.NewType("listen")

// Store is the platform's store.
type Store interface {
	watch.Source
	enrol.Registry
	// Report tells the other hosts of a crash.
	Report(ctx context.Context, c roster.Crash, lease int64) error
}

// Front turns callers' messages into jobs and back.
type Front interface {
	Job(r *httpd.Request) *pipe.Job
	Answer(job *pipe.Job) httpd.Answer
	Directory(view func() *roster.View) http.Handler
}

// Host is one entry host.
type Host struct {
	Settings Settings
	Clock    func() time.Time
	Log      *zap.Logger
	Meters   *meters.Meters
	Loader   Loader
	Tracer   otel.Tracer // Makes a span for each hop of a job; nil for none.
	Done     chan struct{}

	front   Front
	store   Store
	loop    *watch.Loop
	reader  *watch.Reader
	keeper  *enrol.Keeper
	table   *place.Table
	sender  *dialer.Sender
	budget  *serve.Budget
	crashes *guard.Table
	line    pipe.Line
	server  *httpd.Server
	stop    atomic.Bool
	reports chan roster.Crash
	asker   *broker.Asker
	placer  *broker.Placer
	relay   *broker.Relay
	broker  *broker.Server
	grace   atomic.Int64 // A time.Duration.
}

// New returns a host that does not run yet.
func New(s Settings, store Store, front Front, names dialer.Names, clock func() time.Time, log *zap.Logger, m *meters.Meters) *Host {
	s.Host.Incarnation = newID()
	h := &Host{
		Settings: s, Clock: clock, Log: log, Meters: m, Done: make(chan struct{}), front: front, store: store,
		table: place.NewTable(), sender: dialer.New(names, clock), budget: serve.NewBudget(s.Retry),
		crashes: &guard.Table{}, reports: make(chan roster.Crash, reportBuffer),
	}
	h.table.SetShift(s.Shift)
	book := &journal{log: log, meters: h.Meters}
	h.loop = watch.NewLoop(s.Host, clock, book)
	h.loop.Followers = []watch.Follower{h.table, &learner{crashes: h.crashes}}
	h.relay = broker.NewRelay(clock)
	h.reader = &watch.Reader{Source: store, Relay: h.relay, Loop: h.loop, Clock: clock, Done: make(chan struct{})}
	h.keeper = &enrol.Keeper{Registry: store, Journal: book, Host: s.Host, Clock: clock, Listed: h.listed, Done: make(chan struct{})}
	h.placer = broker.NewPlacer(h.table, h.loop.View, clock, book.unplaced)
	h.placer.Admit = &placing{host: h}
	h.line = pipe.Line{Clock: clock, Filters: []pipe.Filter{
		match.New(),
		guard.Pipe{Table: h.crashes, Teller: &teller{host: h}},
		&serve.Pipe{Placer: &hops{host: h}, Sender: &hops{host: h}, Budget: h.budget, Journal: book, Clock: clock},
	}}
	h.server = httpd.New(h, h.bounds, clock)
	h.broker = &broker.Server{Dealer: h.loop, Teller: h.loop, Admit: &placing{host: h}, Table: h.table, Clock: clock, Done: make(chan struct{})}
	h.asker = &broker.Asker{
		Needer: h.table, Local: h.loop, View: h.loop.View, Lost: book.lost, Clock: clock, Done: make(chan struct{}),
		Give: func(l deal.Loans) { h.loop.Send(context.Background(), watch.Lent{Loans: l}) },
	}
	h.grace.Store(int64(s.Grace))
	return h
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// listed tells whether the newest view holds this incarnation, or the store is not heard.
func (h *Host) listed() bool {
	v := h.loop.View()
	if h.Clock().Sub(v.Synced) > staleAfter {
		return true
	}
	for i := range v.Hosts {
		if v.Hosts[i].Incarnation == h.Settings.Host.Incarnation {
			return true
		}
	}
	return false
}

const (
	// staleAfter is the silence of the store after which its picture tells nothing of this host's entry.
	staleAfter = 2 * time.Second
	// sweepPeriod is how often waiting jobs look again at upstreams that changed with time alone.
	sweepPeriod = 25 * time.Millisecond
	// memoryPart is the part of its memory bound at which the collector works harder.
	memoryPart = 0.7
)

// Serve takes one request of a caller through the filters.
func (h *Host) Serve(ctx context.Context, r *httpd.Request) httpd.Answer {
	job := h.front.Job(r)
	job.View = h.loop.View()
	if h.Tracer == nil {
		h.line.Run(ctx, job)
	} else {
		trace.Hop{Tracer: h.Tracer, Name: "serve", Next: &h.line}.Run(ctx, job)
	}
	h.ended(job)
	return h.front.Answer(job)
}

func (h *Host) ended(job *pipe.Job) {
	took := h.Clock().Sub(job.Started)
	h.Meters.Ended(job, took)
	(&journal{log: h.Log, meters: h.Meters}).ended(job, took)
}

// bounds returns what callers may send, by the policy in force.
func (h *Host) bounds() httpd.Bounds {
	p := h.loop.View().Policy
	if p == nil {
		return startBounds
	}
	return httpd.Bounds{Header: p.Limits.Header, Body: p.Limits.Body, HeaderLife: p.Limits.HeaderLife, IdleLife: p.Limits.IdleLife}
}

// startBounds holds until a policy is known; nothing is served before that.
var startBounds = httpd.Bounds{Header: 16 << 10, Body: 1 << 20, HeaderLife: 3 * time.Second, IdleLife: 15 * time.Second}

// Run starts the host and serves until the context ends, then stops it as planned.
func (h *Host) Run(ctx context.Context, hangup <-chan os.Signal) error {
	defer close(h.Done)
	if h.Settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(h.Settings.Memory)))
	}
	life, kill := context.WithCancel(context.Background())
	defer kill()
	front, err := h.listen(life)
	if err != nil {
		return err
	}
	peers, err := (&net.ListenConfig{}).Listen(life, "tcp", h.Settings.Host.Peer)
	if err != nil {
		return ErrListen.Wrap(err, "listening for hosts on %s", h.Settings.Host.Peer)
	}
	keep, quit := context.WithCancel(life)
	defer quit()
	go h.loop.Run(life)
	go h.reader.Run(life)
	go h.keeper.Run(keep)
	go h.sweep(life)
	go h.report(life)
	go h.broker.Serve(life, peers)
	go h.asker.Run(keep)
	go h.follow(life, hangup)
	go h.server.Serve(life, front)
	h.Log.Info("started", zap.String("host", h.Settings.Host.Name), zap.String("domain", h.Settings.Host.Domain),
		zap.String("incarnation", h.Settings.Host.Incarnation), zap.String("line", h.line.String()))
	<-ctx.Done()
	h.leave(life, front, quit)
	h.Log.Info("stopped", zap.String("host", h.Settings.Host.Name))
	return nil
}

func (h *Host) listen(ctx context.Context) (net.Listener, error) {
	s := h.Settings
	front, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Host.Front)
	if err != nil {
		return nil, ErrListen.Wrap(err, "listening for callers on %s", s.Host.Front)
	}
	for addr, handler := range map[string]http.Handler{
		s.Ready: http.HandlerFunc(h.ready), s.Directory: h.front.Directory(h.loop.View), s.Metrics: h.Meters.Handler(),
	} {
		if addr == "" {
			continue
		}
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err != nil {
			_ = front.Close()
			return nil, ErrListen.Wrap(err, "listening on %s", addr)
		}
		srv := &http.Server{Handler: handler, ReadHeaderTimeout: sideLife, IdleTimeout: sideIdle}
		go func() { _ = srv.Serve(ln) }()
	}
	return front, nil
}

const (
	// sideLife bounds a header on the addresses for readiness, directory and metrics.
	sideLife = 3 * time.Second
	// sideIdle bounds an idle connection there.
	sideIdle = 30 * time.Second
)

// ready answers the platform's checks: a host is ready while it knows a policy and is not stopping.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.stop.Load() || h.loop.View().Policy == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Host) sweep(ctx context.Context) {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			now := h.Clock()
			h.table.Pump(now)
			h.sender.Sweep(now)
		}
	}
}

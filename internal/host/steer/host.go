package steer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	otel "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/lease"
	"github.com/boragelane/boragelane/internal/ctrl/loans"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/edge/broker"
	"github.com/boragelane/boragelane/internal/edge/dialer"
	"github.com/boragelane/boragelane/internal/edge/httpd"
	"github.com/boragelane/boragelane/internal/flow/access"
	"github.com/boragelane/boragelane/internal/flow/halt"
	"github.com/boragelane/boragelane/internal/flow/match"
	"github.com/boragelane/boragelane/internal/flow/meter"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/place"
	"github.com/boragelane/boragelane/internal/flow/poison"
	"github.com/boragelane/boragelane/internal/flow/serve"
	"github.com/boragelane/boragelane/internal/host/metric"
	"github.com/boragelane/boragelane/internal/host/trace"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("steer")

// ErrListen is returned when a listener can't be opened.
var ErrListen = Errors.NewType("listen")

// Store is the part of the platform's store that a host uses.
type Store interface {
	watch.Source
	lease.Registry
	// ReportCrash writes a crash for the other hosts to read.
	ReportCrash(ctx context.Context, c roster.Crash, lease int64) error
}

// Frontend decodes callers' requests into jobs and encodes the answers.
type Frontend interface {
	Job(r *httpd.Request) *pipe.Job
	Answer(job *pipe.Job) httpd.Response
	DirectoryHandler(view func() *roster.View) http.Handler
}

// Host is one entry host.
type Host struct {
	Settings Settings
	Clock    func() time.Time
	Log      *zap.Logger
	Metrics  *metric.Metrics
	Loader   Loader
	Tracer   otel.Tracer // Records a span for each hop of a job; nil disables tracing.
	Listen   func(ctx context.Context, address string) (net.Listener, error)
	Done     chan struct{}

	front         Frontend
	store         Store
	loop          *watch.Loop
	reader        *watch.Reader
	keeper        *lease.Keeper
	scheduler     *place.Scheduler
	sender        *dialer.Sender
	budget        *serve.Budget
	access        *access.Filter
	crashes       *poison.Table
	filters       pipe.Pipeline
	server        *httpd.Server
	halt          halt.Filter
	gate          *halt.Gate
	stopping      atomic.Bool
	crashReports  chan roster.Crash
	loanPoller    *broker.LoanPoller
	meter         *meter.Meter
	quotaPoller   *broker.QuotaPoller
	learner       *broker.Learner
	placer        *broker.Placer
	updateFetcher *broker.UpdateFetcher
	broker        *broker.Server
	stopGrace     atomic.Int64 // A time.Duration in nanoseconds.
}

// New returns a host; Run starts it.
func New(s Settings, store Store, front Frontend, headerNames dialer.HeaderNames, clock func() time.Time, log *zap.Logger, metrics *metric.Metrics) *Host {
	s.Host.Incarnation = newID()
	h := &Host{
		Settings: s, Clock: clock, Log: log, Metrics: metrics, Listen: listenTCP, Done: make(chan struct{}), front: front, store: store,
		scheduler: place.NewScheduler(), sender: dialer.New(headerNames, clock), budget: serve.NewBudget(s.Retry),
		crashes: &poison.Table{}, crashReports: make(chan roster.Crash, crashReportBuffer),
	}
	h.scheduler.SetMaxShift(s.MaxShift)
	events := &eventLog{log: log, metrics: h.Metrics}
	h.sender.OnBadLoad, h.sender.Usable = events.logBadLoad, h.usesUpstream
	h.access = access.New(s.Keys, events)
	h.scheduler.Waits = events
	h.loop = watch.NewLoop(s.Host, clock, events)
	h.meter = meter.New(h.scheduler, events)
	h.loop.Subscribers = []watch.Subscriber{h.scheduler, h.meter, &crashReceiver{crashes: h.crashes}}
	h.updateFetcher = broker.NewUpdateFetcher(clock)
	h.reader = &watch.Reader{Source: store, Peers: h.updateFetcher, Loop: h.loop, Clock: clock, Done: make(chan struct{})}
	h.keeper = &lease.Keeper{Registry: store, Observer: events, Host: s.Host, Clock: clock, Listed: h.isRegistered, Done: make(chan struct{})}
	h.placer = broker.NewPlacer(h.scheduler, h.loop.View, clock, events.logPlacingFailure)
	h.placer.Admit, h.placer.OnHome = &placeTracer{host: h}, events.countHome
	h.gate = halt.NewGate(&hopTracer{host: h})
	h.filters = pipe.Pipeline{Clock: clock, Filters: []pipe.Filter{
		match.New(),
		h.access,
		&h.halt,
		poison.Filter{Table: h.crashes, Notifier: &crashReporter{host: h}},
		&serve.Filter{Placer: h.gate, Sender: &hopTracer{host: h}, Budget: h.budget, Recorder: events, Clock: clock, OnPanic: events.logPanic, KeepLosers: keepHedgeLosers},
	}}
	h.server = httpd.New(h, h.requestBounds, clock)
	metrics.WatchHeld(h.server.Held.Used, h.server.Held.Limit)
	h.server.OnPanic, h.server.OnRefused, h.server.OnClosed = events.logPanic, h.recordUnread, h.recordClosed
	h.broker = &broker.Server{Planner: h.loop, Updates: h.loop, Quota: h.loop, Admit: &placeTracer{host: h}, Scheduler: h.scheduler, Crashes: &crashReceiver{crashes: h.crashes}, Clock: clock, OnPanic: events.logPanic, Done: make(chan struct{})}
	h.loanPoller = &broker.LoanPoller{
		Requester: h.scheduler, Local: h.loop, View: h.loop.View, OnError: events.logLoanFailure, Clock: clock, Done: make(chan struct{}),
		OnLoans: func(l loans.Loans) { h.loop.Send(context.Background(), watch.LoansReceived{Loans: l}) },
	}
	h.quotaPoller = &broker.QuotaPoller{Holder: h.meter, Local: h.loop, View: h.loop.View, OnError: events.logQuotaFailure, Clock: clock, Done: make(chan struct{})}
	h.learner = &broker.Learner{Scheduler: h.scheduler, View: h.loop.View, OnError: events.logLearnFailure, Clock: clock, Done: make(chan struct{})}
	h.stopGrace.Store(int64(s.Grace))
	return h
}

// newID returns a random ID for an incarnation of the host.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// isRegistered reports whether the latest view contains this incarnation. It returns true while the view is stale, since
// the view can't tell then.
func (h *Host) isRegistered() bool {
	v := h.loop.View()
	if h.Clock().Sub(v.SyncedAt) > storeStaleAfter {
		return true
	}
	for i := range v.Hosts {
		if v.Hosts[i].Incarnation == h.Settings.Host.Incarnation {
			return true
		}
	}
	return false
}

// usesUpstream reports whether the latest view contains this incarnation of an upstream.
func (h *Host) usesUpstream(u *roster.Upstream) bool {
	return slices.ContainsFunc(h.loop.View().Upstreams[u.Service], func(known *roster.Upstream) bool {
		return known.ID == u.ID && known.Born == u.Born && known.Address == u.Address
	})
}

const (
	// storeStaleAfter is the time since the last sync with the store after which the view may lack this host's entry.
	storeStaleAfter = 2 * time.Second
	// maintenancePeriod is the interval at which waiting jobs are retried, since some upstreams become usable without an
	// event, and expired idle connections are closed.
	maintenancePeriod = 25 * time.Millisecond
	// summaryPeriod is the interval at which a placing host logs the state of its pools.
	summaryPeriod = time.Second
	// idleMaintenancePeriod is the same while no job waits.
	idleMaintenancePeriod = 250 * time.Millisecond
	// keepHedgeLosers lets the attempt that is answered second end by itself. Canceling it frees its slot at once, but what the
	// upstream has done for it is lost.
	keepHedgeLosers = false
	// heldMemoryFraction is the fraction of Settings.Memory that all bodies and responses may take together; a body or a response
	// whose buffer grows takes twice its size for a moment.
	heldMemoryFraction = 0.55
	// memoryLimitFraction is the fraction of Settings.Memory above which the garbage collector runs more often.
	memoryLimitFraction = 0.7
	// collectPercent is the growth of the heap, relative to what is in use, after which the garbage collector runs on a host with a
	// memory limit. The usual 100 peaks about an eighth higher; a smaller one costs processor time and saves nothing more.
	collectPercent = 50
)

// Serve runs a caller's request through the filters and returns the answer.
func (h *Host) Serve(ctx context.Context, r *httpd.Request) httpd.Response {
	job := h.front.Job(r)
	job.View, job.Held = h.loop.View(), r.Held
	if h.Tracer == nil {
		h.filters.Run(ctx, job)
	} else {
		trace.Hop{Tracer: h.Tracer, Name: "serve", Next: &h.filters}.Run(ctx, job)
	}
	h.recordRequest(job)
	return h.front.Answer(job)
}

// requestBounds returns the bounds on callers' requests from the current policy.
func (h *Host) requestBounds() httpd.Limits {
	p := h.loop.View().Policy
	if p == nil {
		return defaultBounds
	}
	return httpd.Limits{MaxHeaderBytes: p.Limits.Header, MaxBodyBytes: p.Limits.Body, HeaderTimeout: p.Limits.HeaderLife, IdleTimeout: p.Limits.IdleLife}
}

// defaultBounds apply until a policy is known; no request is served before that.
var defaultBounds = httpd.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Run starts the host, serves until the context ends, and then shuts down gracefully; hangup triggers a reload.
func (h *Host) Run(ctx context.Context, hangup <-chan os.Signal) error {
	defer close(h.Done)
	if h.Settings.Memory > 0 {
		h.server.Held.SetLimit(int64(heldMemoryFraction * float64(h.Settings.Memory)))
		debug.SetGCPercent(collectPercent)
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(h.Settings.Memory)))
	}
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	front, err := h.listen(runCtx)
	if err != nil {
		return err
	}
	peers, err := h.Listen(runCtx, h.Settings.Host.Peer)
	if err != nil {
		return ErrListen.Wrap(err, "listening for hosts on %s", h.Settings.Host.Peer)
	}
	serveCtx, giveUp := context.WithCancelCause(runCtx)
	defer giveUp(nil)
	registrationCtx, cancelRegistration := context.WithCancel(runCtx)
	defer cancelRegistration()
	go h.loop.Run(runCtx)
	h.applyQuota(runCtx, &h.Settings)
	go h.reader.Run(runCtx)
	go h.keeper.Run(registrationCtx)
	go h.runMaintenance(runCtx)
	go h.reportCrashes(runCtx)
	go h.broker.Serve(runCtx, peers)
	go h.loanPoller.Run(registrationCtx)
	go h.quotaPoller.Run(runCtx)
	go h.learner.Run(registrationCtx)
	go h.watchSettings(runCtx, hangup)
	go h.server.Serve(serveCtx, front)
	h.Log.Info("started", zap.String("host", h.Settings.Host.Name), zap.String("domain", h.Settings.Host.Domain),
		zap.String("incarnation", h.Settings.Host.Incarnation), zap.String("line", h.filters.String()))
	<-ctx.Done()
	h.shutdown(runCtx, front, cancelRegistration, func() { giveUp(pipe.ErrStopping) })
	h.Log.Info("stopped", zap.String("host", h.Settings.Host.Name))
	return nil
}

package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	otel "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	goahttp "goa.design/goa/v3/http"

	genadmin "github.com/boragelane/boragelane/gen/admin"
	genserver "github.com/boragelane/boragelane/gen/http/admin/server"
	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/ctrl/loop"
	"github.com/boragelane/boragelane/internal/edge/admin"
	"github.com/boragelane/boragelane/internal/edge/egress"
	"github.com/boragelane/boragelane/internal/edge/front"
	"github.com/boragelane/boragelane/internal/edge/linger"
	"github.com/boragelane/boragelane/internal/edge/peer"
	"github.com/boragelane/boragelane/internal/edge/store"
	"github.com/boragelane/boragelane/internal/flow/accept"
	"github.com/boragelane/boragelane/internal/flow/admit"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/flow/ident"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/poison"
	"github.com/boragelane/boragelane/internal/flow/relay"
	"github.com/boragelane/boragelane/internal/flow/remote"
	"github.com/boragelane/boragelane/internal/flow/reply"
	"github.com/boragelane/boragelane/internal/flow/route"
	"github.com/boragelane/boragelane/internal/host/config"
	"github.com/boragelane/boragelane/internal/host/stats"
	"github.com/boragelane/boragelane/internal/host/trace"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("entry")

// ErrListen is returned when the host cannot listen on one of its addresses.
var ErrListen = Errors.NewType("listen")

// Host is an entry host: its control loop, its filter pipelines and its servers.
type Host struct {
	Settings config.Settings
	Self     plan.Identity
	Clock    func() time.Time
	Log      *zap.Logger
	Stats    *stats.Stats
	Trace    trace.Provider
	Done     chan struct{}

	loop        *loop.Loop
	store       *store.Client
	peerClient  *peer.Client
	peerServer  *peer.Server
	front       *front.Front
	sender      *egress.Sender
	admit       *admit.Filter
	once        dedup.Filter
	crashes     *poison.Table
	pacer       *remote.Pacer
	intake      trace.Hop
	serve       trace.Hop
	explain     pipe.Pipeline
	watcher     *platformWatcher
	httpServers [2]*http.Server    // Servers for callers and for operators, in this order.
	listeners   []*linger.Listener // Listeners for callers, hosts and operators, in this order.
	runCtx      context.Context    // Canceled when the host ends, after the graceful shutdown.
	cancelRun   context.CancelFunc
}

// New returns a host that is not running yet.
func New(s config.Settings, clock func() time.Time, log *zap.Logger, tr trace.Provider) *Host {
	h := &Host{
		Settings: s, Clock: clock, Log: log, Trace: tr, Stats: stats.New(), Done: make(chan struct{}),
		Self: plan.Identity{Seat: s.Seat, Region: s.Region, Domain: s.Domain, Incarnation: newID()},
	}
	h.loop = loop.New(h.Self, clock)
	h.store = store.New(s.Platform)
	h.peerClient = peer.NewClient(s.Seat, clock)
	h.sender = egress.New()
	h.admit = admit.New()
	h.crashes = &poison.Table{}
	h.pacer = remote.NewPacer(clock)
	h.once = dedup.Filter{Table: dedup.NewTable(), Forwarder: ownerForwarder{h}, NewID: newID}
	h.watcher = &platformWatcher{host: h}
	h.buildPipelines()
	h.loop.Executor = &executor{host: h}
	h.loop.LoadReporter = h.admit
	h.loop.Subscribers = []loop.Subscriber{h.admit, h.pacer, &revisionLogger{log: h.Log}}
	h.peerServer = peer.NewServer(&peerHandler{h}, clock, log, &h.peerClient.Control)
	h.front = &front.Front{Host: h, Clock: clock, OnRefused: h.Stats.CountRefusal}
	h.httpServers = [2]*http.Server{h.front.Server(), h.adminServer()}
	h.runCtx, h.cancelRun = context.WithCancel(context.Background())
	h.registerGauges()
	return h
}

// buildPipelines builds the filter pipelines: intake for the first hop, serve for the second hop, and explain,
// which routes a job without running it.
func (h *Host) buildPipelines() {
	tracer := h.Trace.Tracer("boragelane")
	crashGuard := poison.Filter{Table: h.crashes, Notifier: &crashNotifier{host: h}}
	serve := pipe.Pipeline{Clock: h.Clock, Filters: []pipe.Filter{
		remote.AnswerPacer{Pacer: h.pacer},
		accept.Filter{},
		ident.Filter{NewID: newID},
		crashGuard,
		h.admit,
		relay.Filter{Sender: tracingSender{h.sender, tracer}},
		reply.Filter{},
	}}
	h.serve = trace.Hop{Tracer: tracer, Name: "serve", Next: serve}
	router := route.New(h.admit)
	intake := pipe.Pipeline{Clock: h.Clock, Filters: []pipe.Filter{
		remote.AnswerPacer{Pacer: h.pacer},
		accept.Filter{},
		ident.Filter{NewID: newID},
		h.once,
		crashGuard,
		router,
		remote.New(h.serve, router, h.peerClient, h.pacer, h, h.Clock),
	}}
	h.intake = trace.Hop{Tracer: tracer, Name: "intake", Next: intake}
	h.explain = pipe.Pipeline{Clock: h.Clock, Filters: []pipe.Filter{
		accept.Filter{},
		ident.Filter{NewID: newID},
		poison.Filter{Table: h.crashes},
		route.New(h.admit),
	}}
}

// tracingSender records a span for each try of a job at an upstream.
type tracingSender struct {
	next   relay.Sender
	tracer otel.Tracer
}

// newID returns a random identifier of 16 hexadecimal digits.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Run starts the host and serves until the context is canceled, then performs a graceful shutdown.
func (h *Host) Run(ctx context.Context) error {
	defer close(h.Done)
	if err := h.listen(ctx); err != nil {
		return err
	}
	defer h.cancelRun()
	go h.loop.Run(h.runCtx)
	go h.peerServer.Serve(h.runCtx, h.listeners[1])
	go h.runMaintenance(h.runCtx)
	go func() { _ = h.httpServers[0].Serve(h.listeners[0]) }()
	go func() { _ = h.httpServers[1].Serve(h.listeners[2]) }()
	h.Log.Info("serving", zap.String("seat", h.Self.Seat), zap.String("incarnation", h.Self.Incarnation),
		zap.String("front", h.Settings.Front), zap.String("intake", h.intake.Next.(pipe.Pipeline).String()))
	select {
	case <-ctx.Done():
		h.shutdown(h.runCtx)
	case <-h.runCtx.Done():
	}
	h.cancelRun()
	<-h.loop.Done
	_ = h.listeners[1].Close()
	<-h.peerServer.Done
	h.peerClient.Close()
	h.sender.Close()
	h.Log.Info("stopped", zap.String("seat", h.Self.Seat))
	return nil
}

// listen opens the listeners.
func (h *Host) listen(ctx context.Context) error {
	for _, addr := range []string{h.Settings.Front, h.Settings.Peer, h.Settings.Admin} {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err != nil {
			for _, opened := range h.listeners {
				_ = opened.Close()
			}
			return ErrListen.Wrap(err, "listening on %s", addr)
		}
		h.listeners = append(h.listeners, &linger.Listener{Listener: ln, Clock: h.Clock})
	}
	return nil
}

// adminServer returns the server of the operators' API and of /debug/vars.
func (h *Host) adminServer() *http.Server {
	mux := goahttp.NewMuxer()
	endpoints := genadmin.NewEndpoints(&admin.Service{Host: h})
	srv := genserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	genserver.Mount(mux, srv)
	root := http.NewServeMux()
	root.Handle("/debug/vars", h.Stats.Handler())
	root.Handle("/", http.MaxBytesHandler(mux, accept.MaxBody))
	return &http.Server{Handler: root, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second, MaxHeaderBytes: 16 << 10}
}

// maintenancePeriod is the interval at which expired ticket records are removed and upstreams that are down are probed.
const maintenancePeriod = 100 * time.Millisecond

// runMaintenance removes expired ticket records, runs the periodic work of admission and probes upstreams that are
// down, until the context is canceled.
func (h *Host) runMaintenance(ctx context.Context) {
	t := time.NewTicker(maintenancePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			now := h.Clock()
			h.once.Table.DeleteExpired(now)
			h.admit.Tick(now)
			for _, u := range h.admit.DueProbes(now) {
				go h.probe(u)
			}
		}
	}
}

// probe marks an upstream as up again if it accepts connections.
func (h *Host) probe(u plan.Upstream) {
	if egress.Reachable(u.Address) {
		h.admit.MarkUp(h.Clock(), u.ID)
	}
}

// registerGauges registers the gauges that /debug/vars reports.
func (h *Host) registerGauges() {
	s := h.Stats
	s.Gauge("revision", func() any {
		if d := h.loop.Plan().Doc; d != nil {
			return d.Revision
		}
		return 0
	})
	s.Gauge("lookups", func() any { return h.front.Lookups.Load() })
	s.Gauge("records", func() any { return h.once.Table.Len() })
	s.Gauge("links", func() any { return h.pacer.SentBytes() })
	s.Gauge("platform", func() any { return h.store.Calls.Load() })
	s.Gauge("dropped", func() any { return h.loop.Dropped() })
	s.Gauge("control", func() any { return [2]int64{h.peerClient.Control.In.Load(), h.peerClient.Control.Out.Load()} })
	s.Gauge("traffic", func() any { return [2]int64{h.peerClient.Traffic.In.Load(), h.peerClient.Traffic.Out.Load()} })
}

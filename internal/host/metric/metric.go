package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Metrics holds the metrics of one host.
type Metrics struct {
	Registry       *prometheus.Registry
	Requests       *prometheus.CounterVec   // Callers' requests, by route, outcome and reason.
	RequestLatency *prometheus.HistogramVec // Seconds from the first byte of a request to its end, by route.
	Attempts       *prometheus.CounterVec   // Attempts at upstreams, by service and reason.
	Hedges         *prometheus.CounterVec   // Second attempts of jobs that run for long, by service and result.
	AttemptLatency *prometheus.HistogramVec // Seconds that an attempt at an upstream took, by service.
	WaitError      *prometheus.HistogramVec // Seconds that a job waited for a slot longer than expected, by service and result.
	ViewChanges    *prometheus.CounterVec   // Changes in the host's view of the system, by kind.
	StoreCalls     *prometheus.CounterVec   // Calls to the store, by operation and result.
	Unread         *prometheus.CounterVec   // Requests that were refused before they were read in full, by status.
	Closed         *prometheus.CounterVec   // Closed connections of callers, by who closed first, announcement and delivery.
	BadLoads       prometheus.Counter       // Malformed load headers of upstreams.
	Homes          *prometheus.CounterVec   // Jobs that may not run in the host's region, by the region whose host placed them.
	QuotaJobs      *prometheus.CounterVec   // Jobs that count against a quota, by workspace and result.
	QuotaDebt      *prometheus.GaugeVec     // Jobs that run on debt, by workspace.
	Dropped        prometheus.Counter       // Log lines that were dropped.
	Panics         prometheus.Counter       // Panics that ended one request and not the process.

	quotaNames []string // Workspaces with metrics, as of the last call of KeepQuota.
}

// WatchHeld exports the bytes that a host holds for its callers, and their limit, as functions of the present.
func (m *Metrics) WatchHeld(used, limit func() int64) {
	m.Registry.MustRegister(gauge("held_bytes", "Bytes held for callers beyond the first of each request.", used), gauge("held_limit_bytes", "Limit of the bytes held for callers.", limit))
}

// latencyBuckets are in seconds and range from the latency of a warm upstream nearby to the longest deadline.
var latencyBuckets = []float64{.01, .025, .05, .1, .15, .25, .4, .6, 1, 1.5, 2.5, 4, 6, 12}

// waitErrorBuckets are in seconds. They are finer around 0, since the wait for a slot is short compared with the work.
var waitErrorBuckets = []float64{-2, -1, -.5, -.25, -.1, -.05, 0, .05, .1, .25, .5, 1, 2}

// New returns registered metrics with all values at zero.
func New() *Metrics {
	m := &Metrics{
		Registry:       prometheus.NewRegistry(),
		Requests:       counter("requests_total", "Requests of callers by how they ended.", "route", "outcome", "reason"),
		RequestLatency: histogram("request_seconds", "Time from a request's first byte to its answer.", "route"),
		Attempts:       counter("tries_total", "Tries at upstreams by how they ended.", "service", "reason"),
		Hedges:         counter("hedges_total", "Second attempts of jobs that run for long, by what came of them.", "service", "result"),
		AttemptLatency: histogram("try_seconds", "Time of a try at an upstream.", "service"),
		WaitError:      waitErrors(),
		ViewChanges:    counter("beliefs_total", "Changes of what the host believes.", "what"),
		StoreCalls:     counter("store_calls_total", "Calls to the platform's store.", "call", "result"),
		Unread:         counter("unread_total", "Requests refused before they were read in full.", "status"),
		Closed:         counter("closed_total", "Closed connections of callers that were used.", "by", "announced", "delivered"),
		Homes:          counter("home_placings_total", "Placings of jobs that may not run in the host's region, by the region that placed them.", "region"),
		BadLoads:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "bad_load_headers_total", Help: "Malformed load headers of upstreams."}),
		QuotaJobs:      counter("quota_jobs_total", "Jobs placed here that count against a quota, of the workspaces with most of them and of all others.", "workspace", "result"),
		QuotaDebt:      gaugeVec("quota_debt", "Jobs placed here before the quota's owner granted tokens for them.", "workspace"),
		Dropped:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_dropped_total", Help: "Log lines dropped."}),
		Panics:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "panics_total", Help: "Panics that were recovered."}),
	}
	m.Registry.MustRegister(m.Requests, m.RequestLatency, m.Attempts, m.Hedges, m.AttemptLatency, m.WaitError, m.ViewChanges, m.StoreCalls,
		m.Unread, m.Closed, m.BadLoads, m.Homes, m.QuotaJobs, m.QuotaDebt, m.Dropped, m.Panics)
	return m
}

const namespace = "boragelane"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, value func() int64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, func() float64 { return float64(value()) })
}

func gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

func waitErrors() *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "wait_error_seconds", Help: "Actual less expected wait for a slot; negative if shorter.", Buckets: waitErrorBuckets,
	}, []string{"service", "result"})
}

// ObserveWait records by how much a job that was queued waited longer than expected, and whether it got a slot.
func (m *Metrics) ObserveWait(service string, expected, actual time.Duration, served bool) {
	result := "refused"
	if served {
		result = "served"
	}
	m.WaitError.WithLabelValues(service, result).Observe((actual - expected).Seconds())
}

// ObserveRequest records the outcome and the latency of a finished request.
func (m *Metrics) ObserveRequest(job *pipe.Job, took time.Duration) {
	route := "none"
	if job.Route != nil {
		route = job.Route.Name
	}
	m.Requests.WithLabelValues(route, job.Outcome.Kind.String(), string(job.Outcome.Reason)).Inc()
	m.RequestLatency.WithLabelValues(route).Observe(took.Seconds())
}

// ObserveAttempt records the outcome and the duration of one attempt at an upstream.
func (m *Metrics) ObserveAttempt(job *pipe.Job, service string, took time.Duration) {
	reason := string(job.Outcome.Reason)
	if job.Outcome.Kind == pipe.Answered {
		reason = "answered"
	}
	m.Attempts.WithLabelValues(service, reason).Inc()
	m.AttemptLatency.WithLabelValues(service).Observe(took.Seconds())
}

// Handler serves the metrics in the Prometheus text format, uncompressed.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{DisableCompression: true})
}

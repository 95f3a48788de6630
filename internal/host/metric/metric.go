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
	AttemptLatency *prometheus.HistogramVec // Seconds that an attempt at an upstream took, by service.
	ViewChanges    *prometheus.CounterVec   // Changes in the host's view of the system, by kind.
	StoreCalls     *prometheus.CounterVec   // Calls to the store, by operation and result.
	Unread         *prometheus.CounterVec   // Requests that were refused before they were read in full, by status.
	Closed         *prometheus.CounterVec   // Closed connections of callers, by who closed first, announcement and delivery.
	QuotaJobs      *prometheus.CounterVec   // Jobs that count against a quota, by workspace and result.
	QuotaDebt      *prometheus.GaugeVec     // Jobs that run on debt, by workspace.
	Dropped        prometheus.Counter       // Log lines that were dropped.
	Panics         prometheus.Counter       // Panics that ended one request and not the process.

	quotaNames []string // Workspaces with metrics, as of the last call of KeepQuota.
}

// latencyBuckets are in seconds and range from the latency of a warm upstream nearby to the longest deadline.
var latencyBuckets = []float64{.01, .025, .05, .1, .15, .25, .4, .6, 1, 1.5, 2.5, 4, 6, 12}

// New returns registered metrics with all values at zero.
func New() *Metrics {
	m := &Metrics{
		Registry:       prometheus.NewRegistry(),
		Requests:       counter("requests_total", "Requests of callers by how they ended.", "route", "outcome", "reason"),
		RequestLatency: histogram("request_seconds", "Time from a request's first byte to its answer.", "route"),
		Attempts:       counter("tries_total", "Tries at upstreams by how they ended.", "service", "reason"),
		AttemptLatency: histogram("try_seconds", "Time of a try at an upstream.", "service"),
		ViewChanges:    counter("beliefs_total", "Changes of what the host believes.", "what"),
		StoreCalls:     counter("store_calls_total", "Calls to the platform's store.", "call", "result"),
		Unread:         counter("unread_total", "Requests refused before they were read in full.", "status"),
		Closed:         counter("closed_total", "Closed connections of callers that were used.", "by", "announced", "delivered"),
		QuotaJobs:      counter("quota_jobs_total", "Jobs placed here that count against a quota, of the workspaces with most of them and of all others.", "workspace", "result"),
		QuotaDebt:      gauge("quota_debt", "Jobs placed here before the quota's owner granted tokens for them.", "workspace"),
		Dropped:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_dropped_total", Help: "Log lines dropped."}),
		Panics:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "panics_total", Help: "Panics that were recovered."}),
	}
	m.Registry.MustRegister(m.Requests, m.RequestLatency, m.Attempts, m.AttemptLatency, m.ViewChanges, m.StoreCalls, m.Unread, m.Closed, m.QuotaJobs, m.QuotaDebt, m.Dropped, m.Panics)
	return m
}

const namespace = "boragelane"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
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

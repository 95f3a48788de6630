package steer

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/place"
	"github.com/boragelane/boragelane/internal/flow/poison"
	"github.com/boragelane/boragelane/internal/flow/serve"
	"github.com/boragelane/boragelane/internal/host/metric"
)

// eventLog records events of the control loop and of jobs in the log and the metrics.
type eventLog struct {
	log     *zap.Logger
	metrics *metric.Metrics
}

// millisField returns a log field with a duration in milliseconds.
func millisField(d time.Duration) zap.Field {
	return zap.Float64("ms", float64(d.Microseconds())/1000)
}

// errorField returns a log field with the message of an error, without the stack trace that errorx adds.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// StateChanged logs and counts a change in this host's view of the system.
func (l *eventLog) StateChanged(_ time.Time, c watch.StateChange) {
	l.metrics.ViewChanges.WithLabelValues(c.Message).Add(float64(max(1, c.Count)))
	if c.Count > 0 {
		l.log.Info(c.Message, zap.Int("count", c.Count), zap.Int64("revision", c.Revision))
		return
	}
	l.log.Info(c.Message, zap.String("name", c.Name), zap.Int64("revision", c.Revision), errorField(c.Err))
}

// Registered logs that this host's entry in the store was written, or that it could not be kept.
func (l *eventLog) Registered(_ time.Time, lease int64, err error) {
	if err != nil {
		l.log.Warn("entry not kept", errorField(err))
		return
	}
	l.log.Info("entry kept", zap.Int64("lease", lease))
}

// logLoanFailure logs that a host did not answer a request for loans.
func (l *eventLog) logLoanFailure(host string, err error) {
	l.log.Warn("loans not given", zap.String("host", host), errorField(err))
}

// logLearnFailure logs that a host did not tell what it has learned of its upstreams.
func (l *eventLog) logLearnFailure(host string, err error) {
	l.log.Warn("knowledge not given", zap.String("host", host), errorField(err))
}

// logPlacingFailure logs that a placing host of the region could not be reached.
func (l *eventLog) logPlacingFailure(host string, err error) {
	l.log.Warn("placing host lost", zap.String("host", host), errorField(err))
}

// countHome counts a job that may not run in this host's region, by the home whose host placed it; "" is none.
func (l *eventLog) countHome(region string) {
	if region == "" {
		region = "none"
	}
	l.metrics.Homes.WithLabelValues(region).Inc()
}

// logPanic logs and counts a panic that was recovered.
func (l *eventLog) logPanic(where string, value any) {
	l.metrics.Panics.Inc()
	l.log.Error("panic recovered", zap.String("in", where), zap.Any("value", value), zap.ByteString("stack", debug.Stack()))
}

// logBadLoad logs and counts a malformed load header. The logger bounds the lines of one message a second.
func (l *eventLog) logBadLoad(u *roster.Upstream, value string) {
	l.metrics.BadLoads.Inc()
	l.log.Warn("load header malformed", zap.String("upstream", u.ID), zap.String("service", u.Service), zap.String("value", value))
}

// logSummaries logs the state of each pool for which this host has placed jobs.
func (h *Host) logSummaries(now time.Time) {
	for _, s := range h.scheduler.Summaries(now) {
		h.Log.Info("pool", zap.String("service", s.Service), zap.Int("upstreams", s.Upstreams), zap.Int("slots", s.Slots),
			zap.Int("running", s.Running), zap.Int("waiting", s.Waiting), zap.Int("ejected", s.Ejected), zap.Int("cold", s.Cold),
			zap.Int("leaving", s.Leaving), zap.Int("borrowed", s.Borrowed), zap.Int("lent", s.Lent), zap.Int("placed", s.Placed),
			zap.Int("hits", s.Hits), zap.Int("refused", s.Refused), zap.Int("reporting", s.Reporting), zap.Float64("pace", s.Pace),
			zap.Int("slow", s.Slow), zap.Int("doubted", s.Doubted), zap.Float64("slowdown", s.Slowdown), workspacesField(&s))
	}
}

// workspacesField returns a log field with the workspaces that wait and that were refused, if there are any.
func workspacesField(s *place.Summary) zap.Field {
	if s.Workspaces == 0 && s.MostRefused == "" && s.Displaced == 0 {
		return zap.Skip()
	}
	return zap.Dict("workspaces", zap.Int("waiting", s.Workspaces), zap.String("heaviest", s.Heaviest), zap.Int("heaviest_waiting", s.HeaviestWaiting),
		zap.String("most_refused", s.MostRefused), zap.Int("most_refused_number", s.MostRefusedNumber), zap.Int("displaced", s.Displaced))
}

// RecordWait records how well the wait for a slot was predicted.
func (l *eventLog) RecordWait(service string, expected, actual time.Duration, served bool) {
	l.metrics.ObserveWait(service, expected, actual, served)
}

// RecordAttempt counts one try of a job and logs it unless it was the first and got a whole reply.
func (l *eventLog) RecordAttempt(now time.Time, job *pipe.Job, u *roster.Upstream, d time.Duration) {
	l.metrics.ObserveAttempt(job, u.Service, d)
	if job.Reply.Complete && job.Attempts == 1 {
		return // The log line at the end of the job has all of it.
	}
	l.log.Info("try", zap.String("id", job.ID), zap.Int("number", job.Attempts), zap.String("upstream", u.ID),
		zap.String("domain", u.Domain), zap.Duration("reported", now.Sub(u.Reported)), zap.String("reason", string(job.Outcome.Reason)),
		zap.Int("status", job.Reply.Answer.Status), zap.Bool("sent", job.Reply.Sent), millisField(d), errorField(job.Reply.Err))
}

// RecordHedge counts what came of a second attempt that became due, and logs it if it was sent.
func (l *eventLog) RecordHedge(job *pipe.Job, h serve.Hedge) {
	l.metrics.Hedges.WithLabelValues(job.Service, string(h.Result)).Inc()
	if h.Second == nil {
		return
	}
	winner := ""
	switch h.Result {
	case serve.HedgeWon:
		winner = h.Second.ID
	case serve.HedgeLost:
		winner = h.First.ID
	}
	l.log.Info("hedge", zap.String("id", job.ID), zap.String("service", job.Service), zap.Duration("delay", h.Delay),
		zap.Duration("threshold", h.Threshold), zap.String("first", h.First.ID), zap.String("second", h.Second.ID),
		zap.String("result", string(h.Result)), zap.String("winner", winner))
}

// logRequest logs the outcome of a job.
func (l *eventLog) logRequest(job *pipe.Job, d time.Duration) {
	route, version := "", uint64(0)
	if job.Route != nil {
		route = job.Route.Name
	}
	if job.View.Policy != nil {
		version = job.View.Policy.Version
	}
	l.log.Info("request", zap.String("id", job.ID), zap.String("route", route), zap.String("workspace", job.Workspace), zap.Uint64("policy", version),
		zap.Duration("age", job.Started.Sub(job.View.SyncedAt)),
		zap.String("service", job.Service), zap.String("upstream", job.Upstream.ID), zap.Int("tries", job.Attempts),
		zap.String("outcome", job.Outcome.Kind.String()), zap.String("reason", string(job.Outcome.Reason)),
		zap.Int("status", job.Answer.Status), millisField(d), zap.String("detail", job.Outcome.Detail))
}

// RecordKeyCheck logs that this host's policy has become too old to tell whether keys are still valid, or is current again.
func (l *eventLog) RecordKeyCheck(_ time.Time, age time.Duration, verified, strict bool) {
	if verified {
		l.log.Info("keys verified again", zap.Duration("age", age))
		return
	}
	l.log.Warn("keys not verified", zap.Duration("age", age), zap.Bool("refused", strict))
}

// crashReceiver adds the crashes that other hosts saw to this host's crash table.
type crashReceiver struct {
	crashes *poison.Table
	last    roster.Crash // The newest crash of the last view.
}

// RecordCrash adds a crash that another host saw. The host that places the job learns of it before its caller can retry.
func (r *crashReceiver) RecordCrash(now time.Time, digest uint64, u *roster.Upstream) {
	r.crashes.Add(poison.Crash{Digest: digest, Upstream: u.ID, Born: u.Born, At: now})
}

// Update adds the crashes in a view.
func (r *crashReceiver) Update(now time.Time, v *roster.View) {
	if n := len(v.Crashes); n == 0 || v.Crashes[n-1] == r.last {
		return
	}
	r.last = v.Crashes[len(v.Crashes)-1]
	for _, c := range v.Crashes {
		r.crashes.Add(poison.Crash{Digest: c.Digest, Upstream: c.Upstream, Born: c.Born, At: now})
	}
}

const (
	// crashReportBuffer is the maximum number of crashes that wait to be reported; no single request causes more at once.
	crashReportBuffer = 32
	// crashReportTimeout is the timeout of one report.
	crashReportTimeout = time.Second
)

// crashReporter queues crashes for the goroutine that reports them.
type crashReporter struct{ host *Host }

// NotifyCrash queues a crash; it drops the crash and logs a warning if the queue is full.
func (r *crashReporter) NotifyCrash(_ time.Time, c poison.Crash) {
	select {
	case r.host.crashReports <- roster.Crash{Digest: c.Digest, Upstream: c.Upstream, Born: c.Born}:
	default:
		r.host.Log.Warn("crash not reported", zap.String("upstream", c.Upstream))
	}
}

// reportCrashes writes queued crashes to the store, where the other hosts read them.
func (h *Host) reportCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-h.crashReports:
			callCtx, cancel := context.WithTimeout(ctx, crashReportTimeout)
			if err := h.store.ReportCrash(callCtx, c, h.keeper.Lease()); err != nil {
				h.Log.Warn("crash not reported", zap.String("upstream", c.Upstream), errorField(err))
			}
			cancel()
		}
	}
}

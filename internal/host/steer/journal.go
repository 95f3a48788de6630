package steer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/flow/guard"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/host/meters"
)

// journal writes decisions to the log.
type journal struct {
	log    *zap.Logger
	meters *meters.Meters
}

func took(d time.Duration) zap.Field {
	return zap.Float64("ms", float64(d.Microseconds())/1000)
}

// cause is an error's message without the stack that the library adds.
func cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Believe logs a change of what this host believes.
func (j *journal) Believe(_ time.Time, n watch.Note) {
	j.meters.Notes.WithLabelValues(n.What).Inc()
	j.log.Info(n.What, zap.String("name", n.Name), zap.Int64("revision", n.Revision), cause(n.Err))
}

// Enrolled logs the gain or loss of this host's entry in the store.
func (j *journal) Enrolled(_ time.Time, lease int64, err error) {
	if err != nil {
		j.log.Warn("entry not kept", cause(err))
		return
	}
	j.log.Info("entry kept", zap.Int64("lease", lease))
}

// lost logs a host that gave no loans.
func (j *journal) lost(host string, err error) {
	j.log.Warn("loans not given", zap.String("host", host), cause(err))
}

// unplaced logs a host of the region that could not be asked to place a job.
func (j *journal) unplaced(host string, err error) {
	j.log.Warn("placing host lost", zap.String("host", host), cause(err))
}

// Tried logs one try of a job.
func (j *journal) Tried(now time.Time, job *pipe.Job, u *roster.Upstream, d time.Duration) {
	j.meters.Tried(job, u.Service, d)
	if job.Reply.Whole && job.Tries == 1 {
		return // The line at the job's end tells it all.
	}
	j.log.Info("try", zap.String("id", job.ID), zap.Int("number", job.Tries), zap.String("upstream", u.ID),
		zap.String("domain", u.Domain), zap.Duration("reported", now.Sub(u.Reported)), zap.String("reason", string(job.Outcome.Reason)),
		zap.Int("status", job.Reply.Answer.Status), zap.Bool("sent", job.Reply.Sent), took(d), cause(job.Reply.Err))
}

// ended logs how a job ended.
func (j *journal) ended(job *pipe.Job, d time.Duration) {
	route, version := "", uint64(0)
	if job.Route != nil {
		route = job.Route.Name
	}
	if job.View.Policy != nil {
		version = job.View.Policy.Version
	}
	j.log.Info("request", zap.String("id", job.ID), zap.String("route", route), zap.Uint64("policy", version),
		zap.Duration("age", job.Started.Sub(job.View.Synced)),
		zap.String("service", job.Service), zap.String("upstream", job.Upstream.ID), zap.Int("tries", job.Tries),
		zap.String("outcome", job.Outcome.Kind.String()), zap.String("reason", string(job.Outcome.Reason)),
		zap.Int("status", job.Answer.Status), took(d), zap.String("detail", job.Outcome.Detail))
}

// learner hands crashes that other hosts saw to the guard.
type learner struct {
	crashes *guard.Table
}

// Update adds the crashes of a view.
func (l *learner) Update(now time.Time, v *roster.View) {
	for _, c := range v.Crashes {
		l.crashes.Add(guard.Crash{Digest: c.Digest, Upstream: c.Upstream, At: now})
	}
}

const (
	// reportBuffer is how many crashes may wait to be told; more at once are no single request's doing.
	reportBuffer = 32
	// reportLife bounds one report.
	reportLife = time.Second
)

// teller hands crashes to the goroutine that reports them.
type teller struct{ host *Host }

// Tell queues a crash for the other hosts.
func (t *teller) Tell(_ time.Time, c guard.Crash) {
	select {
	case t.host.reports <- roster.Crash{Digest: c.Digest, Upstream: c.Upstream}:
	default:
		t.host.Log.Warn("crash not told", zap.String("upstream", c.Upstream))
	}
}

// report writes crashes to the store for the other hosts.
func (h *Host) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-h.reports:
			call, cancel := context.WithTimeout(ctx, reportLife)
			if err := h.store.Report(call, c, h.keeper.Lease()); err != nil {
				h.Log.Warn("crash not told", zap.String("upstream", c.Upstream), cause(err))
			}
			cancel()
		}
	}
}

package steer

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/place"
	"github.com/boragelane/boragelane/internal/host/trace"
)

// hops makes a span for each way that a job takes from this host: to the host that places it, and to an upstream.
type hops struct{ host *Host }

// Acquire asks for an upstream in a span.
func (h *hops) Acquire(ctx context.Context, now time.Time, ask place.Ask) *place.Grant {
	if h.host.Tracer == nil {
		return h.host.placer.Acquire(ctx, now, ask)
	}
	inner, end := trace.Begin(ctx, h.host.Tracer, "ask", ask.Trace, attribute.String("boragelane.service", ask.Service))
	ask.Trace = inner
	g := h.host.placer.Acquire(ctx, now, ask)
	end(granted(g)...)
	return g
}

// Release ends a job's stay at an upstream.
func (h *hops) Release(now time.Time, g *place.Grant, r place.Result) {
	h.host.placer.Release(now, g, r)
}

// Send sends a job to an upstream in a span, which the upstream is told of.
func (h *hops) Send(ctx context.Context, now time.Time, job *pipe.Job, u *roster.Upstream) pipe.Reply {
	if h.host.Tracer == nil {
		return h.host.sender.Send(ctx, now, job, u)
	}
	outer := job.Trace
	inner, end := trace.Begin(ctx, h.host.Tracer, "upstream", outer,
		attribute.String("boragelane.job", job.ID), attribute.String("boragelane.upstream", u.ID), attribute.Int("boragelane.try", job.Tries))
	job.Trace = inner
	r := h.host.sender.Send(ctx, now, job, u)
	job.Trace = outer
	end(attribute.Int("boragelane.status", r.Answer.Status), attribute.Bool("boragelane.whole", r.Whole))
	return r
}

// placing makes a span for each job that this host places, for itself or for another one.
type placing struct{ host *Host }

// Acquire places a job in a span.
func (p *placing) Acquire(ctx context.Context, now time.Time, ask place.Ask) *place.Grant {
	if p.host.Tracer == nil {
		return p.host.table.Acquire(ctx, now, ask)
	}
	_, end := trace.Begin(ctx, p.host.Tracer, "place", ask.Trace,
		attribute.String("boragelane.service", ask.Service), attribute.String("boragelane.host", ask.Host.Name))
	g := p.host.table.Acquire(ctx, now, ask)
	end(granted(g)...)
	return g
}

func granted(g *place.Grant) []attribute.KeyValue {
	if g == nil {
		return []attribute.KeyValue{attribute.Bool("boragelane.granted", false)}
	}
	return []attribute.KeyValue{attribute.Bool("boragelane.granted", true), attribute.String("boragelane.upstream", g.Upstream.ID)}
}

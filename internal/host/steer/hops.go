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

// hopTracer records a span for each call that this host makes for a job: to the host that places it, and to an upstream.
type hopTracer struct{ host *Host }

// Acquire requests an upstream within a span.
func (h *hopTracer) Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal) {
	if h.host.Tracer == nil {
		return h.host.placer.Acquire(ctx, now, req)
	}
	carrier, end := trace.StartFromCarrier(ctx, h.host.Tracer, "ask", req.Trace, attribute.String("boragelane.service", req.Service))
	req.Trace = carrier
	g, refusal := h.host.placer.Acquire(ctx, now, req)
	end(grantAttributes(g)...)
	return g, refusal
}

// Release returns the grant of a finished job; it has no span.
func (h *hopTracer) Release(now time.Time, g *place.Grant, r place.Result) {
	h.host.placer.Release(now, g, r)
}

// Send sends a job to an upstream within a span and passes the trace context on.
func (h *hopTracer) Send(ctx context.Context, now time.Time, job *pipe.Job, u *roster.Upstream) pipe.Reply {
	if h.host.Tracer == nil {
		return h.host.sender.Send(ctx, now, job, u)
	}
	carrier, end := trace.StartFromCarrier(ctx, h.host.Tracer, "upstream", job.Trace,
		attribute.String("boragelane.job", job.ID), attribute.String("boragelane.upstream", u.ID), attribute.Int("boragelane.try", job.Attempts))
	traced := *job // The job itself may be sent to another upstream at the same time.
	traced.Trace = carrier
	r := h.host.sender.Send(ctx, now, &traced, u)
	end(attribute.Int("boragelane.status", r.Answer.Status), attribute.Bool("boragelane.whole", r.Complete))
	return r
}

// placeTracer records a span for each job that this host places, whether for itself or for another host.
type placeTracer struct{ host *Host }

// Acquire places a job within a span, unless it is in quarantine.
func (p *placeTracer) Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal) {
	if p.host.crashes.Quarantined(req.Digest, now) {
		return nil, place.Refusal{Quarantined: true}
	}
	if p.host.Tracer == nil {
		return p.host.meter.Acquire(ctx, now, req)
	}
	_, end := trace.StartFromCarrier(ctx, p.host.Tracer, "place", req.Trace,
		attribute.String("boragelane.service", req.Service), attribute.String("boragelane.host", req.Host.Name))
	g, refusal := p.host.meter.Acquire(ctx, now, req)
	end(grantAttributes(g)...)
	return g, refusal
}

// Release returns the grant of a finished job; it has no span. An answer counts against the job's quarantine.
func (p *placeTracer) Release(now time.Time, g *place.Grant, r place.Result) {
	if r.Succeeded {
		p.host.crashes.RecordAnswer(g.Digest)
	}
	p.host.meter.Release(now, g, r)
}

// grantAttributes returns the span attributes of a grant, which is nil if the job was not placed.
func grantAttributes(g *place.Grant) []attribute.KeyValue {
	if g == nil {
		return []attribute.KeyValue{attribute.Bool("boragelane.granted", false)}
	}
	return []attribute.KeyValue{attribute.Bool("boragelane.granted", true), attribute.String("boragelane.upstream", g.Upstream.ID)}
}

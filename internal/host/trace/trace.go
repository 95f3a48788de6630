package trace

import (
	"context"

	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	otel "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("trace")

// ErrExporter is an exporter that can't be set up.
var ErrExporter = Errors.NewType("exporter")

// Provider makes tracers and can be shut down.
type Provider struct {
	otel.TracerProvider
	Shutdown func(context.Context) error
}

// None returns a provider whose spans go nowhere.
func None() Provider {
	return Provider{TracerProvider: noop.NewTracerProvider(), Shutdown: func(context.Context) error { return nil }}
}

// Setup returns a provider that sends spans to an OTLP collector, or None for no URL.
func Setup(ctx context.Context, url, seat string) (Provider, error) {
	if url == "" {
		return None(), nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return Provider{}, ErrExporter.Wrap(err, "setting up %s", url)
	}
	return With(sdk.NewBatchSpanProcessor(exp), seat), nil
}

// With returns a provider that hands its spans to a processor.
func With(p sdk.SpanProcessor, seat string) Provider {
	res := resource.NewSchemaless(attribute.String("service.name", "boragelane"), attribute.String("service.instance.id", seat))
	tp := sdk.NewTracerProvider(sdk.WithSpanProcessor(p), sdk.WithResource(res))
	return Provider{TracerProvider: tp, Shutdown: tp.Shutdown}
}

// Runner is a part of a job's way.
type Runner interface {
	Run(ctx context.Context, job *pipe.Job)
}

// Hop runs a part of a job's way in a span of its own.
type Hop struct {
	Tracer otel.Tracer
	Name   string
	Next   Runner
}

// Run starts the span as a child of the one in the job's trace context.
func (h Hop) Run(ctx context.Context, job *pipe.Job) {
	ctx, end := Start(ctx, h.Tracer, h.Name, job)
	h.Next.Run(ctx, job)
	end()
}

// Begin begins a span below the one that a carrier names. It returns the carrier for what follows, and a function that
// ends the span with what came of it.
func Begin(ctx context.Context, tracer otel.Tracer, name string, outer map[string]string, tags ...attribute.KeyValue) (map[string]string, func(tags ...attribute.KeyValue)) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(outer))
	ctx, span := tracer.Start(ctx, name, otel.WithAttributes(tags...))
	inner := map[string]string{}
	propagation.TraceContext{}.Inject(ctx, propagation.MapCarrier(inner))
	return inner, func(tags ...attribute.KeyValue) {
		span.SetAttributes(tags...)
		span.End()
	}
}

// Start begins a span for a job; the function that it returns ends the span with the job's outcome.
func Start(ctx context.Context, tracer otel.Tracer, name string, job *pipe.Job) (context.Context, func()) {
	outer := job.Trace
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(outer))
	ctx, span := tracer.Start(ctx, name, otel.WithAttributes(
		attribute.String("boragelane.job", job.ID), attribute.String("boragelane.service", job.Service)))
	job.Trace = map[string]string{}
	propagation.TraceContext{}.Inject(ctx, propagation.MapCarrier(job.Trace))
	return ctx, func() {
		job.Trace = outer
		span.SetAttributes(
			attribute.String("boragelane.rank", job.Rank),
			attribute.String("boragelane.outcome", job.Outcome.Kind.String()),
			attribute.String("boragelane.reason", string(job.Outcome.Reason)),
			attribute.String("boragelane.upstream", job.Upstream.ID))
		if job.Outcome.Kind == pipe.Unknown {
			span.SetStatus(codes.Error, string(job.Outcome.Reason))
		}
		span.End()
	}
}

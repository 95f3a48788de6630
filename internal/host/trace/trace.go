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

// ErrExporter is returned when the span exporter can't be created.
var ErrExporter = Errors.NewType("exporter")

// Provider is a tracer provider with a function that flushes and stops it.
type Provider struct {
	otel.TracerProvider
	Shutdown func(context.Context) error
}

// Noop returns a provider that discards all spans.
func Noop() Provider {
	return Provider{TracerProvider: noop.NewTracerProvider(), Shutdown: func(context.Context) error { return nil }}
}

// Setup returns a provider that exports spans to the OTLP collector at url; for an empty url it returns Noop.
func Setup(ctx context.Context, url, instance string) (Provider, error) {
	if url == "" {
		return Noop(), nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return Provider{}, ErrExporter.Wrap(err, "setting up %s", url)
	}
	return NewProvider(sdk.NewBatchSpanProcessor(exp), instance), nil
}

// NewProvider returns a provider that passes its spans to a processor.
func NewProvider(p sdk.SpanProcessor, instance string) Provider {
	res := resource.NewSchemaless(attribute.String("service.name", "boragelane"), attribute.String("service.instance.id", instance))
	tp := sdk.NewTracerProvider(sdk.WithSpanProcessor(p), sdk.WithResource(res))
	return Provider{TracerProvider: tp, Shutdown: tp.Shutdown}
}

// Runner processes a job.
type Runner interface {
	Run(ctx context.Context, job *pipe.Job)
}

// Hop is a Runner that wraps another one in a span.
type Hop struct {
	Tracer otel.Tracer
	Name   string
	Next   Runner
}

// Run starts the span as a child of the span in the job's trace context.
func (h Hop) Run(ctx context.Context, job *pipe.Job) {
	ctx, end := StartJob(ctx, h.Tracer, h.Name, job)
	h.Next.Run(ctx, job)
	end()
}

// StartFromCarrier starts a span as a child of the span in the parent carrier. It returns the carrier to propagate
// downstream, and a function that adds attributes and ends the span.
func StartFromCarrier(ctx context.Context, tracer otel.Tracer, name string, parent map[string]string, attrs ...attribute.KeyValue) (map[string]string, func(attrs ...attribute.KeyValue)) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(parent))
	ctx, span := tracer.Start(ctx, name, otel.WithAttributes(attrs...))
	carrier := map[string]string{}
	propagation.TraceContext{}.Inject(ctx, propagation.MapCarrier(carrier))
	return carrier, func(attrs ...attribute.KeyValue) {
		span.SetAttributes(attrs...)
		span.End()
	}
}

// StartJob starts a span for a job; the returned function records the job's outcome and ends the span.
func StartJob(ctx context.Context, tracer otel.Tracer, name string, job *pipe.Job) (context.Context, func()) {
	parent := job.Trace
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(parent))
	ctx, span := tracer.Start(ctx, name, otel.WithAttributes(
		attribute.String("boragelane.job", job.ID), attribute.String("boragelane.service", job.Service)))
	job.Trace = map[string]string{}
	propagation.TraceContext{}.Inject(ctx, propagation.MapCarrier(job.Trace))
	return ctx, func() {
		job.Trace = parent
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

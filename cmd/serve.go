package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/boragelane/boragelane/internal/host/logs"
	"github.com/boragelane/boragelane/internal/host/metric"
	"github.com/boragelane/boragelane/internal/host/steer"
	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/platform"
)

type serveArgs struct {
	Trace    string `arg:"--trace,env:OTEL_EXPORTER_OTLP_TRACES_ENDPOINT" help:"URL of an OTLP collector for spans, such as http://10.1.0.9:4318/v1/traces; none without it"`
	Settings string `arg:"positional" help:"file of the platform's settings; by default the one that the environment names"`
}

// traceFlushTimeout limits how long the export of the remaining spans may delay the exit.
const traceFlushTimeout = 500 * time.Millisecond

// logFlushTimeout limits how long writing the remaining log lines may delay the exit.
const logFlushTimeout = 100 * time.Millisecond

func (a *serveArgs) run(ctx context.Context, out, errs io.Writer) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // Before anything else, since an unhandled SIGHUP ends the process.
	defer signal.Stop(reload)
	path := a.Settings
	if path == "" {
		path = os.Getenv(platform.EnvSettings)
	}
	loader := &platform.Loader{Path: path}
	settings, _, err := loader.Load()
	if err != nil {
		return ErrUsage.Wrap(err, "settings")
	}
	metrics := metric.New()
	writer := logs.NewWriter(out, metrics.Dropped.Inc)
	defer writer.Close(logFlushTimeout)
	store := platform.NewStore(settings.Store, settings.Regions, func(call, result string) { metrics.StoreCalls.WithLabelValues(call, result).Inc() })
	host := steer.New(settings, store, platform.Front{}, platform.HeaderNames, time.Now, logs.New(writer, zapcore.InfoLevel), metrics)
	host.Loader = loader
	if a.Trace != "" {
		provider, err := trace.Setup(ctx, a.Trace, settings.Host.Name)
		if err != nil {
			return ErrUsage.Wrap(err, "traces")
		}
		defer flushTraces(provider, errs)
		host.Tracer = provider.Tracer("boragelane")
	}
	if err := host.Run(ctx, reload); err != nil {
		return ErrFailed.Wrap(err, "serving")
	}
	return nil
}

// flushTraces exports the remaining spans and shuts the tracer provider down.
func flushTraces(provider trace.Provider, errs io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if err := provider.Shutdown(ctx); err != nil {
		_, _ = fmt.Fprintln(errs, "boragelane: the last spans were not sent:", err)
	}
}

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

	"github.com/boragelane/boragelane/internal/host/lines"
	"github.com/boragelane/boragelane/internal/host/meters"
	"github.com/boragelane/boragelane/internal/host/steer"
	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/platform"
)

type serveArgs struct {
	Trace    string `arg:"--trace,env:OTEL_EXPORTER_OTLP_TRACES_ENDPOINT" help:"URL of an OTLP collector for spans, such as http://10.1.0.9:4318/v1/traces; none without it"`
	Settings string `arg:"positional" help:"file of the platform's settings; by default the one that the environment names"`
}

// traceFlush bounds how long the last spans may take at the end.
const traceFlush = 500 * time.Millisecond

// logFlush bounds how long the last lines may take at the end.
const logFlush = 100 * time.Millisecond

func (a *serveArgs) run(ctx context.Context, out, errs io.Writer) error {
	path := a.Settings
	if path == "" {
		path = os.Getenv(platform.EnvSettings)
	}
	loader := &platform.Loader{Path: path}
	s, _, err := loader.Load()
	if err != nil {
		return ErrUsage.Wrap(err, "settings")
	}
	m := meters.New()
	w := lines.NewWriter(out, m.Dropped.Inc)
	defer w.Close(logFlush)
	store := platform.NewStore(s.Store, s.Regions, func(call, result string) { m.Calls.WithLabelValues(call, result).Inc() })
	host := steer.New(s, store, platform.Front{}, platform.Names, time.Now, lines.New(w, zapcore.InfoLevel), m)
	host.Loader = loader
	if a.Trace != "" {
		tr, err := trace.Setup(ctx, a.Trace, s.Host.Name)
		if err != nil {
			return ErrUsage.Wrap(err, "traces")
		}
		defer flushTraces(tr, errs)
		host.Tracer = tr.Tracer("boragelane")
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	if err := host.Run(ctx, hangup); err != nil {
		return ErrFailed.Wrap(err, "serving")
	}
	return nil
}

// flushTraces sends the last spans.
func flushTraces(tr trace.Provider, errs io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlush)
	defer cancel()
	if err := tr.Shutdown(ctx); err != nil {
		_, _ = fmt.Fprintln(errs, "boragelane: the last spans were not sent:", err)
	}
}

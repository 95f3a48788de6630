package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/boragelane/boragelane/internal/host/lines"
	"github.com/boragelane/boragelane/internal/host/meters"
	"github.com/boragelane/boragelane/internal/host/steer"
	"github.com/boragelane/boragelane/platform"
)

type serveArgs struct {
	Settings string `arg:"positional" help:"file of the platform's settings; by default the one that the environment names"`
}

// logFlush bounds how long the last lines may take at the end.
const logFlush = 100 * time.Millisecond

func (a *serveArgs) run(ctx context.Context, out, _ io.Writer) error {
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
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	if err := host.Run(ctx, hangup); err != nil {
		return ErrFailed.Wrap(err, "serving")
	}
	return nil
}

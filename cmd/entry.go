package cmd

import (
	"context"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/host/config"
	"github.com/boragelane/boragelane/internal/host/entry"
	"github.com/boragelane/boragelane/internal/host/trace"
)

type entryArgs struct {
	Settings string `arg:"positional,required" help:"file of settings, JSON with comments"`
}

func (a *entryArgs) run(ctx context.Context, _, _ io.Writer) error {
	settings, err := config.Load(a.Settings)
	if err != nil {
		return ErrUsage.Wrap(err, "%s", a.Settings)
	}
	log, err := newLogger(settings.LogLevel)
	if err != nil {
		return ErrFailed.Wrap(err, "setting up the log")
	}
	defer func() { _ = log.Sync() }()
	provider, err := trace.Setup(ctx, settings.TraceURL, settings.Seat)
	if err != nil {
		return ErrFailed.Wrap(err, "setting up traces")
	}
	if err := entry.New(settings, time.Now, log, provider).Run(ctx); err != nil {
		return ErrFailed.Wrap(err, "running the entry host")
	}
	return nil
}

// newLogger returns a JSON logger that writes lines of the given level and above.
func newLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	cfg.Level = parsed
	cfg.DisableStacktrace = true
	return cfg.Build()
}

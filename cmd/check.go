package cmd

import (
	"context"
	"fmt"
	"io"
	"path/filepath"

	"github.com/boragelane/boragelane/internal/host/config"
	"github.com/boragelane/boragelane/platform"
)

type checkArgs struct {
	Settings string `arg:"positional,required" help:"file of settings: JSON with comments, or the platform's YAML if it ends in .yaml"`
}

func (a *checkArgs) run(_ context.Context, out, _ io.Writer) error {
	if filepath.Ext(a.Settings) == ".yaml" {
		s, _, err := (&platform.Loader{Path: a.Settings}).Load()
		if err != nil {
			return ErrUsage.Wrap(err, "%s", a.Settings)
		}
		_, _ = fmt.Fprintf(out, "%s: host %s in failure domain %s of region %s: ok\n", a.Settings, s.Host.Name, s.Host.Domain, s.Host.Region)
		return nil
	}
	s, err := config.Load(a.Settings)
	if err != nil {
		return ErrUsage.Wrap(err, "%s", a.Settings)
	}
	_, _ = fmt.Fprintf(out, "%s: seat %s in failure domain %s of region %s: ok\n", a.Settings, s.Seat, s.Domain, s.Region)
	return nil
}

package cmd

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

// Version is the program's version; builds set it with -ldflags "-X …/cmd.Version=v1.2.3".
var Version = "development"

type versionArgs struct{}

func (*versionArgs) run(_ context.Context, out, _ io.Writer) error {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	_, _ = fmt.Fprintf(out, "boragelane %s (%s)\n", Version, goVersion)
	return nil
}

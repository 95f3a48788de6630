// Command standin provides the systems around boragelane for tests: a fake platform, fake upstreams and a load generator.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/boragelane/boragelane/internal/stand/consul"
	"github.com/boragelane/boragelane/internal/stand/loadg"
	"github.com/boragelane/boragelane/internal/stand/upstr"
)

type platformArgs struct {
	Listen string        `default:"127.0.0.1:8500" help:"address"`
	Lag    time.Duration `help:"lag of the list"`
	Reads  float64       `default:"2000" help:"reads a second, 0 for no limit"`
	Writes float64       `default:"400" help:"writes a second, 0 for no limit"`
}

type upstreamArgs struct {
	Listen string        `arg:"required" help:"address"`
	ID     string        `arg:"required" help:"name"`
	Slots  int           `default:"4" help:"jobs at once"`
	Time   time.Duration `default:"5ms" help:"mean time of a job"`
	Cold   int           `default:"20" help:"slow jobs after a start"`
	Log    string        `help:"file for the keys of the jobs that it ran"`
}

type loadArgs struct {
	Config string `arg:"positional,required" help:"file with a run, JSON with durations in nanoseconds"`
	Report string `help:"file for the report as JSON"`
}

type arguments struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"play the platform"`
	Upstream *upstreamArgs `arg:"subcommand:upstream" help:"play an upstream"`
	Load     *loadArgs     `arg:"subcommand:load" help:"play callers"`
	Layout   *layoutArgs   `arg:"subcommand:layout" help:"write the files of the demo"`
	Call     *callArgs     `arg:"subcommand:call" help:"make one HTTP call"`
	Judge    *judgeArgs    `arg:"subcommand:judge" help:"check the demo"`
	Spread   *spreadArgs   `arg:"subcommand:spread" help:"tell from hosts' logs how fast changes came into force"`
	Claims   *claimsArgs   `arg:"subcommand:claims" help:"compare ways to run a job at most once"`
	Report   *reportArgs   `arg:"subcommand:report" help:"draw the figures of the bench's journal"`
	Capacity *capacityArgs `arg:"subcommand:capacity" help:"measure what a system costs as it grows"`
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd, ok := p.Subcommand().(interface{ run(context.Context) error })
	if !ok {
		p.Fail("a command is missing")
	}
	err := cmd.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1) //nolint:gocritic // Nothing is left to be deferred.
	}
}

// serveUntilDone serves until the context ends.
func serveUntilDone(ctx context.Context, s *http.Server) error {
	s.ReadHeaderTimeout = 5 * time.Second
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}

func (a *platformArgs) run(ctx context.Context) error {
	p := consul.New(time.Now)
	p.SetFaults(consul.Faults{ListLag: a.Lag, ReadRate: a.Reads, WriteRate: a.Writes})
	return serveUntilDone(ctx, &http.Server{Addr: a.Listen, Handler: p.Handler()}) //nolint:gosec // serveUntilDone sets the timeout.
}

func (a *upstreamArgs) run(ctx context.Context) error {
	o := upstr.Options{Clock: time.Now, ID: a.ID, Slots: a.Slots, JobTime: a.Time, ColdJobs: a.Cold, Crash: func() { os.Exit(3) }}
	if a.Log != "" {
		f, err := os.OpenFile(a.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		o.Log = f
	}
	u := upstr.New(o)
	return serveUntilDone(ctx, &http.Server{Addr: a.Listen, Handler: u.Handler(), ConnState: u.TrackConn}) //nolint:gosec // serveUntilDone sets the timeout.
}

func (a *loadArgs) run(ctx context.Context) error {
	data, err := os.ReadFile(a.Config)
	if err != nil {
		return err
	}
	var cfg loadg.Config
	if err := json.Unmarshal(data, &cfg); err != nil {
		return fmt.Errorf("%s: %w", a.Config, err)
	}
	report := loadg.New(cfg, time.Now).Run(ctx)
	report.Table(os.Stdout)
	if a.Report == "" {
		return nil
	}
	out, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return os.WriteFile(a.Report, out, 0o600)
}

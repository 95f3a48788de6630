package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/host/config"
	"github.com/boragelane/boragelane/internal/stand/layout"
	"github.com/boragelane/boragelane/internal/stand/loadg"
	"github.com/boragelane/boragelane/internal/stand/sizing"
	"github.com/boragelane/boragelane/internal/stand/upstr"
	"github.com/boragelane/boragelane/internal/stand/verify"
)

// Parameters of the demo.
const (
	demoSubnet      = 77
	demoSlots       = 4
	demoDuration    = 20 * time.Second
	demoMinAnswered = 10_000
)

type (
	layoutArgs struct {
		Dir   string `arg:"positional,required" help:"folder for the files"`
		Scene string `default:"demo" help:"demo, floods, many or full"`
	}
	callArgs struct {
		Method string        `arg:"positional,required" help:"HTTP method"`
		URL    string        `arg:"positional,required" help:"URL"`
		File   string        `help:"file to send"`
		Retry  time.Duration `help:"how long to try again"`
	}
	judgeArgs struct {
		Dir     string `arg:"positional,required" help:"folder of the demo"`
		Drained string `help:"upstream that was drained"`
		At      string `help:"when, as RFC 3339 with fractions"`
		Stopped string `help:"front address of the host that was stopped"`
	}
)

func demoLayout() layout.Layout {
	return layout.Build(layout.Options{
		Subnet: demoSubnet, Regions: []string{"dar", "mwanza"}, Domains: 2, Hosts: 2, Upstreams: 1,
		Slots: demoSlots, Capacity: 200, LinkRate: 35_000_000, LinkDelay: 20 * time.Millisecond,
		Skip: func(domain, service string) bool {
			return service == layout.Catalog && strings.HasPrefix(domain, "dar")
		},
	})
}

func demoConfig(l layout.Layout) loadg.Config {
	cfg := loadg.Config{Duration: demoDuration, Callers: 200, Seed: 1}
	for _, settings := range l.Settings {
		cfg.Fronts = append(cfg.Fronts, settings.Front)
	}
	cfg.Classes = []loadg.Class{
		{Name: "price", Service: layout.Price, Rank: "urgent", Rate: 350, Timeout: time.Second, MaxResends: 2, AnswerSize: 500},
		{Name: "orders", Service: layout.Orders, Rank: "normal", Rate: 120, Timeout: time.Second, Once: true, MaxResends: 3, AnswerSize: 200},
		{Name: "catalog", Service: layout.Catalog, Rank: "bulk", Rate: 200, Timeout: 2 * time.Second, MaxResends: 2, AnswerSize: 4000},
	}
	return cfg
}

// run writes the files of a scene and the list of its processes.
func (a *layoutArgs) run(context.Context) error {
	l, loads, jobTime := demoLayout(), map[string]loadg.Config{}, "5ms"
	switch a.Scene {
	case "demo":
		loads["load.json"] = demoConfig(l)
	case "floods":
		l, jobTime = floodLayout(), floodJobTime.String()
		loads = floodConfigs(l)
	case "many":
		l = manyLayout()
	case "full":
		return writeFile(filepath.Join(a.Dir, "change.json"), firstChange(layout.Layout{Document: sizing.Document(sizing.TwoYearSize)}))
	default:
		return fmt.Errorf("there is no scene %q; allowed: demo, floods, many, full", a.Scene)
	}
	var processes strings.Builder
	fmt.Fprintf(&processes, "platform %s\n", l.Platform)
	for _, upstream := range l.Upstreams {
		fmt.Fprintf(&processes, "upstream %s %s:%d %d %s\n", upstream.ID, upstream.Address, upstream.Port, demoSlots, jobTime)
	}
	for _, settings := range l.Settings {
		fmt.Fprintf(&processes, "entry %s %s %s\n", settings.Seat, settings.Front, settings.Admin)
		if err := os.WriteFile(filepath.Join(a.Dir, settings.Seat+".json"), []byte(settingsText(settings)), 0o600); err != nil {
			return err
		}
	}
	files := map[string]any{"change.json": firstChange(l), "upstreams.json": l.Upstreams}
	for name, cfg := range loads {
		files[name] = cfg
	}
	for name, v := range files {
		if err := writeFile(filepath.Join(a.Dir, name), v); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(a.Dir, "processes"), []byte(processes.String()), 0o600)
}

// settingsText returns a host's settings as JSON with comments, the form that operators write.
func settingsText(s config.Settings) string {
	return fmt.Sprintf("{\n\t// Settings of seat %s, written by the demo.\n\t\"seat\": %q, \"domain\": %q, \"region\": %q,\n"+
		"\t\"front\": %q, \"peer\": %q, \"admin\": %q,\n\t\"platform\": %q,\n\t\"seeds\": [%s],\n\t\"log\": \"info\",\n}\n",
		s.Seat, s.Seat, s.Domain, s.Region, s.Front, s.Peer, s.Admin, s.Platform, `"`+strings.Join(s.Seeds, `", "`)+`"`)
}

// firstChange returns the change that sets the whole document on an empty platform, in the API's form.
func firstChange(l layout.Layout) map[string]any {
	doc := l.Document
	return map[string]any{"expect": 0, "floor": doc.Floor, "ranks": doc.Ranks, "services": apiServices(doc.Services), "regions": doc.Regions, "links": doc.Links}
}

// apiServices returns the services in the API's form, where once has no default and is always written.
func apiServices(list []spec.Service) []map[string]any {
	out := make([]map[string]any, 0, len(list))
	for _, s := range list {
		out = append(out, map[string]any{
			"name": s.Name, "rank": s.Rank, "timeout": s.Timeout, "once": s.Once, "slots": s.Slots, "conns": s.Conns,
		})
	}
	return out
}

func writeFile(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, data, 0o600)
}

// run makes one HTTP call, retries it for the given time, and prints the response body.
func (a *callArgs) run(ctx context.Context) error {
	deadline := time.Now().Add(a.Retry)
	for {
		err := a.callOnce(ctx)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (a *callArgs) callOnce(ctx context.Context) error {
	var body []byte
	if a.File != "" {
		var err error
		if body, err = os.ReadFile(a.File); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, a.URL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", a.Method, a.URL, resp.StatusCode)
	}
	_, err = os.Stdout.ReadFrom(resp.Body)
	return err
}

// run checks the demo's report against the upstreams' logs and prints the result.
func (a *judgeArgs) run(ctx context.Context) error {
	l := demoLayout()
	c := verify.Input{Slots: demoSlots, DrainedUpstream: a.Drained, StoppedFront: a.Stopped, MinAnswered: demoMinAnswered}
	data, err := os.ReadFile(filepath.Join(a.Dir, "report.json"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &c.Report); err != nil {
		return err
	}
	if c.DrainedAt, err = time.Parse(time.RFC3339Nano, a.At); err != nil {
		return err
	}
	for _, upstream := range l.Upstreams {
		var report upstr.Report
		if err := getJSON(ctx, fmt.Sprintf("http://%s:%d/control/report", upstream.Address, upstream.Port), &report); err != nil {
			return err
		}
		c.UpstreamReports = append(c.UpstreamReports, report)
	}
	violations := verify.Violations(c)
	for _, violation := range violations {
		fmt.Println("demo: broken:", violation)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d guarantees violated", len(violations))
	}
	fmt.Println("demo: ok")
	return nil
}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}

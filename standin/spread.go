package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/boragelane/boragelane/internal/stand/layout"
)

// manySubnet is the second octet of the loopback addresses of the system of many hosts.
const manySubnet = 79

// manyLayout returns three failure domains, each as large as one in the two-year plan.
func manyLayout() layout.Layout {
	return layout.Build(layout.Options{
		Subnet: manySubnet, Regions: []string{"dar", "arusha", "mwanza"}, Domains: 1, Hosts: 33, Upstreams: 1,
		Slots: demoSlots, Capacity: 400, LinkRate: 35_000_000, LinkDelay: 20 * time.Millisecond,
	})
}

type spreadArgs struct {
	Dir   string `arg:"positional,required" help:"folder of the hosts' logs"`
	Files string `default:"*.log" help:"which logs"`
}

// event is a line in the log of a host.
type event struct {
	TS       float64 // Seconds since the Unix epoch.
	Msg      string
	Revision uint64
}

func (e event) time() time.Time { return time.UnixMicro(int64(math.Round(e.TS * 1e6))) }

// run prints how long changes took to come into force on all hosts, and how long hosts took from the start of serving to
// their first configuration.
func (a *spreadArgs) run(context.Context) error {
	files, err := filepath.Glob(filepath.Join(a.Dir, a.Files))
	if err != nil {
		return err
	}
	accepted, last, hosts := map[uint64]time.Time{}, map[uint64]time.Time{}, map[uint64]int{}
	var starts []time.Duration
	for _, file := range files {
		servingSince := time.Time{}
		events, err := readEvents(file)
		if err != nil {
			return err
		}
		for _, e := range events {
			switch e.Msg {
			case "accepted a change":
				accepted[e.Revision] = e.time()
			case "serving":
				servingSince = e.time()
			case "configuration in force":
				hosts[e.Revision]++
				if e.time().After(last[e.Revision]) {
					last[e.Revision] = e.time()
				}
				if !servingSince.IsZero() {
					starts = append(starts, e.time().Sub(servingSince))
					servingSince = time.Time{}
				}
			}
		}
	}
	var delays []time.Duration
	minHosts := math.MaxInt
	for rev, at := range accepted {
		delays = append(delays, last[rev].Sub(at))
		minHosts = min(minHosts, hosts[rev])
	}
	printSummary("a change in force on all hosts", delays)
	if len(delays) > 0 {
		fmt.Printf("  on at least %d hosts each\n", minHosts)
	}
	printSummary("a host's first configuration after it began to serve", starts)
	return nil
}

// printSummary prints the median, the 95th percentile and the maximum of a list of durations.
func printSummary(what string, list []time.Duration) {
	if len(list) == 0 {
		return
	}
	slices.Sort(list)
	quantile := func(q float64) time.Duration {
		return list[int(q*float64(len(list)-1))].Round(100 * time.Microsecond)
	}
	fmt.Printf("%s: %d times, median %s, 95%% %s, most %s\n", what, len(list), quantile(0.5), quantile(0.95), quantile(1))
}

// readEvents returns the JSON lines of a log file.
func readEvents(file string) ([]event, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var list []event
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var e event
		if !strings.HasPrefix(lines.Text(), "{") || json.Unmarshal(lines.Bytes(), &e) != nil {
			continue // Not a line of a host's log.
		}
		list = append(list, e)
	}
	return list, lines.Err()
}

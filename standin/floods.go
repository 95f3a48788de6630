package main

import (
	"time"

	"github.com/boragelane/boragelane/internal/stand/layout"
	"github.com/boragelane/boragelane/internal/stand/loadg"
)

// Parameters of the floods, which are runs with overload. Four upstreams with four slots each can run 400 jobs per second
// at 40 ms per job.
const (
	floodSubnet        = 78
	floodJobTime       = 40 * time.Millisecond
	floodCapacity      = 400.0
	floodPhaseDuration = 12 * time.Second
)

func floodLayout() layout.Layout {
	return layout.Build(layout.Options{
		Subnet: floodSubnet, Regions: []string{"perth", "goldfields"}, Domains: 2, Hosts: 2, Upstreams: 1,
		Slots: demoSlots, Capacity: 200, LinkRate: 35_000_000, LinkDelay: 5 * time.Millisecond,
		Skip: func(_, service string) bool { return service != layout.Price },
	})
}

// floodConfigs returns the load of each phase, by file name; all ranks call the same service.
func floodConfigs(l layout.Layout) map[string]loadg.Config {
	base := loadg.Config{Duration: floodPhaseDuration, Callers: 500, Seed: 3}
	for _, settings := range l.Settings {
		base.Fronts = append(base.Fronts, settings.Front)
	}
	phase := func(urgent, normal, bulk float64) loadg.Config {
		cfg := base
		for _, load := range []struct {
			rank     string
			fraction float64
		}{{"urgent", urgent}, {"normal", normal}, {"bulk", bulk}} {
			cfg.Classes = append(cfg.Classes, loadg.Class{
				Name: load.rank, Service: layout.Price, Rank: load.rank, Rate: load.fraction * floodCapacity, Timeout: 2 * time.Second, AnswerSize: 200,
			})
		}
		return cfg
	}
	return map[string]loadg.Config{
		"load-calm.json": phase(0.35, 0.2, 0.15),
		"load-last.json": phase(0.35, 0.2, 5),
		"load-top.json":  phase(5, 0.3, 0.2),
		"load-both.json": phase(3, 0.3, 3),
	}
}

//go:build review3

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Doses of the disruptions, as in the site file.
const (
	idleRoutes   = 6 * 420                 // "big_config", count 420, six times.
	stormChanges = 12                      // "config_storm", for_s 4.0,
	stormGap     = 330 * time.Millisecond  // gap_s 0.33.
	turnedAway   = 5500 * time.Millisecond // "platform_down", how "nodes busy", for_s 9.0 at most, one machine of four (share 0.35 at most).
)

// Bounds of the rule.
const (
	stableWindow = 4 * time.Second
	configApply  = 2500 * time.Millisecond
	maxSkew      = 6 * time.Second
)

// bigConfig returns a version whose first route goes to a service.
func bigConfig(version int, service string) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": prefix, "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400,
			"priority": 1, "service": service, "max_attempts": 2, "sticky": true, "home_regions": []string{},
		}
	}
	routes := []any{route("r-first", "/first/", service)}
	for i := range idleRoutes {
		name := fmt.Sprintf("r-%07d-workshop-%04d", 31*i, i)
		r := route(name, fmt.Sprintf("/idle/%s/", name), "old-svc")
		r["host"] = fmt.Sprintf("w%04d.workshops.foldwing.example", i)
		routes = append(routes, r)
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": []any{configService("old-svc"), configService("new-svc")},
		"limits": configLimits(),
	}
}

// behindCase turns a machine away from the store while configurations come in quick succession.
func behindCase(dir string, trouble bool) int {
	zones := map[string]string{"north-a": "north", "north-b": "north"}
	names := []string{"north-a", "north-b"}
	st := newStore()
	var mu sync.Mutex
	ran := map[string]run{}
	var servers []*server
	for i := range 4 {
		s := newServer(fmt.Sprintf("i-%02d", i), []string{"old-svc", "new-svc"}[i/2], names[i%2], 3, 20*time.Millisecond, func(r run) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.ID] = r
		})
		servers = append(servers, s)
	}
	version := 7
	st.put("op/config", bigConfig(version, "old-svc"))
	go heartbeat(st, servers)
	st.watches = func(machine string, bytes, events int) {
		if bytes > 1<<20 {
			note("the store answers a watch of %s with %d events in %d bytes", machine, events, bytes)
		}
	}
	machines := startMachines(dir, st, names, zones, 4, nil)
	time.Sleep(5 * time.Second)
	reader := machines[0] // The machine that has read the store most often.
	for _, m := range machines {
		if st.watchesOf(m.name) > st.watchesOf(reader.name) {
			reader = m
		}
	}
	if trouble {
		say("the store turns %s away", reader.name)
		st.refuse(reader.name, true)
	}
	away := time.Now()
	time.Sleep(time.Second)
	var acked time.Time
	for i := range stormChanges {
		version += 1 + i%3
		service := "old-svc"
		if i == stormChanges-1 {
			service = "new-svc"
		}
		st.put("op/config", bigConfig(version, service))
		acked = time.Now()
		note("version r%d is acknowledged; r-first goes to %s", version, service)
		time.Sleep(stormGap)
	}
	time.Sleep(time.Until(away.Add(turnedAway)))
	st.refuse(reader.name, false)
	back := time.Now()
	say("the store serves all machines again")
	from := back.Add(stableWindow) // From then on all machines are in touch.
	if t := acked.Add(configApply + maxSkew); t.After(from) {
		from = t
	}
	c := newClient()
	old, all := map[string]int{}, 0
	for time.Since(back) < 20*time.Second {
		for _, m := range machines {
			id, sent := newID(), time.Now()
			code, body := send(context.Background(), c, m.front, "/first/1", id, nil)
			mu.Lock()
			r := ran[id]
			mu.Unlock()
			note("request %s to %s, %.1f s after the last version: %d, run by %s (%s)", id, m.name, sent.Sub(acked).Seconds(), code, r.Service, strings.TrimSpace(body))
			if sent.After(from) {
				all++
				if r.Service == "old-svc" {
					old[m.name]++
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	total := 0
	for name, n := range old {
		total += n
		say("%s had %d requests run by the service of an older version, sent more than %s after the last one's acknowledgement and %s after the end of the disruption", name, n, configApply+maxSkew, stableWindow)
	}
	say("%d of %d requests that count were run as only an older version allows", total, all)
	if total > 0 {
		return broken
	}
	return held
}

//go:build review3

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// The limit of the tenant.
	quotaRate, quotaBurst = 20.0, 20.0
	// Bounds of the rule, as in the site file.
	quotaWindow              = 5 * time.Second
	quotaOverage, quotaSlack = 0.1, 20.0
	// What the tenant sends usually, and while it is hot: "hot_tenant", x 6.9.
	usualRate = 12.5
	hotRate   = 6.9 * usualRate
	hotFor    = 6500 * time.Millisecond
	// "roll_term", share 0.5, x 1, gap_s 1.35.
	rolled  = 2
	rollGap = 1350 * time.Millisecond
	// How long after the tenant became hot the first machine is stopped.
	rollAfter = time.Second
	// How often all of it happens, and the pause in which the tenant has its whole burst again.
	rounds     = 3
	roundPause = 12 * time.Second
	// How long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
)

// quotaCase stops the machines in turn while one tenant sends many times its usual.
func quotaCase(dir string, trouble bool) int {
	zones := map[string]string{"north-a": "north", "north-b": "north"}
	names := []string{"north-a", "north-b"}
	st := newStore()
	var mu sync.Mutex
	var runs []run
	var servers []*server
	for i := range 6 {
		s := newServer(fmt.Sprintf("i-%02d", i), "pickbook", names[i%2], 4, 40*time.Millisecond, func(r run) {
			mu.Lock()
			defer mu.Unlock()
			if r.Tenant == "acme" {
				runs = append(runs, r)
			}
			note("run %s at %s for %s", r.ID, r.Server, r.Tenant)
		})
		servers = append(servers, s)
	}
	st.put("op/config", map[string]any{
		"version": "r3",
		"routes": []any{map[string]any{
			"name": "r1", "host": "shop.example", "prefix": "/o/", "kind": "idempotent", "timeout_ms": 3000, "target_latency_ms": 400,
			"priority": 1, "service": "pickbook", "max_attempts": 2, "sticky": false, "home_regions": []string{},
		}},
		"services": []any{configService("pickbook")},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"k-acme"}, "rate_per_s": quotaRate, "burst": quotaBurst}},
		"limits":   configLimits(),
	})
	go heartbeat(st, servers)
	bounds := []string{"quota_window_s=5", "quota_overage=0.1", "quota_slack=20", "strict_revoke=false", "revoke_ms=5000"}
	machines := startMachines(dir, st, names, zones, 4, bounds)
	ctx, stop := context.WithCancel(context.Background())
	d := &directory{}
	go d.follow(ctx, machines, names[0])
	time.Sleep(2 * time.Second)
	c := newClient()
	statuses := map[int]int{}
	ask := func() {
		id, to := newID(), d.pick()
		code, _ := send(ctx, c, to, "/o/1", id, map[string]string{"X-Api-Key": "k-acme"})
		note("sent %s to %s: answer %d", id, to, code)
		mu.Lock()
		defer mu.Unlock()
		statuses[code]++
	}
	go every(ctx, usualRate, ask)
	time.Sleep(4 * time.Second)
	for range rounds {
		hot, cool := context.WithTimeout(ctx, hotFor)
		say("the tenant sends 6.9 times its usual for %s", hotFor)
		go every(hot, hotRate-usualRate, ask)
		time.Sleep(rollAfter)
		var stops sync.WaitGroup
		for _, m := range machines[:rolled] {
			if trouble {
				say("SIGTERM to %s", m.name)
				stops.Add(1)
				go func() {
					defer stops.Done()
					m.signal(syscall.SIGTERM)
					m.wait()
					time.Sleep(restartDelay)
					m.start()
				}()
			}
			time.Sleep(rollGap)
		}
		<-hot.Done()
		cool()
		stops.Wait()
		time.Sleep(roundPause)
	}
	stop()
	mu.Lock()
	defer mu.Unlock()
	say("answers by status: %v", statuses)
	return judgeQuota(runs)
}

// judgeQuota compares the fullest window with the limit.
func judgeQuota(runs []run) int {
	slices.SortFunc(runs, func(a, b run) int { return a.At.Compare(b.At) })
	most, at, first := 0, time.Time{}, 0
	for i := range runs {
		for runs[i].At.Sub(runs[first].At) >= quotaWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, runs[first].At
		}
	}
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	say("at most %d requests of the tenant ran in %s, from %.2f s on; the rule allows %.0f", most, quotaWindow, at.Sub(began).Seconds(), limit)
	if float64(most) > limit {
		return broken
	}
	return held
}

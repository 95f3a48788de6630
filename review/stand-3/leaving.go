//go:build review3

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// drainTime is drain_ms.
	drainTime = 2500 * time.Millisecond
	// "platform_lost", how "late": a write is done 1 to 6 s later. The last report of the server was sent just before it began to leave.
	lateBy = 4 * time.Second
	// How long after that a new server takes its place.
	replacedAfter = 1500 * time.Millisecond
	workTime      = 200 * time.Millisecond
	// How long the server serves on after its entry was removed: drain_ms and many seconds.
	servesOn = 9 * time.Second
)

// leavingCase has a server leave whose last report reaches the store late.
func leavingCase(dir string, trouble bool) int {
	zones := map[string]string{"north-a": "north", "north-b": "north"}
	names := []string{"north-a", "north-b"}
	st := newStore()
	var mu sync.Mutex
	ranAt := map[string]run{}
	onRun := func(r run) {
		mu.Lock()
		defer mu.Unlock()
		ranAt[r.ID] = r
		note("run %s at %s", r.ID, r.Server)
	}
	var servers []*server
	for i := range 6 {
		servers = append(servers, newServer(fmt.Sprintf("i-%02d", i), "catalog", names[i%2], 6, workTime, onRun))
	}
	st.put("op/config", map[string]any{
		"version": "r3",
		"routes": []any{map[string]any{
			"name": "r1", "host": "shop.example", "prefix": "/p/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400,
			"priority": 1, "service": "catalog", "max_attempts": 2, "sticky": false, "home_regions": []string{},
		}},
		"services": []any{configService("catalog")}, "limits": configLimits(),
	})
	go heartbeat(st, servers)
	machines := startMachines(dir, st, names, zones, 2, nil)
	ctx, stop := context.WithCancel(context.Background())
	time.Sleep(2 * time.Second)
	c := newClient()
	type attempt struct {
		id, machine string
		sent        time.Time
	}
	var attempts []attempt
	askedAt := map[string]string{}     // The machine that an attempt was sent to.
	passedOn := map[string]time.Time{} // When a machine first passed on an answer that said so.
	ask := func() {
		m := machines[rand.IntN(len(machines))]
		a := attempt{id: newID(), machine: m.name, sent: time.Now()}
		mu.Lock()
		askedAt[a.id] = m.name
		mu.Unlock()
		code, body, header := exchange(ctx, c, m.front, "/p/"+a.id, a.id, nil)
		leaving := header.Get("Server-Leaving") == "1"
		note("sent %s to %s: answer %d %q, leaving %v", a.id, m.name, code, body, leaving)
		mu.Lock()
		defer mu.Unlock()
		attempts = append(attempts, a)
		if _, known := passedOn[m.name]; leaving && !known {
			passedOn[m.name] = time.Now()
		}
	}
	go every(ctx, 130, ask)
	time.Sleep(4 * time.Second)
	// A server that is at work for both machines, so that both hear it.
	var s *server
	for s == nil {
		time.Sleep(2 * time.Millisecond)
		mu.Lock()
		working := map[string]map[string]bool{}
		for id, r := range ranAt {
			if age := time.Since(r.At); age > 20*time.Millisecond && age < workTime-50*time.Millisecond {
				if working[r.Server] == nil {
					working[r.Server] = map[string]bool{}
				}
				working[r.Server][askedAt[id]] = true
			}
		}
		mu.Unlock()
		for _, candidate := range servers {
			if len(working[candidate.id]) == len(machines) {
				s = candidate
			}
		}
	}
	key, report, _ := s.entry() // On its way to the store.
	s.leave()
	say("server %s leaves and says so in all its answers; its entry is removed, and it serves on for %s", s.id, servesOn)
	st.remove(key)
	time.Sleep(replacedAfter)
	successor := newServer("i-06", "catalog", s.zone, 6, workTime, onRun)
	say("server i-06 takes its place")
	go heartbeat(st, []*server{successor})
	time.Sleep(lateBy - replacedAfter)
	if trouble {
		say("the report that %s sent just before reaches the store, %s late", s.id, lateBy)
		st.put(key, report)
	}
	time.Sleep(servesOn - lateBy)
	s.crash()
	st.remove(key)
	say("server %s has ended", s.id)
	time.Sleep(2 * time.Second)
	stop()
	mu.Lock()
	defer mu.Unlock()
	late, heard := 0, 0
	for _, m := range machines {
		if at, ok := passedOn[m.name]; ok {
			heard++
			say("%s first passed on an answer with Server-Leaving at %.3f s", m.name, at.Sub(began).Seconds())
		}
	}
	for _, a := range attempts {
		at, known := passedOn[a.machine]
		if r, ok := ranAt[a.id]; known && ok && r.Server == s.id && a.sent.Sub(at) > drainTime {
			late++
			note("late: %s was sent to %s %.3f s after that machine had passed on Server-Leaving, and ran at %s", a.id, a.machine, a.sent.Sub(at).Seconds(), s.id)
		}
	}
	say("%d requests, sent more than %s after their machine had passed on Server-Leaving of %s, reached that server", late, drainTime, s.id)
	switch {
	case heard == 0:
		fail("no machine passed on an answer with Server-Leaving")
	case late > 0:
		return broken
	}
	return held
}

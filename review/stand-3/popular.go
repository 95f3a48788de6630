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
	// "srv_crash", count 1 (of 8 servers, a share of 0.125), for_s 4.5; twice.
	crashFor    = 4500 * time.Millisecond
	crashServer = 8
	crashGap    = 8 * time.Second
	// How long the day goes on after the second crash.
	popularTail = 60 * time.Second
)

// popularCase crashes two servers, one after the other. All requests of one kind ask for one object, such as a board that all look at.
func popularCase(dir string, trouble bool) int {
	zones := map[string]string{"north-a": "north", "north-b": "north"}
	names := []string{"north-a", "north-b"}
	st := newStore()
	var mu sync.Mutex
	lastBoard := map[string]time.Time{}
	onRun := func(r run) {
		mu.Lock()
		defer mu.Unlock()
		if r.Path == "/board/today" {
			lastBoard[r.Server] = r.At
		}
		note("run %s %s at %s", r.ID, r.Path, r.Server)
	}
	var servers []*server
	for i := range crashServer {
		servers = append(servers, newServer(fmt.Sprintf("i-%02d", i), "scoreboard", names[i%2], 3, 150*time.Millisecond, onRun))
	}
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": prefix, "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 250,
			"priority": 0, "service": "scoreboard", "max_attempts": 2, "sticky": true, "home_regions": []string{},
		}
	}
	st.put("op/config", map[string]any{
		"version": "r3", "routes": []any{route("r-board", "/board/"), route("r-pages", "/pages/")},
		"services": []any{configService("scoreboard")}, "limits": configLimits(),
	})
	go heartbeat(st, servers)
	machines := startMachines(dir, st, names, zones, 4, nil)
	ctx, stop := context.WithCancel(context.Background())
	d := &directory{}
	go d.follow(ctx, machines, names[0])
	time.Sleep(2 * time.Second)
	c := newClient()
	type count struct{ sent, served, refused int }
	total := map[string]*count{"board": {}, "pages": {}}
	ask := func(kind, path, object string) {
		id, to := newID(), d.pick()
		code, body := send(ctx, c, to, path, id, map[string]string{"Cookie": "X-Boragelane-Affinity-Key=" + object})
		if ctx.Err() != nil {
			return
		}
		note("sent %s %s to %s: answer %d %.60q", id, path, to, code, body)
		mu.Lock()
		defer mu.Unlock()
		n := total[kind]
		n.sent++
		switch code {
		case 200:
			n.served++
		case 503:
			n.refused++
		}
	}
	go every(ctx, 15, func() { ask("board", "/board/today", "board") })
	go every(ctx, 60, func() {
		object := fmt.Sprint(rand.IntN(200))
		ask("pages", "/pages/"+object, object)
	})
	time.Sleep(4 * time.Second)
	for i := range 2 {
		mu.Lock()
		victim := servers[0]
		for _, s := range servers {
			if lastBoard[s.id].After(lastBoard[victim.id]) {
				victim = s
			}
		}
		mu.Unlock()
		if trouble {
			key, _, _ := victim.entry()
			say("server %s crashes", victim.id)
			victim.crash()
			go func() {
				time.Sleep(crashFor)
				st.remove(key)
				victim.restart(victim.id + "-b")
				say("its successor %s starts at the same address", victim.id)
			}()
		}
		if i == 0 {
			time.Sleep(crashGap)
		}
	}
	time.Sleep(popularTail)
	stop()
	mu.Lock()
	defer mu.Unlock()
	all := count{}
	for kind, n := range total {
		say("%s: %d of %d requests served, %d refused with 503", kind, n.served, n.sent, n.refused)
		all.sent, all.served = all.sent+n.sent, all.served+n.served
	}
	board := float64(total["board"].served) / float64(max(1, total["board"].sent))
	quarter := float64(all.served) / float64(max(1, all.sent)) / 4
	say("share served of the board's requests: %.3f; a quarter of that of all requests: %.3f", board, quarter)
	if board < quarter {
		return broken
	}
	return held
}

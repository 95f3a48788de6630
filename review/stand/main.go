// Command stand plays the cases of the review: the platform's store, backends and clients, around real processes of the system.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cannot is what fail panics with.
type cannot string

func fail(format string, args ...any) { panic(cannot(fmt.Sprintf(format, args...))) }

// bench is what a case works with.
type bench struct {
	record  *record
	store   *store
	site    *site
	trouble bool
	net     string // The first three bytes of the addresses of this run.
}

func (b *bench) ip(n int) string { return fmt.Sprintf("%s.%d", b.net, n) }

var cases = map[string]func(b *bench) bool{}

// limit ends a run that takes too long.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) (code int) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	defer func() {
		if v := recover(); v != nil {
			msg, ok := v.(cannot)
			if !ok {
				panic(v)
			}
			fmt.Fprintln(os.Stderr, "the case couldn't run:", msg)
			code = exitCannot
		}
	}()
	b.record = newRecord(path)
	b.store = newStore(b.ip(250))
	b.site = &site{dir: dir, store: b.store, graceS: 6, memoryMB: 284, record: b.record, zones: map[string]string{}}
	defer b.site.killAll()
	timer := time.AfterFunc(limit, func() {
		b.record.note("the run took too long")
		b.site.killAll()
		os.Exit(exitCannot)
	})
	defer timer.Stop()
	interrupt := make(chan os.Signal, 1)
	signal.Notify(interrupt, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupt
		b.site.killAll()
		os.Exit(exitCannot)
	}()
	b.record.note("case %s, disruption: %v", name, b.trouble)
	broken := cases[name](b)
	b.record.summary()
	if broken {
		b.record.note("result: the rule was broken")
		return exitBroken
	}
	b.record.note("result: the rule held")
	return exitHeld
}

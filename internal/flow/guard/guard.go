package guard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Rules of quarantine.
const (
	// Window is how long a crash counts.
	Window = 5 * time.Minute
	// Limit is how many upstreams a job may crash within the window.
	Limit = 2
	// massGap is how close in time crashes are taken for one event.
	massGap = 2 * time.Second
	// massOthers is how many other upstreams crash in an event that is not the job's doing.
	massOthers = 2
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 2_000
)

// Crash is the loss of an upstream while it ran a job.
type Crash struct {
	Digest   uint64
	Upstream string
	At       time.Time
}

// Teller tells other hosts of a crash, and returns when they know or the time for it is over.
type Teller interface {
	Tell(now time.Time, c Crash)
}

// Table remembers crashes.
type Table struct {
	mu      sync.Mutex
	crashes []Crash
}

// Add remembers a crash unless it is known.
func (t *Table) Add(c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.ContainsFunc(t.crashes, func(o Crash) bool { return o.Digest == c.Digest && o.Upstream == c.Upstream }) {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(o Crash) bool { return c.At.Sub(o.At) > Window })
	if len(t.crashes) >= maxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, c)
}

// Quarantined tells whether a job has crashed as many upstreams as it may.
func (t *Table) Quarantined(digest uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.crashes {
		if c.Digest == digest && now.Sub(c.At) <= Window && !t.mass(c) {
			n++
		}
	}
	return n >= Limit
}

// mass tells whether a crash is part of an event that took upstreams the job did not run on.
func (t *Table) mass(c Crash) bool {
	own := map[string]bool{}
	for _, o := range t.crashes {
		if o.Digest == c.Digest {
			own[o.Upstream] = true
		}
	}
	others := map[string]bool{}
	for _, o := range t.crashes {
		if gap := o.At.Sub(c.At).Abs(); gap <= massGap && !own[o.Upstream] {
			others[o.Upstream] = true
		}
	}
	return len(others) >= massOthers
}

// Pipe refuses jobs in quarantine.
type Pipe struct {
	Table  *Table
	Teller Teller
}

// String names the filter.
func (Pipe) String() string { return "guard" }

// Run refuses a job that has crashed as many upstreams as it may.
func (p Pipe) Run(_ context.Context, now time.Time, job *pipe.Job) {
	if p.Table.Quarantined(job.Digest, now) {
		job.Refuse(pipe.Quarantined, "upstreams crashed while they ran this job; it is refused for a while")
	}
}

// Finish notes the crashes and tells the other hosts before the caller can send the job again.
func (p Pipe) Finish(now time.Time, job *pipe.Job) {
	upstreams := job.Crashes
	if job.Crashed {
		upstreams = append(slices.Clone(upstreams), job.Upstream.ID)
	}
	for _, u := range upstreams {
		c := Crash{Digest: job.Digest, Upstream: u, At: now}
		p.Table.Add(c)
		p.Teller.Tell(now, c)
	}
}

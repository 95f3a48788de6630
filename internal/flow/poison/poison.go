package poison

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Parameters of the quarantine.
const (
	// CrashWindow is how long a crash counts against a job.
	CrashWindow = 5 * time.Minute
	// CrashLimit is the number of upstreams that a job must have crashed within CrashWindow to be quarantined.
	CrashLimit = 2
	// RepeatLimit is the number of upstreams that a job must have crashed in more than one event, without an answer in between, to be
	// quarantined although other upstreams crashed at the same times. Jobs that crash upstreams together look like a mass crash.
	RepeatLimit = 3
	// massCrashGap is the time between two crashes up to which they count as one event.
	massCrashGap = 2 * time.Second
	// massCrashMinOthers is the number of upstreams that crashed in the same event, but never while they ran the
	// job, from which the event is a mass crash. A single mass crash does not count against the job.
	massCrashMinOthers = 2
	// maxCrashes is the maximum number of remembered crashes.
	maxCrashes = 2_000
)

// Crash is the loss of an upstream while it ran a job.
type Crash struct {
	Digest   uint64
	Upstream string
	Born     int64 // Identifies the upstream's incarnation; 0 if the report doesn't name it.
	At       time.Time

	refuted bool // An upstream has answered the job since.
}

// incarnation identifies an upstream from one start to the next.
type incarnation struct {
	id   string
	born int64
}

func (c *Crash) incarnation() incarnation { return incarnation{id: c.Upstream, born: c.Born} }

// Notifier reports a crash to other hosts. It may wait until they know of it, or only queue the report.
type Notifier interface {
	NotifyCrash(now time.Time, c Crash)
}

// Table stores recent crashes.
type Table struct {
	mu      sync.Mutex
	crashes []Crash
}

// Add stores a crash unless it is already known, and drops those that are outside the window.
func (t *Table) Add(c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.ContainsFunc(t.crashes, func(o Crash) bool { return o.Digest == c.Digest && o.incarnation() == c.incarnation() }) {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(o Crash) bool { return c.At.Sub(o.At) > CrashWindow })
	if len(t.crashes) >= maxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, c)
}

// RecordAnswer notes that an upstream has answered a job. Its crashes in mass crashes so far no longer count against it.
func (t *Table) RecordAnswer(digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.crashes {
		if t.crashes[i].Digest == digest {
			t.crashes[i].refuted = true
		}
	}
}

// Quarantined reports whether a job has crashed, within CrashWindow, CrashLimit upstreams outside mass crashes, or RepeatLimit
// upstreams in more than one event without an answer in between.
func (t *Table) Quarantined(digest uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.crashedBy(digest)
	if len(own) < CrashLimit {
		return false
	}
	alone, repeated := 0, 0
	var first, last time.Time
	for _, c := range t.crashes {
		if c.Digest != digest || !own[c.incarnation()] || now.Sub(c.At) > CrashWindow {
			continue
		}
		if !t.isMassCrash(c, own) {
			alone++
		}
		if c.refuted {
			continue
		}
		if repeated == 0 || c.At.Before(first) {
			first = c.At
		}
		if repeated == 0 || c.At.After(last) {
			last = c.At
		}
		repeated++
	}
	return alone >= CrashLimit || repeated >= RepeatLimit && last.Sub(first) > massCrashGap
}

// crashedBy returns the incarnations that a job has crashed. A report that names none counts only if no other names the upstream, since it
// may tell of the same crash.
func (t *Table) crashedBy(digest uint64) map[incarnation]bool {
	own, named := map[incarnation]bool{}, map[string]bool{}
	for i := range t.crashes {
		if c := &t.crashes[i]; c.Digest == digest {
			own[c.incarnation()] = true
			named[c.Upstream] = named[c.Upstream] || c.Born != 0
		}
	}
	for id, ok := range named {
		if ok {
			delete(own, incarnation{id: id})
		}
	}
	return own
}

// isMassCrash reports whether a crash is part of an event in which massCrashMinOthers upstreams crashed that are not among
// the job's own.
func (t *Table) isMassCrash(c Crash, own map[incarnation]bool) bool {
	ownIDs := map[string]bool{}
	for i := range own {
		ownIDs[i.id] = true
	}
	others := map[string]bool{}
	for _, o := range t.crashes {
		isOwn := own[o.incarnation()] || o.Born == 0 && ownIDs[o.Upstream]
		if gap := o.At.Sub(c.At).Abs(); gap <= massCrashGap && !isOwn {
			if others[o.Upstream] = true; len(others) >= massCrashMinOthers {
				return true
			}
		}
	}
	return false
}

// Filter refuses jobs in quarantine.
type Filter struct {
	Table    *Table
	Notifier Notifier
}

// String returns the filter's name.
func (Filter) String() string { return "guard" }

// Run refuses a job that is in quarantine.
func (f Filter) Run(_ context.Context, now time.Time, job *pipe.Job) {
	if f.Table.Quarantined(job.Digest, now) {
		job.Refuse(pipe.Quarantined, "upstreams crashed while they ran this job; it is refused for a while")
	}
}

// Finish records the crashes and passes them to the notifier, before the caller gets the outcome and can retry. It also records
// the upstream's answer.
func (f Filter) Finish(now time.Time, job *pipe.Job) {
	upstreams := job.CrashedUpstreams
	if job.Crashed {
		upstreams = append(slices.Clone(upstreams), job.Upstream)
	}
	for _, u := range upstreams {
		c := Crash{Digest: job.Digest, Upstream: u.ID, Born: u.Born, At: now}
		f.Table.Add(c)
		f.Notifier.NotifyCrash(now, c)
	}
	if job.Outcome.Kind == pipe.Answered && !job.Crashed {
		f.Table.RecordAnswer(job.Digest)
	}
}

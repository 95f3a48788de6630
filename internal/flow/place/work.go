package place

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// objectsKept is how many objects an upstream is taken to remember of those that this host sent.
	objectsKept = 20
	// workWeight is the weight of the newest sample in a service's means.
	workWeight = 0.05
	// workStart is the work of a request before any was seen.
	workStart = 100 * time.Millisecond
	// ratioLeast and ratioMost bound how much faster or slower than its service an upstream is taken to be.
	ratioLeast = 0.5
	ratioMost  = 20
)

// work is what the requests of one service take, by whether the upstream remembers their object.
type work struct {
	known, fresh time.Duration
	all          time.Duration
}

// mean returns the work of a request, whatever its object.
func (w *work) mean() time.Duration {
	if w.all > 0 {
		return w.all
	}
	return workStart
}

// expect returns the work of a request.
func (w *work) expect(known bool) time.Duration {
	switch {
	case known && w.known > 0:
		return w.known
	case w.fresh > 0:
		return w.fresh
	case w.known > 0:
		return w.known
	}
	return workStart
}

// learn takes in the time of a request that did not wait at its upstream.
func (w *work) learn(known bool, took time.Duration) {
	mean := &w.fresh
	if known {
		mean = &w.known
	}
	for _, m := range []*time.Duration{mean, &w.all} {
		if *m == 0 {
			*m = took
		}
		*m += time.Duration(workWeight * float64(took-*m))
	}
}

// memory is the hashes of the objects that an upstream was last sent, the newest last.
type memory []uint64

func (m memory) holds(object uint64) bool { return object != 0 && slices.Contains(m, object) }

// add notes an object, and forgets the oldest.
func (m memory) add(object uint64) memory {
	if object == 0 {
		return m
	}
	if at := slices.Index(m, object); at >= 0 {
		m = slices.Delete(m, at, at+1)
	}
	if len(m) >= objectsKept {
		m = slices.Delete(m, 0, 1)
	}
	return append(m, object)
}

// rtts is the round trip from one failure domain to another.
type rtts map[[2]string]time.Duration

// Round trips before any connection was opened, by tier.
var rttStart = [...]time.Duration{Near: time.Millisecond, Region: 3 * time.Millisecond, Far: 60 * time.Millisecond}

// detour is added to a round trip for the bytes that cross failure domains and regions, which are priced.
var detour = [...]time.Duration{Near: 0, Region: 25 * time.Millisecond, Far: 40 * time.Millisecond}

func (r rtts) expect(from *roster.Host, u *roster.Upstream) time.Duration {
	if d, ok := r[[2]string{from.Domain, u.Domain}]; ok {
		return d
	}
	return rttStart[tierOf(from, u)]
}

// learn takes in the time that a connection took to open.
func (r rtts) learn(from, to string, took time.Duration) {
	if took <= 0 {
		return
	}
	key := [2]string{from, to}
	if old, ok := r[key]; ok {
		took = old + time.Duration(sampleWeight*float64(took-old))
	}
	r[key] = took
}

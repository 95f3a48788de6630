package place

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// objectsMost is how many objects are noted of those that an upstream was sent.
	objectsMost = 64
	// keptStart is how many objects an upstream is taken to remember before any of its answers tell.
	keptStart = 16
	// keptWeight is the weight of an answer that tells otherwise.
	keptWeight = 0.05
	// workWeight is the weight of the newest sample in a service's means.
	workWeight = 0.05
	// workStart is the work of a request before any was seen, if it has no objective.
	workStart = 100 * time.Millisecond
	// knownPart is the part of a fresh object's work that a known one is taken to need before any was seen: less than
	// all, so that a burst for one object does not spread it over all upstreams before the first answer comes.
	knownPart = 0.5
	// ownerPart is the chance that an object's owner, the first upstream in rendezvous order, remembers it though this
	// table sent it no job: another host may have placed jobs before.
	ownerPart = 0.25
	// ratioLeast and ratioMost bound how much faster or slower than its service an upstream is taken to be.
	ratioLeast = 0.5
	ratioMost  = 20
)

// work is what the requests of one service take, by whether the upstream remembers their object.
type work struct {
	known, fresh time.Duration
	all          time.Duration
	start        time.Duration // Taken for the work of a fresh object before any was seen.
	kept         float64       // How many objects an upstream seems to remember.
}

// remembers tells whether an upstream is thought to remember an object.
func (w *work) remembers(m memory, object uint64) bool {
	depth, ok := m.depth(object)
	return ok && float64(depth) < w.kept
}

// guess returns how much less than a fresh object's work an object is taken to need at its owner.
func (w *work) guess(m memory, object uint64) time.Duration {
	if _, sent := m.depth(object); sent {
		return 0 // It is known what to expect.
	}
	return time.Duration(ownerPart * float64(w.expect(false)-w.expect(true)))
}

// correct moves the number of objects that are remembered if an answer took the time of the other kind.
func (w *work) correct(depth int, took time.Duration) {
	if w.known == 0 || w.fresh < 2*w.known {
		return
	}
	was := took < (w.known+w.fresh)/2
	if thought := float64(depth) < w.kept; was != thought {
		w.kept += keptWeight * (float64(depth) - w.kept)
	}
}

// mean returns the work of a request, whatever its object.
func (w *work) mean() time.Duration {
	if w.all > 0 {
		return w.all
	}
	return w.start
}

// expect returns the work of a request.
func (w *work) expect(known bool) time.Duration {
	fresh := w.start
	switch {
	case known && w.known > 0:
		return w.known
	case w.fresh > 0:
		fresh = w.fresh
	case w.known > 0:
		return w.known
	}
	if known {
		return time.Duration(knownPart * float64(fresh))
	}
	return fresh
}

// seen tells whether a request of one kind has been seen.
func (w *work) seen(known bool) bool { return known && w.known > 0 || !known && w.fresh > 0 }

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

// depth returns how many other objects an upstream was sent since an object, or false if that is too long ago.
func (m memory) depth(object uint64) (int, bool) {
	if object == 0 {
		return 0, false
	}
	at := slices.Index(m, object)
	return len(m) - 1 - at, at >= 0
}

// add notes an object, and forgets the oldest.
func (m memory) add(object uint64) memory {
	if object == 0 {
		return m
	}
	if at := slices.Index(m, object); at >= 0 {
		m = slices.Delete(m, at, at+1)
	}
	if len(m) >= objectsMost {
		m = slices.Delete(m, 0, 1)
	}
	return append(m, object)
}

// rtts is the round trip from one failure domain to another.
type rtts map[[2]string]time.Duration

// Round trips before any connection was opened, by tier.
var rttStart = [...]time.Duration{Near: time.Millisecond, Region: 3 * time.Millisecond, Far: 60 * time.Millisecond}

// crossing is added to a round trip for the bytes that cross failure domains and regions, which are priced.
var crossing = [...]time.Duration{Near: 0, Region: 25 * time.Millisecond, Far: 40 * time.Millisecond}

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

package watch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// probeAge is the age of its state at which a host probes the sources that it waits for. The reader's next news are then overdue,
	// also if nothing changes and the store is in a distant region.
	probeAge = 850 * time.Millisecond
	// fleetReadAge is the age of its state at which a host that follows a reader of the store stops waiting and reads the store itself.
	fleetReadAge = 1100 * time.Millisecond
	// domainReadAge is the same for a host that follows one of its failure domain, which reads the store before.
	domainReadAge = 1200 * time.Millisecond
	// answerTime is the time that a source has in any case: more than a round trip between distant regions.
	answerTime = 150 * time.Millisecond
	// probeTimeout bounds a probe, on top of the time for which it waits for news. It is longer than a brief scheduling pause of the
	// other host, and than a connection and a call to a distant region.
	probeTimeout = 300 * time.Millisecond
	// suspectWait is how long a probe waits for recent news at a source that had none.
	suspectWait = time.Second
	// probeBuffer is the number of results that can queue while this host reads the store. A source has one probe at a time.
	probeBuffer = 2 * maxReaders
)

// health is what a host knows of one of its sources.
type health struct {
	Suspect  bool // It was silent or had no recent news. It is not followed until a probe shows that it has some.
	Probing  bool
	ProbedAt time.Time // Beginning of the last probe.
	SyncedAt time.Time // When the store sent the state that the last probe found.
}

// peerAnswer is the result of a request for changes.
type peerAnswer struct {
	Updates  Updates
	Lateness time.Duration // See lateness.
	Err      error
}

// probeResult is the result of a probe.
type probeResult struct {
	Source source
	Age    time.Duration
	Err    error
}

// pollPeers requests changes from the hosts that should have them; it returns false if this host should read the store
// itself.
func (r *Reader) pollPeers(ctx context.Context, v *roster.View) bool {
	var sources []source
	sources, r.designated = sourcesOf(v)
	r.pruneSources(sources)
	r.collectProbes()
	var sound []source
	for _, src := range sources {
		if r.healthOf(src).Suspect {
			r.probe(ctx, src, suspectWait)
			continue
		}
		sound = append(sound, src)
	}
	if len(sound) == 0 {
		return false
	}
	src := sound[0]
	patience := src.readAge - r.stateAge()
	if patience < answerTime {
		patience, src.wait = answerTime, 0 // This host reads the store unless the source has news now.
	}
	return r.request(ctx, src, sound[1:], patience) || r.search(ctx, sound[1:])
}

// request requests changes from a source and passes them on; it returns false if the source is silent or has no recent ones. When the
// answer is overdue, the source and the others are probed: one that is merely busy shows so, and otherwise it is known who has news. Unless
// its answer is coming, the source is given up after the given time.
func (r *Reader) request(ctx context.Context, src source, others []source, patience time.Duration) bool {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan peerAnswer, 1)
	q, asked := r.query(src.wait), r.Clock()
	go func() {
		updates, err := r.Peers.Updates(askCtx, src.host, q)
		answers <- peerAnswer{Updates: updates, Lateness: lateness(r.Clock().Sub(asked), q.Wait), Err: err}
	}()
	overdue := time.NewTimer(max(answerTime, probeAge-q.Age))
	defer overdue.Stop()
	giveUp := time.NewTimer(patience)
	defer giveUp.Stop()
	alive, coming := false, false // The source answers probes; it is sending its answer, or has more recent news than this host.
	expired := false
	for {
		select {
		case a := <-answers:
			return r.take(ctx, src, a)
		case <-overdue.C:
			r.probe(ctx, src, 0)
			for _, other := range others {
				r.probe(ctx, other, 0)
			}
		case p := <-r.probed:
			r.noteProbe(p)
			if p.Source.host.Name != src.host.Name {
				continue
			}
			if p.Err != nil {
				return false
			}
			alive, coming = true, p.Age == UnknownAge || r.hasNews(src)
		case <-giveUp.C:
			expired = true
		}
		if expired && !coming && !r.probeEnds(src) {
			h := r.healthOf(src)
			h.Suspect = h.Suspect || !alive
			return false
		}
	}
}

// lateness returns how old an answer is at least that took the given time, although it was to wait for no longer than wait. An answer waits
// in its connection while this process stands still.
func lateness(took, wait time.Duration) time.Duration { return max(0, took-wait-answerTime) }

// probeEnds reports whether a probe of a source will end soon, which tells a busy one from a silent one.
func (r *Reader) probeEnds(src source) bool {
	h := r.healthOf(src)
	return h.Probing && r.Clock().Sub(h.ProbedAt) >= answerTime
}

// take passes on the changes of an answer if they are recent, and notes whether the source can be followed. It returns false if this host's
// state is too old all the same.
func (r *Reader) take(ctx context.Context, src source, a peerAnswer) bool {
	h := r.healthOf(src)
	b := &a.Updates.Batch
	h.Suspect = a.Err != nil || a.Updates.Age > src.maxAge || r.revision == 0 && !b.Snapshot || isOlderEra(b.Era, r.era)
	if h.Suspect {
		return false
	}
	a.Updates.Age += a.Lateness // A large answer may be late; its content counts all the same.
	r.forward(ctx, src.host.Name, a.Updates)
	return r.stateAge() < src.readAge
}

// search requests changes from sources that a probe shows to have more recent ones than this host; it returns false if it gets none within
// answerTime.
func (r *Reader) search(ctx context.Context, sources []source) bool {
	began := r.Clock()
	for _, src := range sources {
		if h := r.healthOf(src); !h.Suspect && began.Sub(h.ProbedAt) > 2*probeTimeout {
			r.probe(ctx, src, 0)
		}
	}
	ended := time.NewTimer(answerTime)
	defer ended.Stop()
	for {
		for i, src := range sources {
			if !r.hasNews(src) {
				continue
			}
			src.wait = 0
			if r.request(ctx, src, sources[i+1:], began.Add(answerTime).Sub(r.Clock())) {
				return true
			}
			r.healthOf(src).SyncedAt = time.Time{}
		}
		if !slices.ContainsFunc(sources, func(src source) bool { return r.healthOf(src).Probing }) {
			return false
		}
		select {
		case p := <-r.probed:
			r.noteProbe(p)
		case <-ended.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// hasNews reports whether the last probe of a source found more recent news than this host has.
func (r *Reader) hasNews(src source) bool {
	h := r.healthOf(src)
	return !h.Suspect && !h.Probing && h.SyncedAt.After(r.syncedAt.Add(answerTime))
}

// probe starts a probe of a source unless one is in progress. The result is sent to r.probed.
func (r *Reader) probe(ctx context.Context, src source, wait time.Duration) {
	h := r.healthOf(src)
	if h.Probing {
		return
	}
	began := r.Clock()
	h.Probing, h.ProbedAt = true, began
	go func() {
		probeCtx, cancel := context.WithTimeout(ctx, wait+probeTimeout)
		defer cancel()
		age, err := r.Peers.Probe(probeCtx, src.host, src.maxAge, wait)
		age = min(age+lateness(r.Clock().Sub(began), wait), UnknownAge)
		select {
		case r.probed <- probeResult{Source: src, Age: age, Err: err}:
		case <-ctx.Done():
		}
	}()
}

// noteProbe notes the result of a probe.
func (r *Reader) noteProbe(p probeResult) {
	h := r.healthOf(p.Source)
	h.Probing, h.SyncedAt = false, r.Clock().Add(-p.Age)
	h.Suspect = p.Err != nil || p.Age > p.Source.maxAge
}

// collectProbes notes the results of probes that ended since the last request.
func (r *Reader) collectProbes() {
	for {
		select {
		case p := <-r.probed:
			r.noteProbe(p)
		default:
			return
		}
	}
}

// healthOf returns what is known of a source.
func (r *Reader) healthOf(src source) *health {
	h := r.sources[src.host.Name]
	if h == nil {
		h = &health{}
		r.sources[src.host.Name] = h
	}
	return h
}

// pruneSources forgets hosts that are no longer sources.
func (r *Reader) pruneSources(sources []source) {
	maps.DeleteFunc(r.sources, func(name string, _ *health) bool {
		return !slices.ContainsFunc(sources, func(s source) bool { return s.host.Name == name })
	})
}

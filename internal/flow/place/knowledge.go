package place

import (
	"time"
)

// Knowledge is what a placing host has learned of one service's upstreams. The host that would place next keeps a copy, since
// without it a takeover spends seconds of all slots on objects that are cached elsewhere.
type Knowledge struct {
	Hit       time.Duration
	Miss      time.Duration
	All       time.Duration
	CacheSize float64
	Upstreams []UpstreamKnowledge
}

// UpstreamKnowledge is what a placing host has learned of one incarnation of an upstream.
type UpstreamKnowledge struct {
	ID       string
	Born     int64
	Slowdown float64  // Without the pace that the upstream reports, which is out of date when a successor needs it.
	Recent   []uint64 // Hashes of the objects last sent there, newest last.
}

// Knowledge returns what this host has learned of a service, or nil if it has placed no job of it.
func (s *Scheduler) Knowledge(service string) *Knowledge {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.estimates[service]
	if w == nil || w.samples.all == 0 {
		return nil
	}
	k := &Knowledge{Hit: w.hit, Miss: w.miss, All: w.all, CacheSize: w.cacheSize}
	for _, l := range s.poolByService[service] {
		if len(l.recent) > 0 {
			k.Upstreams = append(k.Upstreams, UpstreamKnowledge{ID: l.upstream.ID, Born: l.upstream.Born, Slowdown: l.lastingSlowdown(), Recent: l.recent.hashes()})
		}
	}
	return k
}

// hashes returns the hashes of the objects, newest last.
func (m recentObjects) hashes() []uint64 {
	out := make([]uint64, len(m))
	for i, o := range m {
		out[i] = o.hash
	}
	return out
}

// Adopt takes over what another host has learned of a service, unless this host places its jobs and has learned enough itself.
func (s *Scheduler) Adopt(now time.Time, service string, k *Knowledge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.estimate(service)
	if now.Sub(s.lastPlaced[service]) < ownKnowledgeAge && w.samples.all >= enoughSamples {
		return
	}
	w.hit, w.miss, w.all, w.cacheSize = k.Hit, k.Miss, k.All, max(minCacheSize, min(maxRecentObjects, k.CacheSize))
	w.samples = sampleCounts{hit: adoptedSamples, miss: adoptedSamples, all: adoptedSamples}
	for _, u := range k.Upstreams {
		l := s.loads[u.ID]
		if l == nil || l.upstream.Born != u.Born || len(u.Recent) > maxRecentObjects || u.Slowdown < minSlowdown || u.Slowdown > maxSlowdown {
			continue
		}
		own := l.recent
		l.slowdown, l.pace.residual, l.recent = u.Slowdown, u.Slowdown, nil
		for _, hash := range u.Recent {
			l.recent = l.recent.add(hash, 0)
		}
		for _, o := range own {
			l.recent = l.recent.add(o.hash, o.grant)
		}
	}
}

const (
	// ownKnowledgeAge is how long after its last placement a host prefers its own knowledge of a service.
	ownKnowledgeAge = time.Second
	// enoughSamples is the number of jobs from which a host's own knowledge is better than a copy.
	enoughSamples = 500
	// adoptedSamples is the weight of adopted averages, in samples.
	adoptedSamples = 20
)

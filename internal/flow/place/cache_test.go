package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// lruCache is the cache of a simulated upstream.
type lruCache []string

// use reports whether the object was cached, and caches it.
func (c *lruCache) use(object string, size int) bool {
	at := slices.Index(*c, object)
	if at >= 0 {
		*c = slices.Delete(*c, at, at+1)
	} else if len(*c) == size {
		*c = slices.Delete(*c, 0, 1)
	}
	*c = append(*c, object)
	return at >= 0
}

// A time in which all upstreams are slow, or lose their caches, must not leave the scheduler with a wrong idea of what they
// cache: soon after, it must find the hits again.
func TestTheCacheEstimateSurvivesASlowSpell(t *testing.T) {
	for name, trouble := range map[string]func(caches map[string]*lruCache) time.Duration{
		"slow upstreams": func(map[string]*lruCache) time.Duration { return 4 },
		"lost caches": func(caches map[string]*lruCache) time.Duration {
			for _, c := range caches {
				*c = nil
			}
			return 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			const cacheSize, objects, hit, miss = 24, 150, 430 * time.Millisecond, 1730 * time.Millisecond
			var list []*roster.Upstream
			caches := map[string]*lruCache{}
			for i := range 10 {
				u := upstream(fmt.Sprint("u", i), "a", "east")
				list, caches[u.ID] = append(list, u), &lruCache{}
			}
			sched, random := newTestScheduler(list...), rand.New(rand.NewPCG(1, 1))
			now, hits, predicted := at(0), 0, 0
			for i := range 3000 {
				req := newRequest(now)
				req.Object, req.Deadline = fmt.Sprint(random.IntN(objects)), now.Add(time.Minute)
				g := try(sched, now, req)
				took, factor := miss, time.Duration(1)
				if i >= 800 && i < 1200 {
					factor = trouble(caches)
				}
				cached := caches[g.Upstream.ID].use(req.Object, cacheSize)
				if cached {
					took = hit
				}
				if i >= 2500 && cached {
					hits++
					if g.expectHit {
						predicted++
					}
				}
				now = now.Add(30 * time.Millisecond)
				sched.Release(now, g, good(factor*took))
				sched.Tick(now)
			}
			assert.Assert(t, hits > 400, "%d hits of 500 jobs", hits)
			assert.Assert(t, predicted > hits*8/10, "%d of %d hits were expected", predicted, hits)
		})
	}
}

// ending is a job that runs on a simulated upstream.
type ending struct {
	at    time.Time
	grant *Grant
	took  time.Duration
}

// A pool that starts with empty caches, or loses them under load, has too few slots while all jobs are misses. It must reach
// its normal share of hits within seconds, instead of spending its slots on misses for good.
func TestHitsComeBackAfterAllCachesAreLostUnderLoad(t *testing.T) {
	const cacheSize, objects, hit, miss, perSecond = 24, 277, 430 * time.Millisecond, 1730 * time.Millisecond, 260
	var list []*roster.Upstream
	caches := map[string]*lruCache{}
	for i := range 22 {
		u := upstream(fmt.Sprint("u", i), "a", "east")
		u.Slots = 9
		list, caches[u.ID] = append(list, u), &lruCache{}
	}
	sched, random := newTestScheduler(list...), rand.New(rand.NewPCG(1, 2))
	var running []ending
	bySecond := map[int][3]int{} // Jobs, hits and refusals.
	for i := range 30 * perSecond {
		now := at(time.Duration(i) * time.Second / perSecond)
		for len(running) > 0 && !running[0].at.After(now) {
			sched.Release(running[0].at, running[0].grant, good(running[0].took))
			running = running[1:]
		}
		sched.Tick(now)
		if i == 15*perSecond {
			for _, c := range caches {
				*c = nil
			}
		}
		req := newRequest(now)
		req.Object, req.Objective, req.Deadline = fmt.Sprint(random.IntN(objects)), now.Add(time.Second), now.Add(2*time.Second)
		count := bySecond[i/perSecond]
		count[0]++
		if g := try(sched, now, req); g == nil {
			count[2]++
		} else {
			took := time.Duration(float64(miss) * (0.85 + 0.3*random.Float64()))
			if caches[g.Upstream.ID].use(req.Object, cacheSize) {
				took = time.Duration(float64(hit) * (0.85 + 0.3*random.Float64()))
				count[1]++
			}
			running = append(running, ending{at: now.Add(took), grant: g, took: took})
			slices.SortStableFunc(running, func(a, b ending) int { return a.at.Compare(b.at) })
		}
		bySecond[i/perSecond] = count
	}
	for _, second := range []int{10, 14, 26, 29} {
		jobs, hits, refused := bySecond[second][0], bySecond[second][1], bySecond[second][2]
		assert.Check(t, hits >= jobs*85/100, "second %d: %d of %d jobs were hits, %d refused", second, hits, jobs, refused)
	}
}

package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A host that takes over placing must know what the previous one had learned, and must not forget what it learns itself.
func TestATakeoverContinuesWithTheKnowledge(t *testing.T) {
	first, second := newTestScheduler(upstream("u", "a", "east"), upstream("v", "a", "east")), newTestScheduler(upstream("u", "a", "east"), upstream("v", "a", "east"))
	assert.Assert(t, first.Knowledge("s") == nil)
	placed := map[string]string{}
	now := at(0)
	place := func(s *Scheduler, object string, took time.Duration) string {
		req := newRequest(now)
		req.Object = object
		g := try(s, now, req)
		s.Release(now, g, good(took))
		return g.Upstream.ID
	}
	for i := range 12 {
		placed[fmt.Sprint(i)] = place(first, fmt.Sprint(i), 300*time.Millisecond)
	}
	for i := range 12 {
		assert.Equal(t, place(first, fmt.Sprint(i), 80*time.Millisecond), placed[fmt.Sprint(i)])
	}
	second.Adopt(now, "s", first.Knowledge("s"))
	for i := range 12 {
		assert.Equal(t, place(second, fmt.Sprint(i), 80*time.Millisecond), placed[fmt.Sprint(i)])
	}
	assert.Assert(t, second.estimate("s").miss > 200*time.Millisecond)
	second.estimate("s").samples.all = enoughSamples
	before := second.Knowledge("s")
	second.Adopt(now, "s", &Knowledge{CacheSize: 1e9})
	assert.DeepEqual(t, second.Knowledge("s"), before)
	second.Adopt(now.Add(time.Minute), "s", &Knowledge{CacheSize: 1e9, Upstreams: []UpstreamKnowledge{{ID: "u", Born: 7}, {ID: "x"}}})
	assert.Equal(t, second.estimate("s").cacheSize, float64(maxRecentObjects))
}

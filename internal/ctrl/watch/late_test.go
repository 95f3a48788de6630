package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// busyPeer sends a large answer for a while, and does nothing else meanwhile.
type busyPeer struct {
	took  time.Duration
	asked int
}

func (p *busyPeer) Updates(ctx context.Context, _ roster.Host, q Query) (Updates, error) {
	p.asked++
	sleep(ctx, p.took)
	return Updates{Batch: roster.Batch{Revision: q.After + 1, Changes: []roster.Change{upstreamChange("u", 1, 1)}}, Age: 100 * time.Millisecond}, ctx.Err()
}

func (p *busyPeer) Probe(ctx context.Context, _ roster.Host, _, _ time.Duration) (time.Duration, error) {
	<-ctx.Done()
	return UnknownAge, nil
}

// Guards against a large policy that arrives late, is thrown away for its age and fetched once more.
func TestALargeAnswerThatIsLateIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := []roster.Host{{Name: "first", Domain: "a", Region: "east", Cores: 2}, {Name: "self", Domain: "b", Region: "east", Cores: 1}, {Name: "other", Domain: "c", Region: "east", Cores: 1}}
		p := &busyPeer{took: sourceWait + answerTime + maxFleetAge}
		l := NewLoop(hosts[1], time.Now, noopObserver{})
		ctx, cancel := context.WithCancel(t.Context())
		r := &Reader{Peers: p, Loop: l, Clock: time.Now, Done: make(chan struct{})}
		r.init()
		r.revision, r.syncedAt = 1, time.Now()
		go l.Run(ctx)
		r.pollPeers(ctx, &roster.View{Self: hosts[1], Hosts: hosts})
		synctest.Wait()
		assert.Equal(t, p.asked, 1)
		assert.Equal(t, len(l.View().Upstreams["s"]), 1)
		assert.Assert(t, time.Since(l.View().SyncedAt) >= maxFleetAge, "its age counts")
		cancel()
		<-l.Done
	})
}

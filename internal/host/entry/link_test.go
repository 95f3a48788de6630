package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/internal/stand/layout"
)

// TestNoSecondOfALinkExceedsItsLimit floods a narrow link in both directions and checks the bytes that its hosts send
// and receive in every second.
func TestNoSecondOfALinkExceedsItsLimit(t *testing.T) {
	t.Parallel()
	o := testOptions(119)
	o.LinkRate = 400_000
	o.Skip = func(domain, service string) bool {
		return service == layout.Catalog && strings.HasPrefix(domain, "dar")
	}
	s := startSystem(t, o, trace.Noop())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	hosts := []string{"dar-a-1", "dar-a-2", "dar-b-1", "dar-b-2"}
	body := []byte(strings.Repeat("b", 3000))
	for i := range 40 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				_, _ = s.tryCall(call{
					host: hosts[i%4], service: layout.Catalog, path: "?size=4000", timeout: "1s",
					body: append([]byte(fmt.Sprintf("k%d-%d\n", i, n)), body...),
				})
			}
		})
	}
	type sample struct {
		at      time.Time
		out, in int64
	}
	var samples []sample
	for ctx.Err() == nil {
		var sm sample
		for _, h := range hosts {
			sm.out += s.hosts[h].peerClient.Traffic.Out.Load()
			sm.in += s.hosts[h].peerClient.Traffic.In.Load()
		}
		sm.at = time.Now()
		samples = append(samples, sm)
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	var out, in int64
	for i, first := 0, 0; i < len(samples); i++ {
		for samples[i].at.Sub(samples[first].at) > time.Second {
			first++
		}
		out, in = max(out, samples[i].out-samples[first].out), max(in, samples[i].in-samples[first].in)
	}
	t.Logf("maximum in a second: %d bytes out, %d bytes in; limit %d for each direction", out, in, o.LinkRate)
	assert.Assert(t, out <= o.LinkRate && in <= o.LinkRate, "%d out, %d in", out, in)
	assert.Assert(t, in > o.LinkRate/4, "the link carried only %d bytes in a second", in)
}

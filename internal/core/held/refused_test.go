package held

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refused buffer that counts for a moment: others are then refused though there is room, or see a crowded host.
func TestARefusedBufferTakesNoRoomFromOthers(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget(limit)
	b.NewAccount().Settle(limit/2 + FreeBytes)
	var wg sync.WaitGroup
	stop := time.Now().Add(300 * time.Millisecond)
	for range 4 {
		wg.Go(func() {
			large := b.NewAccount()
			for time.Now().Before(stop) {
				assert.Check(t, !large.GrowAnswer(limit, false))
			}
		})
	}
	refused, exceeded, tries := 0, 0, 0
	for ; time.Now().Before(stop); tries++ {
		small := b.NewAccount()
		if !small.GrowAnswer(FreeBytes+1024, false) {
			refused++
		}
		if b.Used() > limit {
			exceeded++
		}
		small.Settle(0)
	}
	wg.Wait()
	assert.Assert(t, refused == 0 && exceeded == 0, "of %d tries %d were refused, and %d saw more than the limit", tries, refused, exceeded)
}

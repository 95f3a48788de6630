package linger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A connection is kept while its caller receives, and for a bounded time afterwards.
func TestAConnectionIsKeptByItsCallersProgress(t *testing.T) {
	type check struct {
		at      time.Duration
		missing int
		sent    bool
		expired bool
	}
	for name, checks := range map[string][]check{
		"receives and closes nothing": {{0, 9, false, false}, {4 * time.Second, 5, false, false}, {13 * time.Second, 0, false, false},
			{13*time.Second + quietTimeout, 0, false, true}},
		"receives nothing": {{0, 9, true, false}, {9 * time.Second, 9, true, false}, {stallTimeout, 9, true, true}},
		"sends on": {{0, 0, true, false}, {400 * time.Millisecond, 0, true, false}, {800 * time.Millisecond, 0, true, false},
			{2900 * time.Millisecond, 0, true, false}, {CloseTimeout, 0, true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var d Delivery
			begin := time.Unix(1000, 0)
			for _, c := range checks {
				now := begin.Add(c.at)
				if c.sent {
					d.SentAt = now
				}
				assert.Equal(t, d.Expired(now, c.missing, true), c.expired, "after %s", c.at)
			}
		})
	}
}

// Guards against a caller that holds a connection for good by receiving a byte now and then.
func TestAConnectionIsNotKeptForACallerThatReceivesHardlyAnything(t *testing.T) {
	var d Delivery
	begin := time.Unix(1000, 0)
	for i := range 100 {
		if d.Expired(begin.Add(time.Duration(i)*(stallTimeout-time.Second)), 1<<20-i, true) {
			return
		}
	}
	t.Fatal("the connection is kept for good")
}

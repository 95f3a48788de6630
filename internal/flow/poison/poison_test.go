package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func TestTwoCrashesQuarantineForAWindow(t *testing.T) {
	table := &Table{}
	table.Add(Crash{Digest: 1, Upstream: "a", At: now})
	table.Add(Crash{Digest: 1, Upstream: "a", At: now}) // A duplicate report.
	assert.Assert(t, !table.Quarantined(1, now))
	table.Add(Crash{Digest: 1, Upstream: "b", At: now.Add(time.Minute)})
	assert.Assert(t, table.Quarantined(1, now.Add(time.Minute)))
	assert.Assert(t, !table.Quarantined(2, now.Add(time.Minute)))
	assert.Assert(t, !table.Quarantined(1, now.Add(CrashWindow+time.Second)), "the first crash is out of the window")
}

func TestMassCrashQuarantinesNoJob(t *testing.T) {
	table := &Table{}
	for i := range 8 {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		table.Add(Crash{Digest: uint64(i), Upstream: fmt.Sprint("u", i), At: at})
		table.Add(Crash{Digest: uint64(i), Upstream: fmt.Sprint("u", (i+1)%8), At: at}) // The job's second attempt.
	}
	for i := range 8 {
		assert.Assert(t, !table.Quarantined(uint64(i), now.Add(time.Second)), "job %d", i)
	}
}

func TestAJobThatCrashesOnItsOwnStaysInQuarantineThroughAMassCrash(t *testing.T) {
	table := &Table{}
	table.Add(Crash{Digest: 1, Upstream: "a", At: now})
	table.Add(Crash{Digest: 1, Upstream: "b", At: now.Add(10 * time.Second)})
	for i := range 8 {
		table.Add(Crash{Digest: uint64(10 + i), Upstream: fmt.Sprint("u", i), At: now.Add(time.Minute)})
	}
	assert.Assert(t, table.Quarantined(1, now.Add(time.Minute)))
}

func TestTheTableStaysBounded(t *testing.T) {
	table := &Table{}
	for i := range maxCrashes + 10 {
		table.Add(Crash{Digest: uint64(i), Upstream: "u", At: now})
	}
	assert.Equal(t, len(table.crashes), maxCrashes)
}

package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func TestTwoCrashesQuarantineForAWindow(t *testing.T) {
	g := &Table{}
	g.Add(Crash{Digest: 1, Upstream: "a", At: now})
	g.Add(Crash{Digest: 1, Upstream: "a", At: now}) // A duplicate report.
	assert.Assert(t, !g.Quarantined(1, now))
	g.Add(Crash{Digest: 1, Upstream: "b", At: now.Add(time.Minute)})
	assert.Assert(t, g.Quarantined(1, now.Add(time.Minute)))
	assert.Assert(t, !g.Quarantined(2, now.Add(time.Minute)))
	assert.Assert(t, !g.Quarantined(1, now.Add(CrashWindow+time.Second)), "the first crash is out of the window")
}

func TestMassCrashQuarantinesNoJob(t *testing.T) {
	g := &Table{}
	for i := range 8 {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		g.Add(Crash{Digest: uint64(i), Upstream: fmt.Sprint("u", i), At: at})
		g.Add(Crash{Digest: uint64(i), Upstream: fmt.Sprint("u", (i+1)%8), At: at}) // The job's second try.
	}
	for i := range 8 {
		assert.Assert(t, !g.Quarantined(uint64(i), now.Add(time.Second)), "job %d", i)
	}
}

func TestAJobThatCrashesOnItsOwnStaysInQuarantineThroughAMassCrash(t *testing.T) {
	g := &Table{}
	g.Add(Crash{Digest: 1, Upstream: "a", At: now})
	g.Add(Crash{Digest: 1, Upstream: "b", At: now.Add(10 * time.Second)})
	for i := range 8 {
		g.Add(Crash{Digest: uint64(10 + i), Upstream: fmt.Sprint("u", i), At: now.Add(time.Minute)})
	}
	assert.Assert(t, g.Quarantined(1, now.Add(time.Minute)))
}

func TestTheTableStaysBounded(t *testing.T) {
	g := &Table{}
	for i := range maxCrashes + 10 {
		g.Add(Crash{Digest: uint64(i), Upstream: "u", At: now})
	}
	assert.Equal(t, len(g.crashes), maxCrashes)
}

package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a job that crashes one upstream again and again and is never stopped, since that starts again under its ID.
func TestCrashesOfEachIncarnationCount(t *testing.T) {
	table := &Table{}
	table.Add(Crash{Digest: 1, Upstream: "a", Born: 10, At: now})
	table.Add(Crash{Digest: 1, Upstream: "a", Born: 10, At: now.Add(time.Second)}) // A report of the same crash.
	assert.Assert(t, !table.Quarantined(1, now.Add(time.Second)))
	table.Add(Crash{Digest: 1, Upstream: "a", Born: 20, At: now.Add(8 * time.Second)})
	assert.Assert(t, table.Quarantined(1, now.Add(8*time.Second)))
}

// Guards against a report of an earlier release, which names no incarnation, that counts beside the report of the same crash.
func TestAReportWithoutAnIncarnationCountsOnce(t *testing.T) {
	for _, born := range [][]int64{{0, 10}, {10, 0}, {0, 0}} {
		table := &Table{}
		for i, b := range born {
			table.Add(Crash{Digest: 1, Upstream: "a", Born: b, At: now.Add(time.Duration(i) * time.Second)})
		}
		assert.Assert(t, !table.Quarantined(1, now.Add(time.Minute)), "%v", born)
		table.Add(Crash{Digest: 1, Upstream: "b", Born: 10, At: now.Add(20 * time.Second)})
		assert.Assert(t, table.Quarantined(1, now.Add(time.Minute)), "%v", born)
	}
}

// Guards against hosts that come to different verdicts because they learned of the same crashes in another order.
func TestTheVerdictDoesNotDependOnTheOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crash := rapid.Custom(func(t *rapid.T) Crash {
			return Crash{
				Digest: rapid.Uint64Range(1, 3).Draw(t, "digest"), Upstream: fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "upstream")),
				Born: rapid.Int64Range(0, 2).Draw(t, "born"), At: now,
			}
		})
		crashes := rapid.SliceOfN(crash, 0, 12).Draw(t, "crashes")
		for i := range crashes { // Each crash has one time.
			c := &crashes[i]
			c.At = now.Add(time.Duration(c.Digest*7+uint64(len(c.Upstream)+int(c.Upstream[1]))*5+uint64(c.Born)*11) % 17 * time.Second)
		}
		one, other := &Table{}, &Table{}
		for _, c := range crashes {
			one.Add(c)
		}
		for _, c := range rapid.Permutation(crashes).Draw(t, "order") {
			other.Add(c)
		}
		for digest := range uint64(4) {
			if one.Quarantined(digest, now.Add(time.Minute)) != other.Quarantined(digest, now.Add(time.Minute)) {
				t.Fatalf("job %d: the verdicts differ", digest)
			}
		}
	})
}

package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// crasher is a caller that sends a job that crashes each upstream that runs it, again and again.
type crasher struct {
	digest   uint64
	next     time.Time
	period   time.Duration
	attempts int // Attempts of each request.
	crashes  int
	third    time.Time // When the job had crashed its third upstream.
	late     int       // Requests that crashed upstreams later than lateAfter after that.
}

const (
	// lateAfter is the time after the third crash from which the requests of a job that still reach upstreams are counted.
	lateAfter = 4 * time.Second
	// maxLate is how many of these requests are allowed.
	maxLate = 3
)

// send sends the job once unless it is refused.
func (c *crasher) send(table *Table, now time.Time) {
	c.next = now.Add(c.period)
	if table.Quarantined(c.digest, now) {
		return
	}
	if !c.third.IsZero() && now.Sub(c.third) > lateAfter {
		c.late++
	}
	for range c.attempts {
		table.Add(Crash{Digest: c.digest, Upstream: fmt.Sprintf("u%d-%d", c.digest, c.crashes), At: now})
		if c.crashes++; c.crashes == 3 {
			c.third = now
		}
	}
}

// Guards against jobs that crash upstreams together and hide each other from the quarantine, however they are spread in time.
func TestJobsThatCrashUpstreamsTogetherAreAllQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashers := make([]crasher, rapid.IntRange(1, 6).Draw(t, "jobs"))
		for i := range crashers {
			offset := rapid.Int64Range(0, 3000).Draw(t, "offset")
			period := rapid.Int64Range(250, 60_000).Draw(t, "period")
			crashers[i] = crasher{
				digest: uint64(i + 1), next: now.Add(time.Duration(offset) * time.Millisecond), period: time.Duration(period) * time.Millisecond,
				attempts: rapid.IntRange(1, 2).Draw(t, "attempts"),
			}
		}
		table := &Table{}
		for at := now; at.Before(now.Add(4 * time.Minute)); at = at.Add(250 * time.Millisecond) {
			for i := range crashers {
				if !at.Before(crashers[i].next) {
					crashers[i].send(table, at)
				}
			}
		}
		for _, c := range crashers {
			if c.late > maxLate {
				t.Fatalf("job %d: %d requests reached upstreams later than %s after its third crash", c.digest, c.late, lateAfter)
			}
		}
	})
}

// Guards against three jobs that crash two upstreams each at the same times and are never quarantined.
func TestThreeJobsThatCrashUpstreamsAtTheSameTimesAreQuarantined(t *testing.T) {
	table := &Table{}
	crashers := []crasher{{digest: 1, attempts: 2}, {digest: 2, attempts: 2}, {digest: 3, attempts: 2}}
	for round := range 12 {
		for i := range crashers {
			crashers[i].send(table, now.Add(time.Duration(round)*5*time.Second))
		}
	}
	for _, c := range crashers {
		assert.Assert(t, c.late <= maxLate, "job %d: %d late requests", c.digest, c.late)
	}
}

// Guards against a popular request that is refused because upstreams which ran it were lost in several mass crashes.
func TestARequestThatIsAnsweredBetweenMassCrashesIsNotQuarantined(t *testing.T) {
	table := &Table{}
	for event := range 3 {
		at := now.Add(time.Duration(event) * 20 * time.Second)
		for i := range 6 {
			table.Add(Crash{Digest: 1, Upstream: fmt.Sprintf("u%d-%d", event, i), At: at})
			table.Add(Crash{Digest: uint64(10 + i), Upstream: fmt.Sprintf("v%d-%d", event, i), At: at})
		}
		assert.Assert(t, !table.Quarantined(1, at), "in mass crash %d", event)
		table.RecordAnswer(1)
	}
}

// Guards against an answer that clears a job which crashes upstreams on its own.
func TestAnAnswerDoesNotClearCrashesOutsideMassCrashes(t *testing.T) {
	table := &Table{}
	table.Add(Crash{Digest: 1, Upstream: "a", At: now})
	table.RecordAnswer(1)
	table.Add(Crash{Digest: 1, Upstream: "b", At: now.Add(time.Minute)})
	assert.Assert(t, table.Quarantined(1, now.Add(time.Minute)))
}

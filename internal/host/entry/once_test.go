package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/internal/stand/layout"
	"github.com/boragelane/boragelane/internal/stand/upstr"
)

func TestATicketRunsOnceThroughAnyHost(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(101), trace.Noop())
	tk := s.ticket("dar-a-1")
	for _, host := range []string{"mwanza-b-2", "dar-a-1", "dar-b-1", "mwanza-a-1", "dar-a-2"} {
		a := s.call(call{host: host, service: layout.Orders, key: "order", ticket: tk})
		assert.Equal(t, a.outcome, "answered", "%s: %+v", host, a)
		assert.Assert(t, strings.HasPrefix(a.body, "order\n"))
	}
	assert.Equal(t, s.countRuns("order"), 1)

	other := s.call(call{host: "dar-b-2", service: layout.Orders, key: "another order", ticket: tk})
	assert.Equal(t, other.outcome+" "+other.reason, "unknown bad-ticket")
	assert.Equal(t, s.countRuns("another order"), 0)
}

func TestTriesAtTheSameTimeRunOnce(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(102), trace.Noop())
	seats := []string{"mwanza-b-2", "dar-a-1", "dar-b-1", "mwanza-a-1", "dar-a-2"}
	for i := range 20 {
		tk, key := s.ticket("dar-a-1"), fmt.Sprint("same-", i)
		done := make(chan answer, len(seats))
		for _, host := range seats {
			go func() {
				a, _ := s.tryCall(call{host: host, service: layout.Orders, key: key, ticket: tk})
				done <- a
			}()
		}
		for range seats {
			assert.Equal(t, (<-done).outcome, "answered")
		}
		assert.Equal(t, s.countRuns(key), 1)
	}
}

func TestAPlannedStopHandsTheTicketsOver(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(103), trace.Noop())
	used, unused := s.ticket("dar-a-1"), s.ticket("dar-a-1")
	a := s.call(call{host: "dar-a-2", service: layout.Orders, key: "before", ticket: used})
	assert.Equal(t, a.outcome, "answered")
	s.hosts["dar-a-1"].cancel()
	<-s.hosts["dar-a-1"].Done

	for _, host := range []string{"dar-a-2", "mwanza-a-1"} {
		a = s.call(call{host: host, service: layout.Orders, key: "before", ticket: used})
		assert.Equal(t, a.outcome, "answered", "%s: %+v", host, a)
		a = s.call(call{host: host, service: layout.Orders, key: "after", ticket: unused})
		assert.Equal(t, a.outcome, "answered", "%s: %+v", host, a)
	}
	assert.Equal(t, s.countRuns("before"), 1)
	assert.Equal(t, s.countRuns("after"), 1)
}

// TestATicketOfAKilledHostIsNeverRun guards against a second execution: whether a killed host ran a ticket is unknown,
// so neither another host nor the next incarnation may run it.
func TestATicketOfAKilledHostIsNeverRun(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(104), trace.Noop())
	tk := s.ticket("dar-a-1")
	s.killHost(s.hosts["dar-a-1"])
	<-s.hosts["dar-a-1"].Done
	for range 3 {
		a := s.call(call{host: "dar-b-1", service: layout.Orders, key: "lost", ticket: tk})
		assert.Equal(t, a.outcome+" "+a.reason, "unknown owner-gone")
	}
	s.startHost("dar-a-1") // The next incarnation does not own the ticket.
	s.waitReady()
	a := s.call(call{host: "dar-b-1", service: layout.Orders, key: "lost", ticket: tk})
	assert.Equal(t, a.outcome+" "+a.reason, "unknown owner-gone")
	assert.Equal(t, s.countRuns("lost"), 0)
}

// TestARefusalAsNotRunVoidsTheTicket checks that a ticket whose job was refused as not run stays refused, even when
// upstreams accept jobs again; the refusal carries a new ticket for the next try.
func TestARefusalAsNotRunVoidsTheTicket(t *testing.T) {
	t.Parallel()
	o := testOptions(105)
	s := startSystem(t, o, trace.Noop())
	for _, u := range s.upstreams {
		u.SetDraining(true)
	}
	tk := s.ticket("dar-a-1")
	a := s.call(call{host: "dar-b-1", service: layout.Orders, key: "void", ticket: tk})
	assert.Equal(t, a.outcome, "not-run", "%+v", a)
	assert.Assert(t, a.newTicket != "")
	for _, u := range s.upstreams {
		u.SetDraining(false)
	}
	a = s.call(call{host: "dar-b-1", service: layout.Orders, key: "void", ticket: tk})
	assert.Equal(t, a.outcome, "not-run", "%+v", a)
	assert.Equal(t, s.countRuns("void"), 0)
}

func TestALostUpstreamConnectionIsUnknownAndNotRetried(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(106), trace.Noop())
	tk := s.ticket("dar-a-1")
	body := []byte("boom\n" + upstr.CrashMark)
	a := s.call(call{host: "dar-a-1", service: layout.Orders, body: body, ticket: tk})
	assert.Equal(t, a.outcome+" "+a.reason, "unknown connection-lost")
	a = s.call(call{host: "mwanza-a-1", service: layout.Orders, body: body, ticket: tk})
	assert.Equal(t, a.outcome+" "+a.reason, "unknown connection-lost")
	assert.Equal(t, s.countRuns("boom"), 1)
}

func TestMismatchedAndTruncatedAnswersAreNotPassedOn(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(107), trace.Noop())
	for _, u := range s.upstreams {
		u.SetAnswerFaults(0.3, 0.3)
	}
	complete := 0
	for i := range 300 { // More faults than the retry budget can compensate.
		key := fmt.Sprint("key-", i)
		a := s.call(call{host: "dar-a-1", service: layout.Price, key: key})
		if a.outcome == "answered" {
			complete++
			assert.Assert(t, strings.HasPrefix(a.body, key+"\n") && len(a.body) == 100, "%q", a.body)
		}
	}
	assert.Assert(t, complete > 0 && complete < 300, "%d complete answers", complete)
}

func TestAHandOverCountsOnlyWhenComplete(t *testing.T) {
	table := dedup.NewTable()
	table.Adopt("inc", time.Now().Add(time.Hour), false, nil)
	assert.Assert(t, !table.Adopted("inc"), "a hand-over counts before its last part has arrived")
	table.Adopt("inc", time.Now().Add(time.Hour), true, nil)
	assert.Assert(t, table.Adopted("inc"))
}

// TestALostAnswerOfThePlatformIsResolved loses the platform's answers to writes that took effect; the commit must find
// out that its change is in force and must not apply it twice.
func TestALostAnswerOfThePlatformIsResolved(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(108), trace.Noop())
	before := s.hosts["dar-a-1"].Plan().Doc.Revision
	s.platform.LoseAnswers(2)
	doc, err := s.hosts["dar-a-1"].Commit(context.Background(), spec.Change{Drains: []spec.Drain{{Kind: "upstream", Name: "x"}}}, nil)
	assert.NilError(t, err)
	assert.Equal(t, doc.Revision, before+1)
	took := s.eventually(3*time.Second, "the revision is in force", func() bool { return s.allHostsReached(doc.Revision) })
	t.Logf("in force on %d hosts after %s", len(s.hosts), took)
}

// allHostsReached reports whether all hosts have this or a later revision in force.
func (s *system) allHostsReached(revision uint64) bool {
	for _, h := range s.hosts {
		if h.Plan().Doc.Revision < revision {
			return false
		}
	}
	return true
}

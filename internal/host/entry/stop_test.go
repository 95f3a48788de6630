package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/internal/stand/layout"
)

// TestAPlannedStopFinishesTheJobsOfOtherHosts stops the owner of a ticket while it runs a job that another host forwarded
// to it shortly before. The caller must get the answer.
func TestAPlannedStopFinishesTheJobsOfOtherHosts(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(129), trace.Noop())
	for _, u := range s.upstreams {
		u.SetJobTime(1200 * time.Millisecond)
	}
	tk := s.ticket("dar-a-1")
	s.hosts["dar-a-1"].cancel()
	time.Sleep(state.LookupTTL + shutdownPropagation - 600*time.Millisecond)
	a := s.call(call{host: "dar-a-2", service: layout.Orders, key: "forwarded", ticket: tk})
	assert.Equal(t, a.outcome, "answered", "%+v", a)
	assert.Equal(t, s.countRuns("forwarded"), 1)
	<-s.hosts["dar-a-1"].Done
}

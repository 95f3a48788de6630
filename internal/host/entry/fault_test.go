package entry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/commit"
	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/internal/stand/consul"
	"github.com/boragelane/boragelane/internal/stand/layout"
	"github.com/boragelane/boragelane/internal/stand/upstr"
)

// TestAJobCrashesAtMostTwoUpstreams sends a job that crashes its upstream through several hosts. Each host must know of
// the crashes that the others have seen, or the job crashes two upstreams for every host.
func TestAJobCrashesAtMostTwoUpstreams(t *testing.T) {
	t.Parallel()
	o := testOptions(110)
	o.Upstreams = 3
	s := startSystem(t, o, trace.Noop())
	body := []byte("poison\n" + upstr.CrashMark)
	var last answer
	for range 3 {
		for _, host := range []string{"dar-a-1", "mwanza-b-2", "dar-b-1", "mwanza-a-1", "dar-a-2"} {
			last = s.call(call{host: host, service: layout.Price, body: body})
			assert.Assert(t, s.countCrashed() <= 2, "%d upstreams crashed", s.countCrashed())
		}
	}
	assert.Equal(t, last.outcome+" "+last.reason, "not-run quarantined")
	assert.Equal(t, s.countCrashed(), 2)
	other := s.call(call{host: "dar-a-1", service: layout.Price, key: "innocent"})
	assert.Equal(t, other.outcome, "answered", "%+v", other)
}

// TestADomainCrashQuarantinesNoJob crashes all price upstreams of a failure domain at once. The jobs that they ran did
// not cause the crash and must not be quarantined.
func TestADomainCrashQuarantinesNoJob(t *testing.T) {
	t.Parallel()
	o := testOptions(111)
	o.Upstreams = 4
	s := startSystem(t, o, trace.Noop())
	keys := []string{}
	var wg sync.WaitGroup
	for i := range 24 {
		keys = append(keys, fmt.Sprint("innocent-", i))
	}
	for _, u := range s.upstreams {
		u.SetJobTime(300 * time.Millisecond)
	}
	for _, k := range keys {
		wg.Go(func() { _, _ = s.tryCall(call{host: "dar-a-1", service: layout.Price, key: k}) })
	}
	time.Sleep(100 * time.Millisecond)
	for id, u := range s.upstreams {
		if strings.Contains(id, "price-dar-a") {
			_ = u.server.Close()
		}
	}
	wg.Wait()
	for _, u := range s.upstreams {
		u.SetJobTime(time.Millisecond)
	}
	for _, k := range keys {
		a := s.call(call{host: "dar-a-1", service: layout.Price, key: k, timeout: "2s"})
		assert.Assert(t, a.reason != "quarantined", "%s: %+v", k, a)
	}
}

// TestADrainingUpstreamGetsNoNewJobs drains an upstream while the platform's list lags, so that hosts learn of the
// drain only from the upstream's own answers.
func TestADrainingUpstreamGetsNoNewJobs(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(112), trace.Noop())
	s.platform.SetFaults(consul.Faults{ListLag: 30 * time.Second})
	u := s.upstreams["price-dar-a-1"]
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, host := range []string{"dar-a-1", "dar-a-2"} {
		for i := range 4 {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					_, _ = s.tryCall(call{host: host, service: layout.Price, key: fmt.Sprint(host, i, n)})
				}
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, len(u.Report().Runs) > 0, "the upstream ran no job before the drain")
	u.SetDraining(true)
	time.Sleep(2 * time.Second)
	refused := u.Report().Refused
	time.Sleep(6 * time.Second) // Longer than the pause after an upstream that is not draining sheds a job.
	cancel()
	wg.Wait()
	assert.Equal(t, u.Report().Refused, refused, "the upstream got new jobs more than 2 s after the drain")
	t.Logf("%d jobs were refused by the draining upstream before its state was known", refused)
}

func TestAnOperatorsDrainIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(113), trace.Noop())
	var took []time.Duration
	for i := range 10 {
		host := s.hosts[[]string{"dar-a-1", "mwanza-b-2", "dar-b-2"}[i%3]]
		begin := time.Now()
		doc, err := host.Commit(context.Background(), spec.Change{Drains: []spec.Drain{{Kind: "upstream", Name: fmt.Sprint("u", i)}}}, nil)
		assert.NilError(t, err)
		s.eventually(3*time.Second, "the revision is in force", func() bool { return s.allHostsReached(doc.Revision) })
		took = append(took, time.Since(begin))
	}
	slices.Sort(took)
	t.Logf("in force on %d hosts: median %s, most %s", len(s.hosts), took[len(took)/2], took[len(took)-1])
}

// TestConcurrentChangesCommitOnlyOne commits changes for the same revision through several hosts, while the platform
// loses some of its answers. One change must win; the others must get a conflict with the new revision.
func TestConcurrentChangesCommitOnlyOne(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(114), trace.Noop())
	begin := s.hosts["dar-a-1"].Plan().Doc.Revision
	var mu sync.Mutex
	won, lost := 0, 0
	var wg sync.WaitGroup
	seats := []string{"dar-a-1", "dar-a-2", "dar-b-1", "mwanza-a-1", "mwanza-b-2"}
	s.platform.LoseAnswers(3)
	for i, seat := range seats {
		wg.Go(func() {
			expect := begin
			_, err := s.hosts[seat].Commit(context.Background(), spec.Change{Drains: []spec.Drain{{Kind: "upstream", Name: fmt.Sprint("r", i)}}}, &expect)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won++
				return
			}
			lost++
			assert.Check(t, errorx.IsOfType(err, commit.ErrConflict), "%v", err)
			current, ok := errorx.ExtractProperty(err, commit.CurrentRevision)
			assert.Check(t, ok && current.(uint64) == begin+1, "%v", current)
		})
	}
	wg.Wait()
	assert.Equal(t, won, 1)
	assert.Equal(t, lost, len(seats)-1)
	s.eventually(3*time.Second, "the committed revision is in force", func() bool { return s.allHostsReached(begin + 1) })
}

// TestAnIsolatedDomainServesItsCallers isolates every failure domain from the others and from the platform. Each must
// serve its callers from its own upstreams, within their slots, and converge again once the isolation ends.
func TestAnIsolatedDomainServesItsCallers(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(115), trace.Noop())
	s.isolate(s.domains()...)
	s.platform.SetFaults(consul.Faults{Down: true})
	time.Sleep(6 * time.Second) // All grants have expired.
	for _, host := range []string{"dar-a-1", "dar-b-2", "mwanza-a-1", "mwanza-b-1"} {
		domain := host[:len(host)-2]
		for i := range 20 {
			key := fmt.Sprint(host, "-", i)
			a := s.call(call{host: host, service: layout.Price, key: key})
			assert.Equal(t, a.outcome, "answered", "%s: %+v", host, a)
			assert.Assert(t, strings.Contains(a.upstream, domain), "%s served by %s", host, a.upstream)
			a = s.call(call{host: host, service: layout.Orders, key: key + "-o", ticket: s.ticket(host)})
			assert.Equal(t, a.outcome, "answered", "%s: %+v", host, a)
		}
	}
	s.isolate()
	s.platform.SetFaults(consul.Faults{})
	s.waitReady()
	doc, err := s.hosts["dar-a-1"].Commit(context.Background(), spec.Change{Drains: []spec.Drain{{Kind: "upstream", Name: "healed"}}}, nil)
	assert.NilError(t, err)
	s.eventually(3*time.Second, "a change after the isolation is in force", func() bool { return s.allHostsReached(doc.Revision) })
	for id, u := range s.upstreams {
		assert.Assert(t, u.Report().MaxConcurrent <= 4 && u.Report().Shed == 0, "%s: %+v", id, u.Report())
	}
}

// TestAHostStartsFromItsPeersDuringAnOutage replaces hosts while the platform is down; they must get the configuration
// from their seeds.
func TestAHostStartsFromItsPeersDuringAnOutage(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(116), trace.Noop())
	doc, err := s.hosts["dar-a-1"].Commit(context.Background(), spec.Change{Drains: []spec.Drain{{Kind: "upstream", Name: "x"}}}, nil)
	assert.NilError(t, err)
	s.eventually(3*time.Second, "the revision is in force", func() bool { return s.allHostsReached(doc.Revision) })
	s.platform.SetFaults(consul.Faults{Down: true})
	for _, seat := range []string{"dar-a-1", "mwanza-a-2"} {
		s.killHost(s.hosts[seat])
		<-s.hosts[seat].Done
		s.startHost(seat)
	}
	took := s.eventually(10*time.Second, "the replacement hosts serve", func() bool {
		return s.allHostsAt(doc.Revision) && s.call(call{host: "dar-a-1", service: layout.Price, key: "k"}).outcome == "answered"
	})
	t.Logf("served %s after the replacement, with the platform down", took.Round(time.Millisecond))
}

// allHostsAt reports whether all hosts have this revision in force; a host may have none yet.
func (s *system) allHostsAt(revision uint64) bool {
	for _, h := range s.hosts {
		if d := h.Plan().Doc; d == nil || d.Revision != revision {
			return false
		}
	}
	return true
}

func TestATraceFollowsBothHops(t *testing.T) {
	t.Parallel()
	rec := tracetest.NewInMemoryExporter()
	o := testOptions(117)
	o.Skip = func(domain, service string) bool { return service == layout.Catalog && domain != "mwanza-a" }
	s := startSystem(t, o, trace.NewProvider(sdk.NewSimpleSpanProcessor(rec), "test"))
	a := s.call(call{host: "dar-a-1", service: layout.Catalog, key: "traced", id: "traced-job"})
	assert.Equal(t, a.outcome, "answered")
	time.Sleep(100 * time.Millisecond)
	spans := map[string]tracetest.SpanStub{}
	for _, sp := range rec.GetSpans() {
		spans[sp.Name] = sp
	}
	assert.Equal(t, len(spans), 3, "%v", spans)
	trace := spans["intake"].SpanContext.TraceID()
	for name, parent := range map[string]string{"serve": "intake", "upstream": "serve"} {
		assert.Equal(t, spans[name].SpanContext.TraceID(), trace)
		assert.Equal(t, spans[name].Parent.SpanID(), spans[parent].SpanContext.SpanID(), name)
	}
}

func TestABurstOfChangesReachesThirtyHosts(t *testing.T) {
	t.Parallel()
	o := testOptions(118)
	o.Regions, o.Hosts = []string{"dar", "arusha", "mwanza"}, 5
	s := startSystem(t, o, trace.Noop())
	var took []time.Duration
	for i := range 60 { // More changes than a head holds, so that new bases are written.
		begin := time.Now()
		host := s.hosts[s.layout.Settings[i%len(s.layout.Settings)].Seat]
		doc, err := host.Commit(context.Background(), spec.Change{Drains: []spec.Drain{{Kind: "upstream", Name: fmt.Sprint("u", i)}}}, nil)
		assert.NilError(t, err)
		s.eventually(3*time.Second, "the revision is in force", func() bool { return s.allHostsReached(doc.Revision) })
		took = append(took, time.Since(begin))
	}
	slices.Sort(took)
	t.Logf("in force on %d hosts: median %s, most %s; platform: %+v", len(s.hosts), took[len(took)/2], took[len(took)-1], s.platform.Counts())
}

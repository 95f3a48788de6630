package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/flow/admit"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/route"
	"github.com/boragelane/boragelane/internal/host/config"
	"github.com/boragelane/boragelane/internal/host/trace"
)

// benchPlan returns a plan with one service that has upstreams in this failure domain and sites in others.
func benchPlan(upstreams, sites int) *plan.Plan {
	p := &plan.Plan{
		Self:     plan.Identity{Seat: "h", Domain: "d0", Region: "r0"},
		Doc:      &spec.Document{Ranks: []spec.Rank{{Name: "top", Queue: 100}}},
		Capacity: share.Quota{Floor: 1000}, Links: map[string]share.Quota{}, Services: map[string]*plan.Service{},
	}
	svc := &plan.Service{Service: spec.Service{Name: "s", Rank: "top", Timeout: spec.Duration(time.Second)}}
	for i := range upstreams {
		svc.Upstreams = append(svc.Upstreams, plan.Upstream{ID: fmt.Sprintf("u%02d", i), Address: "a", Slots: share.Quota{Floor: 4}, Conns: 400})
	}
	p.Services["s"] = svc
	for i := range max(1, sites/9) { // Nine services in each failure domain.
		r := fmt.Sprint("r", i%25)
		p.Links[r] = share.Quota{Floor: 1}
		p.Domains = append(p.Domains, plan.Domain{
			Name: fmt.Sprint("d", i), Region: r, Self: i == 0, Delay: time.Duration(i) * time.Millisecond,
			Hosts: []spec.Seat{{Name: "h"}}, Loads: map[string]plan.Load{"s": {Slots: 50, Busy: 10}},
		})
	}
	p.SetSites()
	return p
}

// BenchmarkDecision measures a complete routing decision: the selection of a target and of an upstream.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ upstreams, sites int }{{14, 10}, {14, 100}, {14, 890}} {
		b.Run(fmt.Sprintf("%d-upstreams-%d-sites", size.upstreams, size.sites), func(b *testing.B) {
			p, a, now := benchPlan(size.upstreams, size.sites), admit.New(), time.Unix(1000, 0)
			a.Update(now, p)
			r := route.New(a)
			b.ReportAllocs()
			var targets [1]pipe.Target
			job := &pipe.Job{}
			for i := range b.N {
				*job = pipe.Job{Service: "s", Plan: p, CallerHash: uint64(i), Deadline: now.Add(time.Second), Targets: targets[:0]}
				r.Run(context.Background(), now, job)
				a.Run(context.Background(), now, job)
				job.Outcome.Kind = pipe.Answered
				a.Finish(now, job)
			}
		})
	}
}

// BenchmarkLookup measures a lookup with its HTTP handling.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{4, 132} {
		b.Run(fmt.Sprintf("%d-hosts", n), func(b *testing.B) {
			h := New(config.Settings{Seat: "h"}, time.Now, zap.NewNop(), trace.Noop())
			p := benchPlan(1, 1)
			for i := range n {
				p.Lookup.Hosts = append(p.Lookup.Hosts, spec.Seat{Name: fmt.Sprint("h", i), Front: "127.0.0.1:7001"})
				p.Lookup.Sites = append(p.Lookup.Sites, rendez.NewSite(fmt.Sprint("h", i), 1))
			}
			h.front.Host = fixedPlanHost{h, p}
			handler := h.front.Server().Handler
			req := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/v1/lookup?caller=grace", nil)
			b.ReportAllocs()
			for b.Loop() {
				handler.ServeHTTP(httptest.NewRecorder(), req)
			}
		})
	}
}

// fixedPlanHost is a host that always returns the same plan.
type fixedPlanHost struct {
	*Host
	plan *plan.Plan
}

func (f fixedPlanHost) Plan() *plan.Plan { return f.plan }

// BenchmarkEntryPath compares requests through an entry host with direct ones; it reports the direct median, and the
// latency that the host adds at the median and at the 99th percentile.
func BenchmarkEntryPath(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", 500))
	}))
	defer upstream.Close()
	h := New(config.Settings{Seat: "h"}, time.Now, zap.NewNop(), trace.Noop())
	p := benchPlan(1, 1)
	p.Services["s"].Upstreams[0].Address = strings.TrimPrefix(upstream.URL, "http://")
	h.admit.Update(time.Now(), p)
	h.front.Host = fixedPlanIntake{fixedPlanHost{h, p}}
	front := httptest.NewServer(h.front.Server().Handler)
	defer front.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	post := func(url string) time.Duration {
		begin := time.Now()
		resp, err := client.Post(url, "text/plain", strings.NewReader("hello"))
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(err, resp)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return time.Since(begin)
	}
	var direct, through []time.Duration
	for b.Loop() {
		direct = append(direct, post(upstream.URL))
		through = append(through, post(front.URL+"/v1/run/s/x"))
	}
	slices.Sort(direct)
	slices.Sort(through)
	quantile := func(l []time.Duration, q float64) float64 { return float64(l[int(q*float64(len(l)-1))].Microseconds()) }
	b.ReportMetric(quantile(direct, 0.5), "direct-p50-us")
	b.ReportMetric(quantile(through, 0.5)-quantile(direct, 0.5), "added-p50-us")
	b.ReportMetric(quantile(through, 0.99)-quantile(direct, 0.99), "added-p99-us")
}

// fixedPlanIntake runs each job with the fixed plan.
type fixedPlanIntake struct{ fixedPlanHost }

func (p fixedPlanIntake) RunReceived(ctx context.Context, job *pipe.Job) {
	job.Plan = p.plan
	p.intake.Run(ctx, job)
}

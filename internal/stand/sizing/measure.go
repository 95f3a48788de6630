package sizing

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/edge/peer"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/route"
)

// Row is one measurement at one scale.
type Row struct {
	Measure string
	Scale   float64 // Number of hosts, sites or blocks of callers, depending on the measure.
	Value   float64
	Unit    string
}

// TwoYearSize is the system size of the two-year plan; 9 services in 99 failure domains make 891 sites.
var TwoYearSize = Size{Regions: 25, Domains: 99, Hosts: 33, Services: 9, Upstreams: 40}

// measuredSizes are the measured system sizes, in ascending order.
var measuredSizes = []Size{
	{Regions: 3, Domains: 6, Hosts: 2, Services: 4, Upstreams: 8},
	{Regions: 5, Domains: 10, Hosts: 10, Services: 9, Upstreams: 40},
	{Regions: 8, Domains: 30, Hosts: 33, Services: 9, Upstreams: 40},
	TwoYearSize,
}

// Measure runs all measurements; quick leaves out the two largest systems.
func Measure(quick bool) []Row {
	var rows []Row
	add := func(measure string, scale, value float64, unit string) {
		rows = append(rows, Row{measure, scale, value, unit})
	}
	sizes := measuredSizes
	if quick {
		sizes = measuredSizes[:2]
	}
	for _, size := range sizes {
		measureControl(size, add)
		measureDocument(size, add)
	}
	for _, sites := range []int{10, 100, 890} {
		measureDecisions(sites, add)
	}
	for _, blocks := range []int{1_100, 11_000, 110_000} {
		measureBlockTable(blocks, add)
	}
	return rows
}

// addRow records a measurement at a scale.
type addRow func(measure string, scale, value float64, unit string)

// refreshPeriods is the length of a measurement in refresh periods: summaries are refreshed in bursts, so a measurement
// covers whole periods.
const refreshPeriods = 4

// measureControl measures the control-plane traffic and CPU of a relay and of another host.
func measureControl(size Size, add addRow) {
	hosts := float64(size.Domains * size.Hosts)
	warmup := int((3*state.LoanTTL(size.Hosts) + state.LeaseRenewalPeriod(size.Hosts)) / time.Second)
	seconds := refreshPeriods * int(state.SummaryRefreshPeriod(size.Domains)/time.Second)
	relay, other := SimulateControl(size, warmup, seconds)
	ticks := float64(time.Second / state.TickPeriod)
	add("relay bytes", hosts, float64(relay.Sent+relay.Received), "B/s")
	add("relay sent", hosts, float64(relay.Sent), "B/s")
	add("host bytes", hosts, float64(other.Sent+other.Received), "B/s")
	add("relay cpu", hosts, (relay.CPU.Seconds()+ticks*relay.PlanTime.Seconds())*1e6, "us/s")
	add("host cpu", hosts, (other.CPU.Seconds()+ticks*other.PlanTime.Seconds())*1e6, "us/s")
	add("plan", hosts, relay.PlanTime.Seconds()*1e6, "us")
	for _, message := range []string{"heartbeat", "heartbeat answer", "exchange", "exchange answer"} {
		add("relay "+message, hosts, float64(relay.BytesByMessage[message]), "B/s")
	}
}

// heapGrowth builds a value and returns it with the heap bytes it occupies.
func heapGrowth(build func() any) (any, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measureDocument measures the size of the configuration, the cost of a change, and the memory of a host's state and plan.
func measureDocument(size Size, add addRow) {
	hosts := float64(size.Domains * size.Hosts)
	doc := Document(size)
	data, _ := json.Marshal(doc)
	add("document", hosts, float64(len(data)), "B")
	change := spec.Change{Drains: []spec.Drain{{Kind: spec.DrainUpstream, Name: "up-domain-1-7"}}}
	begin := time.Now()
	next, err := doc.Apply(change, "0123456789abcdef")
	if err != nil {
		return
	}
	add("apply", hosts, time.Since(begin).Seconds()*1e6, "us")
	changes, _ := next.Since(doc.Revision)
	entry, _ := json.Marshal(changes)
	add("change", hosts, float64(len(entry)), "B")
	notice := peer.ControlMessageSize(state.NoticeReceived{Seat: "d0-0", Revision: next.Revision, Changes: changes})
	add("relay change", hosts, float64(size.Hosts-1)*float64(notice+emptyAnswerSize), "B")
	self := plan.Identity{Seat: "d0-0", Domain: "domain-0", Region: "region-0"}
	kept, bytes := heapGrowth(func() any {
		st := state.New(self)
		state.Apply(st, state.DocumentReceived{Doc: Document(size)}, time.Unix(100_000, 0))
		return []any{st, state.Plan(st, time.Unix(100_000, 0))}
	})
	add("state", hosts, bytes, "B")
	runtime.KeepAlive([]any{kept, doc, next, data, entry})
}

// emptyAnswerSize is the size of an answer without content, in bytes.
const emptyAnswerSize = 46

// nanosPerCall returns the mean time of a call in nanoseconds.
func nanosPerCall(n int, call func(i int)) float64 {
	begin := time.Now()
	for i := range n {
		call(i)
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(n)
}

// measureDecisions measures the time of a lookup and of a routing decision among a number of sites.
func measureDecisions(sites int, add addRow) {
	var lookup plan.Lookup
	for i := range sites {
		lookup.Sites = append(lookup.Sites, rendez.NewSite(fmt.Sprint("site-", i), 1))
	}
	sum := 0
	buf := make([]int, 0, plan.MaxLookupHosts)
	add("look-up", float64(sites), nanosPerCall(200_000_000/sites/1000, func(i int) { sum += lookup.Pick(uint64(i), buf)[0] }), "ns")
	p := &plan.Plan{Self: plan.Identity{Region: "r0"}, Links: map[string]share.Quota{}}
	for i := range max(1, sites/9) {
		region := fmt.Sprint("r", i%25)
		p.Links[region] = share.Quota{Floor: 1}
		p.Domains = append(p.Domains, plan.Domain{
			Name: fmt.Sprint("d", i), Region: region, Delay: time.Duration(i) * time.Millisecond, Hosts: []spec.Seat{{Name: "h"}},
			Loads: map[string]plan.Load{"svc": {Slots: 100, Busy: 50}},
		})
	}
	p.Services = map[string]*plan.Service{"svc": {}}
	p.SetSites()
	now := time.Unix(100_000, 0)
	var out []pipe.Target
	add("route", float64(sites), nanosPerCall(200_000, func(i int) {
		out = route.SelectTargets(now, p, route.Query{Service: "svc", Hash: uint64(i)}, out[:0], 1)
		sum += len(out)
	}), "ns")
	runtime.KeepAlive(sum)
}

// measureBlockTable measures the table that maps blocks of callers to sites: building, memory, a weight change, lookups.
func measureBlockTable(blocks int, add addRow) {
	var sites []rendez.Site
	for i := range 890 {
		sites = append(sites, rendez.NewSite(fmt.Sprint("site-", i), 1))
	}
	scale := float64(blocks)
	begin := time.Now()
	value, bytes := heapGrowth(func() any { return rendez.NewTable(blocks, sites) })
	table := value.(*rendez.Table)
	add("table build", scale, time.Since(begin).Seconds()*1e3, "ms")
	add("table memory", scale, bytes, "B")
	begin = time.Now()
	changed := table.WithWeight(17, 0.5)
	add("table change", scale, time.Since(begin).Seconds()*1e3, "ms")
	moved := 0
	for block := range table.Winner {
		if table.Winner[block] != changed.Winner[block] {
			moved++
		}
	}
	ideal := scale / 890 / 2
	add("table moved", scale, float64(moved)/ideal, "of ideal")
	add("table look-up", scale, nanosPerCall(5_000_000, func(i int) { moved += table.Lookup(uint64(i) * 0x9e3779b97f4a7c15) }), "ns")
}

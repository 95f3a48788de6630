package deal

import (
	"maps"
	"slices"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Demand is the work that is offered in one region, in slots, by service.
type Demand map[string]float64

// Loans says which region uses an upstream that is not its own, by upstream.
type Loans map[string]string

// Input is what a deal depends on.
type Input struct {
	Regions   []string                      // Those with live hosts, sorted.
	Upstreams map[string][]*roster.Upstream // By service.
	Demand    map[string]Demand             // By region.
	Held      Loans                         // The loans in force; they change as little as need be.
	Down      map[string]bool               // Upstreams that can't be used.
}

const (
	// headroom is how many slots a region needs for each slot of its demand, so that few jobs wait.
	headroom = 1.25
	// needLeast is the need of a region without demand, in slots.
	needLeast = 1
	// moveMost is the part of its need that a region may gain or lose in one deal; one upstream at the least.
	moveMost = 0.06
	// busyStart is how busy a service is taken to be, by all regions alike, before any demand is known.
	busyStart = 0.8
	// keepMargin is how far over its need a borrower is when it gives an upstream back, in slots.
	keepMargin = 1.5
)

// Deal returns the loans that cover the regions' needs. Once there are callers, each deal moves a small part of
// what a region uses: its callers must not move to another region all at once.
func Deal(in Input) Loans {
	out := Loans{}
	for _, service := range slices.Sorted(maps.Keys(in.Upstreams)) {
		t := newTable(&in, service)
		t.giveBack()
		for t.lend() {
			continue
		}
		maps.Copy(out, t.loans)
	}
	return out
}

// table is the deal of one service.
type table struct {
	regions []string
	ups     []*roster.Upstream
	loans   Loans
	has     map[string]float64 // Slots in use by region.
	need    map[string]float64
	left    map[string]int // Upstreams that a region may still gain or lose.
}

func newTable(in *Input, service string) *table {
	t := &table{regions: in.Regions, loans: Loans{}, has: map[string]float64{}, need: map[string]float64{}, left: map[string]int{}}
	t.needs(in, service)
	for _, u := range in.Upstreams[service] {
		if in.Down[u.ID] {
			continue
		}
		t.ups = append(t.ups, u)
		to := u.Region
		if held, ok := in.Held[u.ID]; ok && slices.Contains(in.Regions, held) && held != u.Region {
			t.loans[u.ID] = held
			to = held
		}
		t.has[to] += float64(u.Slots)
	}
	return t
}

// needs works out what each region needs of a service, and how much of it may change.
func (t *table) needs(in *Input, service string) {
	slots, known := 0.0, false
	for _, u := range in.Upstreams[service] {
		slots += float64(u.Slots)
	}
	for _, r := range in.Regions {
		_, ok := in.Demand[r][service]
		known = known || ok
	}
	mean := slots / float64(max(1, len(in.Upstreams[service])))
	for _, r := range in.Regions {
		if !known {
			t.need[r] = busyStart * slots / float64(len(in.Regions))
			t.left[r] = len(in.Upstreams[service])
			continue
		}
		t.need[r] = headroom*in.Demand[r][service] + needLeast
		t.left[r] = max(1, int(moveMost*t.need[r]/max(1, mean)))
	}
}

// giveBack ends loans that the borrower does not need any more, or that the lender needs more.
func (t *table) giveBack() {
	for _, u := range t.ups {
		to, lent := t.loans[u.ID]
		if !lent {
			continue
		}
		slots := float64(u.Slots)
		spare := t.has[to] - slots - t.need[to]
		short := t.need[u.Region] - t.has[u.Region]
		if t.left[to] == 0 || spare < keepMargin && (short <= 0 || t.lack(u.Region) <= t.lack(to)) {
			continue
		}
		t.left[to]--
		delete(t.loans, u.ID)
		t.has[to] -= slots
		t.has[u.Region] += slots
	}
}

// lack returns how short of slots a region is, as a part of its need.
func (t *table) lack(region string) float64 { return 1 - t.has[region]/max(needLeast, t.need[region]) }

// lend gives the region that is shortest of slots an upstream of the region that can best spare it; it reports
// false when there is nothing to lend.
func (t *table) lend() bool {
	to := ""
	for _, r := range t.regions {
		if t.left[r] > 0 && t.has[r] < t.need[r] && (to == "" || t.lack(r) > t.lack(to)) {
			to = r
		}
	}
	best := t.spare(to)
	if to == "" || best == nil {
		return false
	}
	t.left[to]--
	t.loans[best.ID] = to
	t.has[best.Region] -= float64(best.Slots)
	t.has[to] += float64(best.Slots)
	return true
}

// spare returns the upstream that a region can best spare for another, or nil.
func (t *table) spare(to string) *roster.Upstream {
	var best *roster.Upstream
	most := 0.0
	for _, u := range t.ups {
		if _, lent := t.loans[u.ID]; lent || u.Region == to || u.Cold > 0 {
			continue
		}
		left := t.has[u.Region] - float64(u.Slots) - t.need[u.Region]
		if left < 0 {
			continue
		}
		score := left + rendez.Score(rendez.Hash(to), rendez.NewSite(u.ID, 1))/scoreScale
		if best == nil || score > most {
			best, most = u, score
		}
	}
	return best
}

// scoreScale makes a rendezvous score decide only between upstreams of one region.
const scoreScale = 1e6

// Ask is what a region tells when it asks for loans.
type Ask struct {
	Region string   `json:"region"`
	Demand Demand   `json:"demand"` // Of the services that the asking host places.
	Down   []string `json:"down"`
	Held   Loans    `json:"held"`
}

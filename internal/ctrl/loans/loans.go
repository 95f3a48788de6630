package loans

import (
	"maps"
	"slices"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Demand is the load offered in one region, in slots, by service.
type Demand map[string]float64

// Loans maps the ID of each lent upstream to the region that uses it.
type Loans map[string]string

// Input is the input of a plan.
type Input struct {
	Regions     []string                      // Regions with live hosts, sorted.
	Upstreams   map[string][]*roster.Upstream // By service.
	Demand      map[string]Demand             // By region.
	Loans       Loans                         // Current loans; the plan changes as few of them as possible.
	Unavailable map[string]bool               // Upstreams that can't serve requests, by ID.
}

const (
	// headroom is the number of slots a region needs per slot of demand, so that few jobs wait.
	headroom = 1.25
	// minNeed is the number of slots that a region needs on top of its demand with headroom, and so its need without demand.
	minNeed = 1
	// maxMoveShare is the share of its need that a region may gain or lose in one plan. It may always gain or lose one
	// upstream.
	maxMoveShare = 0.06
	// initialUtilization is the assumed utilization of a service, spread evenly over the regions, until demand is known.
	initialUtilization = 0.8
	// returnMargin is the surplus, in slots, that a borrower must keep when it returns an upstream unasked.
	returnMargin = 1.5
)

// Plan plans the loans that cover the regions' needs. Once demand is known, each plan moves only a small share of a
// region's slots, so that its callers don't move to another region all at once.
func Plan(in Input) Loans {
	out := Loans{}
	for _, service := range slices.Sorted(maps.Keys(in.Upstreams)) {
		p := newPlanner(&in, service)
		p.returnLoans()
		for p.lendOne() {
			continue
		}
		maps.Copy(out, p.loans)
	}
	return out
}

// planner plans the loans of one service.
type planner struct {
	regions   []string
	upstreams []*roster.Upstream
	loans     Loans
	supply    map[string]float64 // Slots that a region can use, by region.
	need      map[string]float64 // Slots that a region should have, by region.
	moves     map[string]int     // Upstreams that a region may still gain or lose, by region.
}

func newPlanner(in *Input, service string) *planner {
	p := &planner{regions: in.Regions, loans: Loans{}, supply: map[string]float64{}, need: map[string]float64{}, moves: map[string]int{}}
	p.computeNeeds(in, service)
	for _, u := range in.Upstreams[service] {
		if in.Unavailable[u.ID] {
			continue
		}
		p.upstreams = append(p.upstreams, u)
		user := u.Region
		if held, ok := in.Loans[u.ID]; ok && slices.Contains(in.Regions, held) && held != u.Region {
			p.loans[u.ID] = held
			user = held
		}
		p.supply[user] += float64(u.Slots)
	}
	return p
}

// computeNeeds sets the slots that each region needs and the number of upstreams that it may gain or lose.
func (p *planner) computeNeeds(in *Input, service string) {
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
			p.need[r] = initialUtilization * slots / float64(len(in.Regions))
			p.moves[r] = len(in.Upstreams[service])
			continue
		}
		p.need[r] = headroom*in.Demand[r][service] + minNeed
		p.moves[r] = max(1, int(maxMoveShare*p.need[r]/max(1, mean)))
	}
}

// returnLoans ends loans that the borrower no longer needs, or that the lender needs more.
func (p *planner) returnLoans() {
	for _, u := range p.upstreams {
		borrower, lent := p.loans[u.ID]
		if !lent {
			continue
		}
		slots := float64(u.Slots)
		surplus := p.supply[borrower] - slots - p.need[borrower]
		deficit := p.need[u.Region] - p.supply[u.Region]
		if p.moves[borrower] == 0 || surplus < returnMargin && (deficit <= 0 || p.shortage(u.Region) <= p.shortage(borrower)) {
			continue
		}
		p.moves[borrower]--
		delete(p.loans, u.ID)
		p.supply[borrower] -= slots
		p.supply[u.Region] += slots
	}
}

// shortage returns the share of a region's need that its supply doesn't cover.
func (p *planner) shortage(region string) float64 {
	return 1 - p.supply[region]/max(minNeed, p.need[region])
}

// lendOne lends the region with the largest shortage an upstream of the region with the largest surplus; it returns
// false when there is nothing to lend.
func (p *planner) lendOne() bool {
	borrower := ""
	for _, r := range p.regions {
		if p.moves[r] > 0 && p.supply[r] < p.need[r] && (borrower == "" || p.shortage(r) > p.shortage(borrower)) {
			borrower = r
		}
	}
	best := p.pickUpstream(borrower)
	if borrower == "" || best == nil {
		return false
	}
	p.moves[borrower]--
	p.loans[best.ID] = borrower
	p.supply[best.Region] -= float64(best.Slots)
	p.supply[borrower] += float64(best.Slots)
	return true
}

// pickUpstream returns an upstream of the region with the largest surplus, or nil if no other region has one to spare.
// Upstreams that are cold or already lent are left out.
func (p *planner) pickUpstream(borrower string) *roster.Upstream {
	var best *roster.Upstream
	bestScore := 0.0
	for _, u := range p.upstreams {
		if _, lent := p.loans[u.ID]; lent || u.Region == borrower || u.Cold > 0 {
			continue
		}
		surplus := p.supply[u.Region] - float64(u.Slots) - p.need[u.Region]
		if surplus < 0 {
			continue
		}
		score := surplus + rendez.Score(rendez.Hash(borrower), rendez.NewSite(u.ID, 1))/scoreDivisor
		if best == nil || score > bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// scoreDivisor scales rendezvous scores down, so that they only break ties between upstreams of one region.
const scoreDivisor = 1e6

// Request is a host's request for loans, with the demand of its region.
type Request struct {
	Region      string   `json:"region"`
	Demand      Demand   `json:"demand"` // Only services whose jobs the requesting host places.
	Unavailable []string `json:"down"`
	Loans       Loans    `json:"held"`
}

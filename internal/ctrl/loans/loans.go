package loans

import (
	"maps"
	"slices"
	"strings"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Demand is the load offered in one pool, in slots, by service.
type Demand map[string]float64

// Loans maps the ID of each lent upstream to the pool that uses it.
type Loans map[string]string

// Input is the input of a plan.
type Input struct {
	Pools       map[string][]string           // By service: the pools with live hosts, sorted.
	PoolOf      func(*roster.Upstream) string // Returns the pool to which an upstream belongs while it is not lent.
	Upstreams   map[string][]*roster.Upstream // By service.
	Demand      map[string]Demand             // By pool.
	Loans       Loans                         // Current loans; the plan changes as few of them as possible.
	Unavailable map[string]bool               // Upstreams that can't serve requests, by ID.
	Credits     Credits                       // Updated by the plan; nil for no limit.
}

const (
	// headroom is the number of slots a region needs per slot of demand, so that few jobs wait.
	headroom = 1.25
	// surplusShare is the share of the slots beyond all needs that is shared in proportion to the needs. Jobs wait for the
	// upstreams that cache their objects long before all slots are taken, so a region with few upstreams keeps callers waiting while
	// others are half idle.
	surplusShare = 0.5
	// maxSurplus bounds the slots that a pool gets this way, as a multiple of its need. With less than 0.6 of the slots taken hardly any
	// job waits; more slots would only add traffic between regions.
	maxSurplus = 0.4
	// minNeed is the number of slots that a pool needs on top of its demand with headroom, and so its need without demand.
	minNeed = 1
	// maxMoveShare is the share of its need that a pool may gain or lose in one plan. It may always gain or lose one
	// upstream.
	maxMoveShare = 0.06
	// initialUtilization is the assumed utilization of a service, spread evenly over the pools, until demand is known.
	initialUtilization = 0.8
	// returnMargin is the surplus, in slots, that a borrower must keep when it returns an upstream unasked.
	returnMargin = 1.5
)

// Plan plans the loans that cover the pools' needs. Once demand is known, each plan moves only a small share of a
// pool's slots, so that a region's callers don't move to another region all at once.
func Plan(in Input) Loans {
	out := Loans{}
	slots := regionSlots(&in)
	for _, service := range slices.Sorted(maps.Keys(in.Upstreams)) {
		p := newPlanner(&in, service)
		p.slots = slots
		p.returnLoans()
		for p.lendOne() {
			continue
		}
		maps.Copy(out, p.loans)
	}
	return out
}

// regionSlots returns the slots of all services that each region uses.
func regionSlots(in *Input) map[string]float64 {
	slots := map[string]float64{}
	for _, list := range in.Upstreams {
		for _, u := range list {
			region := u.Region
			if held, ok := in.Loans[u.ID]; ok {
				region = regionOf(held)
			}
			slots[region] += float64(u.Slots)
		}
	}
	return slots
}

// regionOf returns the region of a pool.
func regionOf(pool string) string {
	region, _, _ := strings.Cut(pool, "/")
	return region
}

// planner plans the loans of one service.
type planner struct {
	pools     []string
	poolOf    func(*roster.Upstream) string
	upstreams []*roster.Upstream
	loans     Loans
	supply    map[string]float64 // Slots that a pool can use, by pool.
	need      map[string]float64 // Slots that a pool should have, by pool.
	moves     map[string]int     // Upstreams that a pool may still gain or lose, by pool.
	credits   Credits            // Nil for no limit.
	slots     map[string]float64 // Slots of all services that a region uses, by region.
}

func newPlanner(in *Input, service string) *planner {
	p := &planner{
		pools: in.Pools[service], poolOf: in.PoolOf, loans: Loans{},
		supply: map[string]float64{}, need: map[string]float64{}, moves: map[string]int{}, credits: in.Credits,
	}
	for _, u := range in.Upstreams[service] {
		if in.Unavailable[u.ID] {
			continue
		}
		p.upstreams = append(p.upstreams, u)
		user := p.poolOf(u)
		if held, ok := in.Loans[u.ID]; ok && slices.Contains(p.pools, held) && held != user {
			p.loans[u.ID] = held
			user = held
		}
		p.supply[user] += float64(u.Slots)
	}
	p.computeNeeds(in, service)
	return p
}

// computeNeeds sets the slots that each pool needs and the number of upstreams that it may gain or lose.
func (p *planner) computeNeeds(in *Input, service string) {
	slots, known := 0.0, false
	for _, u := range in.Upstreams[service] {
		slots += float64(u.Slots)
	}
	for _, pool := range p.pools {
		_, ok := in.Demand[pool][service]
		known = known || ok
	}
	mean := slots / float64(max(1, len(in.Upstreams[service])))
	for _, pool := range p.pools {
		if !known {
			p.credits = nil
			p.need[pool] = initialUtilization * slots / float64(len(p.pools))
			p.moves[pool] = len(in.Upstreams[service])
			continue
		}
		p.need[pool] = headroom*in.Demand[pool][service] + minNeed
		p.moves[pool] = max(1, int(maxMoveShare*p.need[pool]/max(1, mean)))
	}
	p.shareSlots()
}

// shareSlots scales the needs to the slots that there are. It answers overload of all pools, which then falls on all alike and not on
// those with the fewest upstreams, and callers of a region with few upstreams while other regions have slots to spare.
func (p *planner) shareSlots() {
	supply, need := 0.0, 0.0
	for _, pool := range p.pools {
		supply += p.supply[pool]
		need += p.need[pool]
	}
	if need > supply {
		for _, pool := range p.pools {
			p.need[pool] *= supply / need
		}
		return
	}
	p.shareSurplus(1 + min(maxSurplus, surplusShare*(supply-need)/need))
}

// shareSurplus raises the needs of the regions whose own slots are less than the given multiple of their need.
func (p *planner) shareSurplus(factor float64) {
	own, need := map[string]float64{}, map[string]float64{}
	for _, u := range p.upstreams {
		own[u.Region] += float64(u.Slots)
	}
	for _, pool := range p.pools {
		need[regionOf(pool)] += p.need[pool]
	}
	for _, pool := range p.pools {
		if region := regionOf(pool); own[region] < factor*need[region] {
			p.need[pool] *= factor
		}
	}
}

// returnLoans ends loans that the borrower no longer needs, or that the lender needs more.
func (p *planner) returnLoans() {
	for _, u := range p.upstreams {
		borrower, lent := p.loans[u.ID]
		if !lent {
			continue
		}
		slots, lender := float64(u.Slots), p.poolOf(u)
		surplus := p.supply[borrower] - slots - p.need[borrower]
		deficit := p.need[lender] - p.supply[lender]
		if p.moves[borrower] == 0 || surplus < returnMargin && (deficit <= 0 || p.shortage(lender) <= p.shortage(borrower)) {
			continue
		}
		if !p.mayReturn(u, borrower) {
			continue
		}
		p.moves[borrower]--
		delete(p.loans, u.ID)
		p.supply[borrower] -= slots
		p.supply[lender] += slots
	}
}

// shortage returns the share of a pool's need that its supply doesn't cover.
func (p *planner) shortage(pool string) float64 {
	return 1 - p.supply[pool]/max(minNeed, p.need[pool])
}

// lendOne lends the pool with the largest shortage an upstream of the pool with the largest surplus; it returns
// false when there is nothing to lend.
func (p *planner) lendOne() bool {
	borrower := ""
	for _, pool := range p.pools {
		if p.moves[pool] > 0 && p.supply[pool] < p.need[pool] && (borrower == "" || p.shortage(pool) > p.shortage(borrower)) {
			borrower = pool
		}
	}
	if borrower == "" {
		return false
	}
	best := p.pickUpstream(borrower)
	if best == nil {
		p.moves[borrower] = 0 // Others may still find a lender in their own region.
		return true
	}
	p.moves[borrower]--
	p.loans[best.ID] = borrower
	p.supply[p.poolOf(best)] -= float64(best.Slots)
	p.supply[borrower] += float64(best.Slots)
	return true
}

// pickUpstream returns an upstream of the pool with the largest surplus, preferably of the borrower's own region, or nil
// if no other pool has one to spare. Upstreams that are cold or already lent are left out.
func (p *planner) pickUpstream(borrower string) *roster.Upstream {
	var best *roster.Upstream
	bestNear, bestScore := false, 0.0
	region := regionOf(borrower)
	key := rendez.Hash(borrower)
	for _, u := range p.upstreams {
		lender := p.poolOf(u)
		if _, lent := p.loans[u.ID]; lent || lender == borrower || u.Cold > 0 {
			continue
		}
		surplus := p.supply[lender] - float64(u.Slots) - p.need[lender]
		if surplus < 0 {
			continue
		}
		near := u.Region == region
		score := surplus + rendez.Score(key, rendez.NewSite(u.ID, 1))/scoreDivisor
		if best == nil || near && !bestNear || near == bestNear && score > bestScore {
			best, bestNear, bestScore = u, near, score
		}
	}
	return best
}

// scoreDivisor scales rendezvous scores down, so that they only break ties between upstreams of one pool.
const scoreDivisor = 1e6

// Request is a host's request for loans, with the demand of the pools whose jobs it places.
type Request struct {
	Region      string   `json:"region"`
	Domain      string   `json:"domain"`
	Demand      Demand   `json:"demand"` // Only services whose jobs the requesting host places.
	Unavailable []string `json:"down"`
	Loans       Loans    `json:"held"`
}

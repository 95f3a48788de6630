package watch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/loans"
)

const (
	// demandTTL is how long a region's reported demand stays valid: several report intervals.
	demandTTL = 3 * time.Second
	// minPlanInterval is the minimum time between two loan plans; each plan moves only a few upstreams, so it bounds
	// how fast loans change.
	minPlanInterval = time.Second
	// loansTTL is how long loans stay valid without a refresh; after that each region uses its own upstreams.
	loansTTL = 3 * time.Second
)

// LoanRequest is a host's request for the current loans, with the demand of the pools whose jobs it places.
type LoanRequest struct {
	Request loans.Request
	Reply   chan loans.Loans
}

// LoansReceived carries the loans that this host received from the planning host.
type LoansReceived struct{ Loans loans.Loans }

func (LoanRequest) event()   {}
func (LoansReceived) event() {}

// poolDemand is the last demand that was reported for a pool of a service.
type poolDemand struct {
	slots       float64
	trend       float64 // Slots a second.
	unavailable []string
	receivedAt  time.Time
}

const (
	// demandLead is how far ahead loans are planned: until a loan takes effect, it has to be planned, fetched and warmed up.
	demandLead = 2 * time.Second
	// trendWeight is the weight of the newest change in the trend. The reported demand is itself an average over 1.5 s.
	trendWeight = 0.6
	// maxTrendShare bounds what the trend adds, as a share of the demand.
	maxTrendShare = 0.3
	// trendNoise is the number of standard deviations of a demand that a change must exceed: the number of busy slots varies by chance.
	trendNoise = 0.55
)

// update returns the demand with a newer report.
func (d poolDemand) update(slots float64, unavailable []string, now time.Time) poolDemand {
	next := poolDemand{slots: slots, unavailable: unavailable, receivedAt: now}
	elapsed := now.Sub(d.receivedAt)
	if d.receivedAt.IsZero() || elapsed <= 0 || elapsed > demandTTL {
		return next
	}
	next.trend = d.trend + trendWeight*((slots-d.slots)/elapsed.Seconds()-d.trend)
	return next
}

// expected returns the demand for which loans are planned. It answers callers who move to another region within seconds, and
// demand that rises and falls in waves: without the trend, room arrives when they have already waited. A falling demand gives
// room back only when it has fallen.
func (d poolDemand) expected() float64 {
	ahead := d.trend * demandLead.Seconds()
	if ahead < trendNoise*math.Sqrt(d.slots) {
		return d.slots
	}
	return d.slots + min(ahead, maxTrendShare*d.slots)
}

// loanState holds the reported demand and the loans of upstreams between regions.
type loanState struct {
	demands    map[[2]string]poolDemand // By pool and service.
	computed   loans.Loans              // Result of this host's last plan, or the requesters' loans before that.
	computedAt time.Time
	resumedAt  time.Time // When this host began to collect the loans in use, because it had no recent plan.
	credits    loans.Credits
	active     loans.Loans // Used by this host.
	activeAt   time.Time
}

// answerLoanRequest records the demand of a host's pools and returns the loans that concern them. It plans anew after
// minPlanInterval. A host without a recent plan first collects the loans that the requesters use.
func (s *State) answerLoanRequest(req loans.Request, now time.Time) loans.Loans {
	for service, slots := range req.Demand {
		pool := roster.PoolName(s.domainPools[service], req.Region, req.Domain)
		key := [2]string{pool, service}
		s.demands[key] = s.demands[key].update(slots, req.Unavailable, now)
	}
	if now.Sub(s.computedAt) > loansTTL && now.Sub(s.resumedAt) > loansTTL {
		s.computed, s.resumedAt = loans.Loans{}, now
	}
	collecting := now.Sub(s.resumedAt) < minPlanInterval
	if collecting {
		maps.Copy(s.computed, req.Loans)
	}
	if !collecting && now.Sub(s.computedAt) >= minPlanInterval {
		in := s.planInput(now)
		regions := map[string]bool{}
		for _, h := range s.hosts {
			regions[h.Region] = true
		}
		in.Credits.Earn(now.Sub(s.computedAt), slices.Collect(maps.Keys(regions)))
		s.computed, s.computedAt = loans.Plan(in), now
	}
	return s.loansOf(req.Region, req.Domain)
}

// loansOf returns the loans to or from the pools of a failure domain and its region.
func (s *State) loansOf(region, domain string) loans.Loans {
	out := loans.Loans{}
	for id, to := range s.computed {
		u, known := s.upstreams[id]
		if known && (u.Region == region || to == region || to == roster.PoolName(true, region, domain)) {
			out[id] = to
		}
	}
	return out
}

// planInput builds the input of a plan from the current state and drops expired demand.
func (s *State) planInput(now time.Time) loans.Input {
	v := s.View(now)
	in := loans.Input{
		Pools: map[string][]string{}, PoolOf: v.PoolOf, Upstreams: v.Upstreams, Demand: map[string]loans.Demand{}, Loans: s.computed,
		Unavailable: map[string]bool{}, Credits: s.credits,
	}
	for service := range in.Upstreams {
		pools := map[string]bool{}
		for _, h := range s.hosts {
			pools[roster.PoolName(s.domainPools[service], h.Region, h.Domain)] = true
		}
		in.Pools[service] = slices.Sorted(maps.Keys(pools))
	}
	for k, d := range s.demands {
		if now.Sub(d.receivedAt) > demandTTL {
			delete(s.demands, k)
			continue
		}
		if in.Demand[k[0]] == nil {
			in.Demand[k[0]] = loans.Demand{}
		}
		in.Demand[k[0]][k[1]] = d.expected()
		for _, id := range d.unavailable {
			in.Unavailable[id] = true
		}
	}
	return in
}

// activeLoans returns the loans in use, or none if they were not refreshed within loansTTL.
func (s *State) activeLoans(now time.Time) loans.Loans {
	if now.Sub(s.activeAt) > loansTTL {
		return nil
	}
	return s.active
}

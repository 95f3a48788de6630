package watch

import (
	"maps"
	"slices"
	"time"

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

// LoanRequest is a host's request for the current loans, with its region's demand.
type LoanRequest struct {
	Request loans.Request
	Reply   chan loans.Loans
}

// LoansReceived carries the loans that this host received from the planning host.
type LoansReceived struct{ Loans loans.Loans }

func (LoanRequest) event()   {}
func (LoansReceived) event() {}

// regionDemand is the last demand that a region reported for a service.
type regionDemand struct {
	slots       float64
	unavailable []string
	receivedAt  time.Time
}

// loanState holds the reported demand and the loans of upstreams between regions.
type loanState struct {
	demands    map[[2]string]regionDemand // By region and service.
	computed   loans.Loans                // Result of this host's last plan, or the requester's loans before that.
	computedAt time.Time
	active     loans.Loans // Used by this host.
	activeAt   time.Time
}

// answerLoanRequest records a region's demand and returns the loans, which it plans anew after minPlanInterval.
func (s *State) answerLoanRequest(req loans.Request, now time.Time) loans.Loans {
	for service, slots := range req.Demand {
		s.demands[[2]string{req.Region, service}] = regionDemand{slots: slots, unavailable: req.Unavailable, receivedAt: now}
	}
	if now.Sub(s.computedAt) < minPlanInterval {
		return s.computed
	}
	if now.Sub(s.computedAt) > loansTTL {
		s.computed = req.Loans // No recent plan on this host: continue from the loans that the requester uses.
	}
	s.computed, s.computedAt = loans.Plan(s.planInput(now)), now
	return s.computed
}

// planInput builds the input of a plan from the current state and drops expired demand.
func (s *State) planInput(now time.Time) loans.Input {
	in := loans.Input{Upstreams: s.usableUpstreams(now), Demand: map[string]loans.Demand{}, Loans: s.computed, Unavailable: map[string]bool{}}
	regions := map[string]bool{}
	for _, h := range s.hosts {
		regions[h.Region] = true
	}
	in.Regions = slices.Sorted(maps.Keys(regions))
	for k, d := range s.demands {
		if now.Sub(d.receivedAt) > demandTTL {
			delete(s.demands, k)
			continue
		}
		if in.Demand[k[0]] == nil {
			in.Demand[k[0]] = loans.Demand{}
		}
		in.Demand[k[0]][k[1]] = d.slots
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

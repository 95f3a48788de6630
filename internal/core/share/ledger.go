package share

import (
	"maps"
	"slices"
	"time"
)

// DefaultLoanTTL is the longest duration of a loan, unless Ledger.LoanTTL is changed.
const DefaultLoanTTL = 4 * time.Second

// Grant is a loan of units by resource, with the time until it expires, counted from when it was granted.
type Grant struct {
	Units map[string]int64
	TTL   time.Duration
}

// loan is a grant with its deadline on the lender's clock.
type loan struct {
	units map[string]int64
	until time.Time
}

// Ledger records the loans from the pools of one failure domain. A new lender starts with an empty ledger: each loan
// ends within its lender's lease, and a new lease begins only after the previous one has ended.
type Ledger struct {
	Pools   map[string]int64 // Units by resource.
	LoanTTL time.Duration    // The longest duration of a loan.
	loans   map[string][]loan
}

// NewLedger returns a ledger without pools or loans.
func NewLedger() *Ledger {
	return &Ledger{Pools: map[string]int64{}, LoanTTL: DefaultLoanTTL, loans: map[string][]loan{}}
}

// SetPools replaces the pools; loans that exceed a smaller pool stay until they expire.
func (l *Ledger) SetPools(pools map[string]int64) { l.Pools = pools }

// Outstanding returns the units of a resource that holders other than except may still use. It counts the largest
// unexpired loan of each holder, which may not have received the latest one yet.
func (l *Ledger) Outstanding(resource, except string, now time.Time) int64 {
	var sum int64
	for holder, loans := range l.loans {
		if holder == except {
			continue
		}
		var largest int64
		for _, ln := range loans {
			if now.Before(ln.until) {
				largest = max(largest, ln.units[resource])
			}
		}
		sum += largest
	}
	return sum
}

// Lend grants a holder an even share of each pool, limited to the units that are not on loan to others. It lends
// nothing without a valid lease, and for no longer than the lease lasts.
func (l *Ledger) Lend(holder string, lease Lease, now time.Time) Grant {
	left := min(l.LoanTTL, lease.Remaining(now))
	if left <= 0 {
		return Grant{}
	}
	l.removeExpired(now)
	names := l.holderNames(holder)
	index := slices.Index(names, holder)
	g := Grant{Units: make(map[string]int64, len(l.Pools)), TTL: left}
	for res, pool := range l.Pools {
		evenShare := Split(res, pool, names)[index]
		g.Units[res] = max(0, min(evenShare, pool-l.Outstanding(res, holder, now)))
	}
	l.loans[holder] = append(l.loans[holder], loan{units: g.Units, until: now.Add(left)})
	return g
}

// removeExpired drops expired loans, and holders without loans.
func (l *Ledger) removeExpired(now time.Time) {
	for holder, loans := range l.loans {
		loans = slices.DeleteFunc(loans, func(ln loan) bool { return !now.Before(ln.until) })
		if len(loans) == 0 {
			delete(l.loans, holder)
			continue
		}
		l.loans[holder] = loans
	}
}

// holderNames returns the sorted names of all holders with loans and of the given one.
func (l *Ledger) holderNames(holder string) []string {
	names := slices.Collect(maps.Keys(l.loans))
	if !slices.Contains(names, holder) {
		names = append(names, holder)
	}
	slices.Sort(names)
	return names
}

package share

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPartsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 10_000).Draw(t, "limit")
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		holders := make([]string, rapid.IntRange(0, 40).Draw(t, "holders"))
		for i := range holders {
			holders[i] = fmt.Sprint("h", i)
		}
		floors, pool := FloorsAndPool("r", limit, fraction, holders)
		sum := pool
		for _, f := range floors {
			assert.Assert(t, f >= 0)
			sum += f
		}
		if len(holders) > 0 {
			assert.Equal(t, sum, limit)
		}
	})
}

// poolModel models one pool with its lenders, its holders and the platform's lease. Any process may be paused between two
// steps and then act on data that it read earlier.
type poolModel struct {
	now        time.Time // Current time.
	pool       int64
	leaseUntil time.Time // End of the lease on the platform.
	leaseOwner int       // Session that holds the lease; 0 for none.
	sessions   int       // Number of sessions opened.
	lenders    []lender
	holders    []holder
	replies    []loanReply
}

type lender struct {
	session int
	ledger  *Ledger
	lease   Lease
}

type holder struct {
	quota       Quota
	requestedAt time.Time
}

type loanRequest struct {
	holder int
	at     time.Time
}

type loanReply struct {
	loanRequest
	grant Grant
}

const leaseDuration = 10 * time.Second

// restart replaces a lender with a new process that has its own session.
func (m *poolModel) restart(i int) {
	m.sessions++
	m.lenders[i] = lender{session: m.sessions, ledger: NewLedger()}
}

// checkPool asserts that the holders together use no more than the pool.
func (m *poolModel) checkPool(t *rapid.T) {
	var sum int64
	for _, h := range m.holders {
		sum += h.quota.At(m.now)
	}
	assert.Assert(t, sum <= m.pool, "%d units in use of a pool of %d", sum, m.pool)
}

// renew simulates a lender's renewal of the lease with the platform, whose response may be late or lost.
func (m *poolModel) renew(t *rapid.T) {
	i := rapid.IntRange(0, len(m.lenders)-1).Draw(t, "lender")
	requestedAt := m.now
	m.advance(t)
	l := &m.lenders[i]
	if m.leaseOwner > 0 && m.leaseOwner != l.session && m.now.Before(m.leaseUntil) {
		l.lease = Lease{}
		return
	}
	m.leaseOwner, m.leaseUntil = l.session, m.now.Add(leaseDuration)
	m.advance(t)
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	if !l.lease.Valid(requestedAt) {
		l.ledger = NewLedger()
		l.ledger.SetPools(map[string]int64{"r": m.pool})
	}
	l.lease = Lease{Until: requestedAt.Add(leaseDuration)}
}

// pauses are the durations by which time advances, up to the ends of loans and leases.
var pauses = []time.Duration{0, 0, time.Millisecond, time.Second, DefaultLoanTTL - time.Millisecond, DefaultLoanTTL, leaseDuration - time.Second, leaseDuration - time.Millisecond, leaseDuration}

// advance lets time pass while the acting process is paused.
func (m *poolModel) advance(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom(pauses).Draw(t, "pass"))
}

// requestLoan simulates a holder's request to a lender, whose reply may be delivered late.
func (m *poolModel) requestLoan(t *rapid.T) {
	req := loanRequest{holder: rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder"), at: m.now}
	m.advance(t)
	l := m.lenders[rapid.IntRange(0, len(m.lenders)-1).Draw(t, "lender")]
	m.replies = append(m.replies, loanReply{req, l.ledger.Lend(fmt.Sprint("h", req.holder), l.lease, m.now)})
	if rapid.Bool().Draw(t, "late") {
		return
	}
	m.readReply(t, len(m.replies)-1)
}

// readStoredReply delivers a reply that was delayed, or the same reply once more.
func (m *poolModel) readStoredReply(t *rapid.T) {
	if len(m.replies) > 0 {
		m.readReply(t, rapid.IntRange(0, len(m.replies)-1).Draw(t, "reply"))
	}
}

// readReply delivers a reply to its holder, which ignores it if it has read the reply to a later request.
func (m *poolModel) readReply(t *rapid.T, i int) {
	m.advance(t)
	r := m.replies[i]
	h := &m.holders[r.holder]
	if r.grant.TTL <= 0 || r.at.Before(h.requestedAt) {
		return
	}
	h.requestedAt = r.at
	h.quota = Quota{Lent: r.grant.Units["r"], Until: r.at.Add(r.grant.TTL - ClockDriftMargin)}
}

// Guards against pools that are lent twice after pauses, restarts of lenders, and late, lost or repeated replies.
func TestLoansNeverExceedThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &poolModel{now: time.Unix(1000, 0), pool: rapid.Int64Range(1, 40).Draw(t, "pool"), lenders: make([]lender, 2), holders: make([]holder, 3)}
		for i := range m.lenders {
			m.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         m.checkPool,
			"renew":    m.renew,
			"pass":     m.advance,
			"exchange": m.requestLoan, // Twice, so that loans are requested twice as often.
			"again":    m.requestLoan,
			"take":     m.readStoredReply,
			"restart": func(t *rapid.T) {
				m.restart(rapid.IntRange(0, 1).Draw(t, "lender"))
			},
		})
	})
}

// A new holder gets units only once the other holder's larger loan has expired.
func TestALoanShrinksBeforeAnotherGrows(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger()
	l.SetPools(map[string]int64{"r": 4})
	lease := Lease{Until: now.Add(leaseDuration)}
	assert.Equal(t, l.Lend("a", lease, now).Units["r"], int64(4))
	assert.Equal(t, l.Lend("b", lease, now.Add(time.Second)).Units["r"], int64(0))
	assert.Equal(t, l.Lend("a", lease, now.Add(2*time.Second)).Units["r"], int64(2))
	assert.Equal(t, l.Lend("b", lease, now.Add(3*time.Second)).Units["r"], int64(0))
	assert.Equal(t, l.Lend("b", lease, now.Add(DefaultLoanTTL)).Units["r"], int64(2))
}

// A process that resumes after its loan has expired may use its floor only.
func TestAPausedHolderFallsBackToItsFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	q := Quota{Floor: 1, Lent: 3, Until: now.Add(time.Second)}
	assert.Equal(t, q.At(now), int64(4))
	assert.Equal(t, q.At(now.Add(time.Second)), int64(1))
}

func TestNoLeaseLendsNothing(t *testing.T) {
	l := NewLedger()
	l.SetPools(map[string]int64{"r": 4})
	assert.Equal(t, l.Lend("a", Lease{}, time.Unix(1000, 0)).TTL, time.Duration(0))
}

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
	amount Quota
	asked  time.Time
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
func (w *poolModel) restart(i int) {
	w.sessions++
	w.lenders[i] = lender{session: w.sessions, ledger: NewLedger()}
}

// checkPool asserts that the holders together use no more than the pool.
func (w *poolModel) checkPool(t *rapid.T) {
	var sum int64
	for _, h := range w.holders {
		sum += h.amount.At(w.now)
	}
	assert.Assert(t, sum <= w.pool, "%d units in use of a pool of %d", sum, w.pool)
}

// renew is a lender's call to the platform to renew the lease; the response arrives late or is lost.
func (w *poolModel) renew(t *rapid.T) {
	i := rapid.IntRange(0, len(w.lenders)-1).Draw(t, "lender")
	asked := w.now
	w.advance(t)
	l := &w.lenders[i]
	if w.leaseOwner > 0 && w.leaseOwner != l.session && w.now.Before(w.leaseUntil) {
		l.lease = Lease{}
		return
	}
	w.leaseOwner, w.leaseUntil = l.session, w.now.Add(leaseDuration)
	w.advance(t)
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	if !l.lease.Valid(asked) {
		l.ledger = NewLedger()
		l.ledger.SetPools(map[string]int64{"r": w.pool})
	}
	l.lease = Lease{Until: asked.Add(leaseDuration)}
}

// pauses are the durations by which time advances, up to the ends of loans and leases.
var pauses = []time.Duration{0, 0, time.Millisecond, time.Second, DefaultLoanTTL - time.Millisecond, DefaultLoanTTL, leaseDuration - time.Second, leaseDuration - time.Millisecond, leaseDuration}

// advance lets time pass while the acting process is paused.
func (w *poolModel) advance(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom(pauses).Draw(t, "pass"))
}

// requestLoan is a holder's request and a lender's reply, which may be delivered late.
func (w *poolModel) requestLoan(t *rapid.T) {
	a := loanRequest{holder: rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder"), at: w.now}
	w.advance(t)
	l := w.lenders[rapid.IntRange(0, len(w.lenders)-1).Draw(t, "lender")]
	w.replies = append(w.replies, loanReply{a, l.ledger.Lend(fmt.Sprint("h", a.holder), l.lease, w.now)})
	if rapid.Bool().Draw(t, "late") {
		return
	}
	w.readReply(t, len(w.replies)-1)
}

// readStoredReply delivers a reply that was delayed, or the same reply once more.
func (w *poolModel) readStoredReply(t *rapid.T) {
	if len(w.replies) > 0 {
		w.readReply(t, rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply"))
	}
}

// readReply delivers a reply to its holder, which ignores it if it has read the reply to a later request.
func (w *poolModel) readReply(t *rapid.T, i int) {
	w.advance(t)
	r := w.replies[i]
	h := &w.holders[r.holder]
	if r.grant.TTL <= 0 || r.at.Before(h.asked) {
		return
	}
	h.asked = r.at
	h.amount = Quota{Lent: r.grant.Units["r"], Until: r.at.Add(r.grant.TTL - ClockDriftMargin)}
}

// Guards against pools that are lent twice after pauses, restarts of lenders, and late, lost or repeated replies.
func TestLoansNeverExceedThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &poolModel{now: time.Unix(1000, 0), pool: rapid.Int64Range(1, 40).Draw(t, "pool"), lenders: make([]lender, 2), holders: make([]holder, 3)}
		for i := range w.lenders {
			w.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         w.checkPool,
			"renew":    w.renew,
			"pass":     w.advance,
			"exchange": w.requestLoan,
			"again":    w.requestLoan,
			"take":     w.readStoredReply,
			"restart": func(t *rapid.T) {
				w.restart(rapid.IntRange(0, 1).Draw(t, "lender"))
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
	a := Quota{Floor: 1, Lent: 3, Until: now.Add(time.Second)}
	assert.Equal(t, a.At(now), int64(4))
	assert.Equal(t, a.At(now.Add(time.Second)), int64(1))
}

func TestNoLeaseLendsNothing(t *testing.T) {
	l := NewLedger()
	l.SetPools(map[string]int64{"r": 4})
	assert.Equal(t, l.Lend("a", Lease{}, time.Unix(1000, 0)).TTL, time.Duration(0))
}

package quota

import (
	"maps"
	"math"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/share"
)

const (
	// DrawInterval is the time between two requests of a wallet.
	DrawInterval = 200 * time.Millisecond
	// MinDrawInterval is the time between two requests of a wallet that runs out of tokens. Without such requests, allowed jobs are
	// refused when demand moves at once.
	MinDrawInterval = 100 * time.Millisecond
	// leaseTTL is how long a reserve can be used after the request that renewed it was sent: two intervals, so that one late
	// reply costs nothing.
	leaseTTL = 400 * time.Millisecond
	// contactTTL is the time without contact after which a wallet uses its own share, and an owner no longer counts a part.
	contactTTL = time.Second
	// demandMargin is the reserve relative to the demand of one interval. A reply from a distant region takes half an interval.
	demandMargin = 1.5
	// randomMargin is the reserve for random arrivals, in standard deviations of the jobs of one interval. Without it, small workspaces
	// are refused allowed jobs.
	randomMargin = 2.0
	// demandTimeConstant is the time constant of the demand average: two intervals, because demand moves between regions within
	// two seconds.
	demandTimeConstant = 400 * time.Millisecond
	// grantTimeConstant is the time constant of the average of granted tokens, by which retries are spread.
	grantTimeConstant = time.Second
	// heldDivisor is the number of waiting jobs that count like one token in reserve. Waiting jobs seldom all start at once. If each counted, a
	// workspace with a small burst could not use its rate while its jobs wait long; with 4, a queue that empties at once exceeds the tolerance.
	heldDivisor = 2
	// keepOne is how long after the last job a wallet still holds a token for the next one.
	keepOne = 2 * time.Second
	// minRetry is the shortest time after which a refused caller should retry: the time until the next reply of the owner.
	minRetry = 100 * time.Millisecond
	// retryJitter is the largest part by which a time to retry is extended at random.
	retryJitter = 0.25
)

// Wallet lets in the jobs of one pool by tokens on lease from the owner. It answers demand that moves between pools within two
// seconds (reserves follow demand, unused ones are returned), small workspaces spread over many pools (a job runs on debt
// before a token was granted) and floods (the debt is bounded).
type Wallet struct {
	Pool    string
	Service string
	Jitter  func() float64 // Returns a random number in [0, 1).

	terms       Terms
	accounts    map[string]*account
	lease       share.Lease
	requestedAt time.Time // When the last request was built.
	appliedAt   time.Time // When the last reply arrived.
	unanswered  time.Time // When the first request was built that got no reply; zero if the last one did.
	urgent      bool
}

// account is the state of one workspace.
type account struct {
	balance  int // Tokens in reserve; negative for debt.
	held     int // Tokens of jobs that wait for a slot.
	arrivals int // Jobs since the last request.
	demand   float64
	granted  float64 // Tokens a second.
	lastJob  time.Time
	wanted   int       // Tokens wanted in the last request.
	short    bool      // The owner granted less than was wanted.
	own      level     // The share that is used without contact.
	roomAt   time.Time // When the owner expects room.
	retryAt  time.Time // The time that was given to the caller that was refused last.
	usage    Usage
}

// NewWallet returns an empty wallet.
func NewWallet(pool, service string, terms *Terms, jitter func() float64) *Wallet {
	return &Wallet{Pool: pool, Service: service, Jitter: jitter, terms: *terms, accounts: map[string]*account{}}
}

// SetTerms applies a new policy, new settings or a new size of the fleet; it reduces reserves that exceed a lower limit.
func (w *Wallet) SetTerms(terms *Terms) {
	w.terms = *terms
	maps.DeleteFunc(w.accounts, func(name string, _ *account) bool { return terms.limit(name) == nil })
	for name, a := range w.accounts {
		ws := terms.limit(name)
		a.balance = min(a.balance, int(math.Ceil(ws.Burst+ws.Rate*leaseTTL.Seconds())))
	}
}

// Spend reports whether a job may run. If not, it returns when to try again. The caller calls Started or Refund next.
func (w *Wallet) Spend(now time.Time, workspace string) (bool, time.Duration) {
	ws := w.terms.limit(workspace)
	if ws == nil {
		return true, 0
	}
	a := w.accounts[workspace]
	if a == nil {
		a = &account{}
		w.accounts[workspace] = a
	}
	a.arrivals++
	a.lastJob = now
	if w.requestedAt.IsZero() {
		w.requestedAt = now // Demand is measured from the first job.
	}
	w.expire(now, a)
	debtLimit := w.terms.debtLimit(ws)
	switch {
	case a.balance > 0:
		a.balance--
	case w.takeOwn(now, a, ws):
	case a.balance > -debtLimit:
		a.balance--
		w.urgent = w.urgent || !a.short && -a.balance*2 >= debtLimit
	default:
		a.usage.Refused++
		return false, w.retryAfter(now, a, ws)
	}
	a.held++
	a.usage.Admitted++
	return true, 0
}

// expire drops a reserve whose lease has ended: the owner no longer counts it.
func (w *Wallet) expire(now time.Time, a *account) {
	if a.balance > 0 && !w.lease.Valid(now) {
		a.balance = 0
	}
}

// OutOfContact reports whether this wallet has reached no owner for contactTTL, so that it uses its own share.
func (w *Wallet) OutOfContact(now time.Time) bool {
	return !w.unanswered.IsZero() && now.Sub(w.unanswered) > contactTTL
}

// takeOwn takes a token of the wallet's own share of the limit, which accrues only out of contact.
func (w *Wallet) takeOwn(now time.Time, a *account, ws *policy.Workspace) bool {
	if !w.OutOfContact(now) {
		return false
	}
	if start := w.unanswered.Add(contactTTL); a.own.at.Before(start) {
		a.own = level{at: start}
	}
	part := w.terms.ownShare()
	a.own.grow(now, ws.Rate*part, max(1, ws.Burst*part))
	return a.own.take()
}

// retryAfter returns when a refused job may be let in: each refused job gets the time at which one more token than for the last one
// is expected, so that callers neither return at once nor all together.
func (w *Wallet) retryAfter(now time.Time, a *account, ws *policy.Workspace) time.Duration {
	part := 1 / float64(2*max(1, w.terms.Pools))
	if w.OutOfContact(now) {
		part = w.terms.ownShare()
	}
	gap := time.Duration(float64(time.Second) / max(a.granted, ws.Rate*part))
	at := latest(now.Add(minRetry), a.roomAt, a.retryAt.Add(gap))
	if limit := now.Add(w.terms.Window); at.After(limit) {
		at = limit // In any window there is room for a whole window's jobs.
	}
	a.retryAt = at
	after := at.Sub(now)
	return after + time.Duration(retryJitter*w.Jitter()*float64(after))
}

func latest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(first) {
			first = t
		}
	}
	return first
}

// Started tells that a job that was let in has left the queue for an upstream.
func (w *Wallet) Started(workspace string) {
	if a := w.accounts[workspace]; a != nil {
		a.held = max(0, a.held-1)
	}
}

// Refund returns the token of a job that did not run. It repays debt or joins the reserve, and expires with it.
func (w *Wallet) Refund(workspace string) {
	if a := w.accounts[workspace]; a != nil {
		a.balance++
	}
}

// Urgent reports once whether a pool has used up its reserve and half of its debt, so that the next request should not wait.
func (w *Wallet) Urgent() bool {
	urgent := w.urgent
	w.urgent = false
	return urgent
}

// Request returns what the wallet holds and wants; ok is false if there is nothing to say. Only the reply to the last request may be
// applied.
func (w *Wallet) Request(now time.Time) (req Request, ok bool) {
	elapsed := now.Sub(w.requestedAt)
	w.requestedAt, w.urgent = now, false
	req = Request{Pool: w.Pool, Service: w.Service, Workspaces: map[string]Want{}}
	for name, a := range w.accounts {
		w.expire(now, a)
		if now.Sub(a.lastJob) > w.idleTime() && a.balance == 0 && a.held == 0 && a.usage == (Usage{}) {
			delete(w.accounts, name)
			continue
		}
		if want := a.want(now, elapsed); want != (Want{}) {
			req.Workspaces[name] = want
		}
	}
	if len(req.Workspaces) == 0 {
		w.unanswered = time.Time{}
		return req, false
	}
	if w.unanswered.IsZero() {
		w.unanswered = now
	}
	return req, true
}

// idleTime is how long the state of a workspace without jobs is kept, so that its own share is not renewed by forgetting it.
func (w *Wallet) idleTime() time.Duration { return max(keepOne, w.terms.Window) }

// want updates the average demand and returns what to request. It takes the returned tokens out of the reserve.
func (a *account) want(now time.Time, elapsed time.Duration) Want {
	sample := float64(a.arrivals) / max(elapsed, DrawInterval/4).Seconds()
	retain := math.Exp(-float64(min(elapsed, time.Minute)) / float64(demandTimeConstant))
	a.demand, a.arrivals = retain*a.demand+(1-retain)*sample, 0
	target := 0
	if now.Sub(a.lastJob) < keepOne {
		mean := demandMargin * max(a.demand, sample) * DrawInterval.Seconds()
		target = max(1, int(math.Ceil(mean+randomMargin*math.Sqrt(mean))))
	}
	want := Want{Want: max(0, target-a.balance), Debt: max(0, -a.balance)}
	a.wanted = want.Want
	if surplus := a.balance - target; surplus > target/2 {
		want.Back = surplus
		a.balance -= surplus
	}
	want.Have = max(0, a.balance) + a.held/heldDivisor
	return want
}

// Apply applies the reply to the last request.
func (w *Wallet) Apply(now time.Time, reply Reply) {
	elapsed := now.Sub(w.appliedAt)
	retain := math.Exp(-float64(min(elapsed, time.Minute)) / float64(grantTimeConstant))
	w.appliedAt, w.unanswered = now, time.Time{}
	w.lease = share.Lease{Until: w.requestedAt.Add(leaseTTL + share.ClockDriftMargin)}
	for name, g := range reply.Workspaces {
		a := w.accounts[name]
		if a == nil {
			continue
		}
		a.balance += g.Give
		a.short = g.Give < a.wanted
		a.granted = retain*a.granted + (1-retain)*float64(g.Give)/max(elapsed, DrawInterval/4).Seconds()
		a.roomAt = time.Time{}
		if g.Give == 0 && g.Wait > 0 {
			a.roomAt = now.Add(g.Wait)
		}
	}
}

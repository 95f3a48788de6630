package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const ms = time.Millisecond

func newTerms(rate, burst float64) *Terms {
	return &Terms{
		Settings: Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, Pools: 9, Domains: 6, Services: 3, Hosts: 75,
		Workspaces: map[string]policy.Workspace{"w": {Name: "w", Rate: rate, Burst: burst}},
	}
}

func newTestWallet(t *Terms) *Wallet {
	return NewWallet("east", "s", t, func() float64 { return 0 })
}

// newTestLedger returns a ledger with the given failure domains.
func newTestLedger(t *Terms, domains ...string) *Ledger {
	l := NewLedger()
	l.Terms = *t
	for _, d := range domains {
		l.KeepPart(start, d)
	}
	return l
}

// spendAll returns the number of jobs that a wallet lets in.
func spendAll(w *Wallet, now time.Time) int {
	const most = 10_000
	for n := range most {
		if ok, _ := w.Spend(now, "w"); !ok {
			return n
		}
	}
	return most
}

func report(l *Ledger, now time.Time, domains ...string) {
	for _, d := range domains {
		l.Draw(now, &Request{Part: d})
	}
}

func draw(l *Ledger, now time.Time, pool string, want Want) Grant {
	return l.Draw(now, &Request{Pool: pool, Service: "s", Workspaces: map[string]Want{"w": want}}).Workspaces["w"]
}

// grant gives a wallet tokens at a time.
func grant(w *Wallet, now time.Time, give int) {
	w.Spend(now, "w")
	w.Request(now)
	w.Apply(now, Reply{Workspaces: map[string]Grant{"w": {Give: give + 1}}}) // One repays the job above.
}

// Guards against a process that was paused and then uses a reserve that the owner no longer counts.
func TestAReserveExpires(t *testing.T) {
	terms := newTerms(100, 100)
	debt := terms.debtLimit(terms.limit("w"))
	for age, want := range map[time.Duration]int{0: 10 + debt, leaseTTL - ms: 10 + debt, leaseTTL: debt, time.Hour: debt} {
		w := newTestWallet(terms)
		grant(w, start, 10)
		assert.Equal(t, spendAll(w, at(age)), want, "after %s", age)
	}
	late := newTestWallet(terms)
	late.Spend(start, "w")
	late.Request(start)
	late.Apply(at(leaseTTL), Reply{Workspaces: map[string]Grant{"w": {Give: 11}}})
	assert.Equal(t, spendAll(late, at(leaseTTL)), debt, "the lease counts from the request, not from the reply")
}

// Guards against a small workspace whose jobs wait for a message, and against a debt without bound.
func TestTheDebtIsBounded(t *testing.T) {
	for rate, want := range map[float64]int{1: 1, 3: 1, 300: 11} {
		w := newTestWallet(newTerms(rate, rate))
		assert.Equal(t, spendAll(w, start), want, "rate %v", rate)
		req, _ := w.Request(start)
		assert.Equal(t, req.Workspaces["w"].Debt, want)
		assert.Assert(t, req.Workspaces["w"].Want >= want)
		assert.Equal(t, spendAll(w, start), 0)
	}
}

// Guards against a reserve of a higher limit that is used after the limit was lowered.
func TestALowerLimitReducesTheReserve(t *testing.T) {
	w := newTestWallet(newTerms(1000, 1000))
	grant(w, start, 500)
	w.SetTerms(newTerms(10, 10))
	assert.Equal(t, spendAll(w, start), 15, "burst, rate during a lease and debt")
}

// Guards against a pool that keeps tokens that others need after its callers have moved.
func TestUnusedTokensAreReturned(t *testing.T) {
	w := newTestWallet(newTerms(100, 100))
	grant(w, start, 30)
	back := 0
	for n := range 5 {
		req, _ := w.Request(at(time.Duration(n) * DrawInterval))
		back += req.Workspaces["w"].Back
		w.Apply(at(time.Duration(n)*DrawInterval), Reply{})
	}
	assert.Assert(t, back >= 25, "%d of 30", back)
	debt := w.terms.debtLimit(w.terms.limit("w"))
	assert.Equal(t, spendAll(w, at(4*DrawInterval)), 30-back+debt)
	for n := range 50 {
		now := at(time.Second + time.Duration(n)*DrawInterval)
		req, _ := w.Request(now)
		w.Apply(now, Reply{Workspaces: map[string]Grant{"w": {Give: req.Workspaces["w"].Want}}})
		for range 30 {
			w.Started("w")
		}
	}
	_, ok := w.Request(at(time.Minute))
	assert.Assert(t, !ok, "an idle wallet sends nothing")
	w.TakeUsage(map[string]Usage{})
	w.Request(at(2 * time.Minute))
	assert.Equal(t, len(w.accounts), 0)
}

// Guards against a placing host without an owner that serves nothing, or more than its share.
func TestAWalletWithoutContactUsesItsShare(t *testing.T) {
	w := newTestWallet(newTerms(180, 180))
	debt := spendAll(w, start)
	ran := 0
	for n := range 55 {
		now := at(time.Duration(n) * DrawInterval)
		w.Request(now)
		ran += spendAll(w, now)
	}
	assert.Assert(t, w.OutOfContact(at(11*time.Second)))
	assert.Assert(t, ran >= 95 && ran <= 100, "%d jobs of 180/18 a second for 9.8 s", ran)
	w.Request(at(11 * time.Second))
	w.Apply(at(11*time.Second), Reply{Workspaces: map[string]Grant{"w": {Give: debt}}})
	assert.Equal(t, spendAll(w, at(11*time.Second)), debt)
}

// Guards against callers that are told to return at once, all together, or much later than there is room.
func TestRefusedCallersAreSpread(t *testing.T) {
	w := newTestWallet(newTerms(90, 90))
	spendAll(w, start)
	last := time.Duration(0)
	for range 10 {
		_, after := w.Spend(start, "w")
		assert.Assert(t, after >= minRetry && after > last, "%s after %s", after, last)
		last = after
	}
	for range 1000 {
		_, last = w.Spend(start, "w")
	}
	assert.Equal(t, last, 5*time.Second)
	w.Request(start)
	w.Apply(at(100*ms), Reply{Workspaces: map[string]Grant{"w": {Wait: 2 * time.Second}}})
	other := newTestWallet(newTerms(90, 90))
	spendAll(other, start)
	other.Request(start)
	other.Apply(start, Reply{Workspaces: map[string]Grant{"w": {Wait: 2 * time.Second}}})
	_, after := other.Spend(start, "w")
	assert.Assert(t, after >= 2*time.Second, "the owner has room only then: %s", after)
}

// Guards against a Retry-After that is not true: of the callers that a burst refused and that return when they were told to, most are served.
func TestMostRefusedCallersAreServedWhenTheyReturn(t *testing.T) {
	for _, rate := range []float64{10, 100, 300} {
		f := newFleet(3, policy.Workspace{Name: "w", Rate: rate, Burst: rate / 2})
		f.moveDemand(rate*0.5, 0)
		f.run(5 * time.Second)
		returned, served := 0, 0
		f.onRefused = func(p *placer, after time.Duration) {
			f.after(after, func() {
				returned++
				if ok, _ := p.wallet.Spend(f.now, "w"); ok {
					served++
					p.wallet.Started("w")
				}
			})
		}
		f.moveDemand(rate*4, 0)
		f.run(time.Second)
		f.moveDemand(0, 0)
		f.run(10 * time.Second)
		t.Logf("rate %v: %d of %d returning callers were served", rate, served, returned)
		assert.Assert(t, float64(served) >= 0.7*float64(returned), "rate %v: %d of %d", rate, served, returned)
	}
}

// Guards against state and cost that grow with the number of workspaces instead of the active ones.
func TestOnlyActiveWorkspacesHaveState(t *testing.T) {
	l, w := manyWorkspaces(8000)
	for n := range 200 {
		now := at(time.Duration(n) * DrawInterval)
		first := 0
		if n >= 100 {
			first = 50 // Others are active now.
		}
		for i := range 50 {
			w.Spend(now, fmt.Sprint("w", first+i))
			w.Started(fmt.Sprint("w", first+i))
		}
		exchange(l, w, now)
		w.TakeUsage(map[string]Usage{})
	}
	assert.Assert(t, len(l.buckets) <= 51 && len(w.accounts) <= 51, "%d buckets, %d accounts", len(l.buckets), len(w.accounts))
}

func manyWorkspaces(n int) (*Ledger, *Wallet) {
	terms := newTerms(1, 1)
	terms.Workspaces = map[string]policy.Workspace{}
	for i := range n {
		name := fmt.Sprint("w", i)
		terms.Workspaces[name] = policy.Workspace{Name: name, Rate: 100, Burst: 100}
	}
	return newTestLedger(terms, "a"), newTestWallet(terms)
}

func exchange(l *Ledger, w *Wallet, now time.Time) {
	req, _ := w.Request(now)
	req.Part = "a"
	w.Apply(now, l.Draw(now, &req))
}

// BenchmarkInterval measures an interval of a wallet and the owner, with 50 active workspaces that run four jobs each.
func BenchmarkInterval(b *testing.B) {
	for _, n := range []int{80, 8000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, w := manyWorkspaces(n)
			names := make([]string, 50)
			for i := range names {
				names[i] = fmt.Sprint("w", i)
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(DrawInterval)
				for _, name := range names {
					for range 4 {
						w.Spend(now, name)
						w.Started(name)
					}
				}
				exchange(l, w, now)
			}
		})
	}
}

// Guards against isolated hosts that use more than the tolerance together.
func TestIsolatedHostsStayWithinTheTolerance(t *testing.T) {
	terms := newTerms(300, 300)
	allowed := terms.Tolerance(terms.limit("w"))
	ran := 0
	for range terms.Hosts {
		a := Allowance{Terms: *terms}
		for now := start; !now.After(at(terms.Window)); now = now.Add(50 * ms) {
			if ok, _ := a.Spend(now, "w"); ok {
				ran++
			}
		}
		a.Expire(at(terms.Window))
		assert.Equal(t, len(a.levels), 1, "state must not be renewed by forgetting it")
		a.Expire(at(time.Minute))
	}
	assert.Assert(t, float64(ran) <= allowed/2 && float64(ran) >= allowed/4, "%d of %.0f", ran, allowed)
}

package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
)

// fleet simulates, in virtual time, the hosts that place the jobs of one workspace and the hosts that may own its quota. There are three
// services in three regions of two failure domains each. The pool of a service and region is placed in the region's first domain;
// when the second domain is cut off, its callers are served by a wallet of their own.
type fleet struct {
	now       time.Time
	random    *rand.Rand
	queue     eventQueue
	seq       int
	ws        policy.Workspace
	terms     Terms
	owners    []*owner // In the order in which they are tried.
	hosts     []*placer
	leaders   []*placer // One for each failure domain; they place nothing.
	sides     [domains]int
	cutAt     time.Time
	demand    [services][domains]float64 // Jobs a second.
	wait      time.Duration              // The longest time that a job waits for a slot.
	refusing  float64                    // The share of waiting jobs that are refused in the end.
	loss      float64                    // The share of messages that are lost.
	slow      time.Duration              // The longest time that a message takes.
	runs      []time.Time
	onRefused func(p *placer, after time.Duration)
	offered   []time.Time
}

const (
	domains  = 6
	services = 3
	// skip is the time for which a host doesn't try an owner again that it could not reach.
	skip = 1500 * time.Millisecond
	// callTimeout bounds a request.
	callTimeout = 500 * time.Millisecond
)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		ev := heap.Pop(&f.queue).(event)
		f.now = ev.at
		ev.do()
	}
	f.now = end
}

// owner is a host that may own the quota.
type owner struct {
	domain      int
	ledger      *Ledger
	pausedUntil time.Time
}

// placer is a process with a wallet; leaders only report for their failure domain.
type placer struct {
	domain      int
	leader      bool
	wallet      *Wallet
	pausedUntil time.Time
	skipUntil   map[*owner]time.Time
	last        *owner // The owner that answered last; nil if the last request failed.
	busy        int    // Number of the request that is under way; 0 for none.
}

func newFleet(seed uint64, ws policy.Workspace) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), ws: ws, slow: 60 * time.Millisecond}
	f.terms = Terms{
		Settings: Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, Workspaces: map[string]policy.Workspace{"w": ws},
		Pools: 9, Domains: domains, Services: services, Hosts: 75,
	}
	for _, d := range []int{0, 2, 4, 1} {
		f.owners = append(f.owners, &owner{domain: d, ledger: f.newLedger()})
	}
	for s := range services {
		for d := range domains {
			f.hosts = append(f.hosts, f.newPlacer(fmt.Sprint("s", s), d, false))
		}
	}
	for d := range domains {
		f.leaders = append(f.leaders, f.newPlacer("", d, true))
	}
	for s := range services {
		for d := range domains {
			f.arrive(s, d)
		}
	}
	f.keepParts()
	return f
}

func (f *fleet) newLedger() *Ledger {
	l := NewLedger()
	l.Terms = f.terms
	for d := range domains {
		l.KeepPart(f.now, fmt.Sprint("d", d)) // Its settings name all of them.
	}
	return l
}

func (f *fleet) newPlacer(service string, domain int, leader bool) *placer {
	p := &placer{domain: domain, leader: leader, skipUntil: map[*owner]time.Time{}}
	p.wallet = f.newWallet(service, domain)
	f.after(f.upTo(DrawInterval), func() { f.poll(p) })
	return p
}

func (f *fleet) newWallet(service string, domain int) *Wallet {
	return NewWallet(fmt.Sprint("r", domain/2), service, &f.terms, f.random.Float64)
}

func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(d))
}

func (f *fleet) reaches(p *placer, o *owner) bool { return f.sides[p.domain] == f.sides[o.domain] }

// arrive lets the next job of a service and failure domain arrive, in steps of at most 20 ms so that changed demand takes effect.
func (f *fleet) arrive(service, domain int) {
	const step = 20 * time.Millisecond
	rate := f.demand[service][domain]
	gap := time.Duration(f.random.ExpFloat64() / max(rate, 1e-3) * float64(time.Second))
	if gap > step {
		f.after(step, func() { f.arrive(service, domain) })
		return
	}
	f.after(gap, func() {
		f.offer(service, domain)
		f.arrive(service, domain)
	})
}

// placerOf returns the wallet that serves a failure domain's callers.
func (f *fleet) placerOf(service, domain int) *placer {
	first := domain / 2 * 2
	if f.sides[first] == f.sides[domain] {
		domain = first
	}
	return f.hosts[service*domains+domain]
}

func (f *fleet) offer(service, domain int) {
	f.offered = append(f.offered, f.now)
	p := f.placerOf(service, domain)
	f.whenAwake(p.pausedUntil, func() {
		w := p.wallet
		ok, after := w.Spend(f.now, "w")
		if w.Urgent() && p.busy == 0 && f.now.Sub(w.requestedAt) >= MinDrawInterval {
			f.request(p)
		}
		if !ok {
			if f.onRefused != nil {
				f.onRefused(p, after)
			}
			return
		}
		f.after(f.upTo(f.wait), func() {
			f.whenAwake(p.pausedUntil, func() {
				w.Started("w")
				if f.random.Float64() < f.refusing {
					w.Refund("w")
					return
				}
				f.runs = append(f.runs, f.now)
			})
		})
	})
}

// whenAwake does something as soon as a process is not paused.
func (f *fleet) whenAwake(until time.Time, do func()) {
	if d := until.Sub(f.now); d > 0 {
		f.after(d, do)
		return
	}
	do()
}

// poll sends a request as the poller of a host does.
func (f *fleet) poll(p *placer) {
	next := DrawInterval
	if d := p.pausedUntil.Sub(f.now); d > 0 {
		next = d
	} else if p.busy == 0 {
		f.request(p)
	}
	f.after(next, func() { f.poll(p) })
}

func (f *fleet) request(p *placer) {
	req, ok := p.wallet.Request(f.now)
	if p.leader {
		req.Part = fmt.Sprint("d", p.domain)
	}
	if !ok && !p.leader {
		return
	}
	i := slices.IndexFunc(f.owners, func(o *owner) bool { return !f.now.Before(p.skipUntil[o]) })
	if i < 0 {
		return
	}
	o := f.owners[i]
	req.Fresh = p.last != o
	p.last = nil
	f.seq++
	call := f.seq
	p.busy = call
	f.after(callTimeout, func() {
		if p.busy == call {
			p.busy, p.skipUntil[o] = 0, f.now.Add(skip)
		}
	})
	w := p.wallet
	f.message(p, o, func() {
		f.whenAwake(o.pausedUntil, func() {
			reply := o.ledger.Draw(f.now, &req)
			f.message(p, o, func() {
				f.whenAwake(p.pausedUntil, func() {
					if p.busy == call && p.wallet == w {
						p.busy, p.last = 0, o
						w.Apply(f.now, reply)
					}
				})
			})
		})
	})
}

// message delivers a message late, or not at all.
func (f *fleet) message(p *placer, o *owner, deliver func()) {
	f.after(f.upTo(f.slow), func() {
		if f.reaches(p, o) && f.random.Float64() >= f.loss {
			deliver()
		}
	})
}

// keepParts tells each ledger at intervals which failure domains have hosts. The store drops those of a domain that is cut off after three
// seconds.
func (f *fleet) keepParts() {
	for _, o := range f.owners {
		for d := range domains {
			if f.sides[d] == f.sides[o.domain] || f.now.Sub(f.cutAt) < 3*time.Second {
				o.ledger.KeepPart(f.now, fmt.Sprint("d", d))
			}
		}
	}
	f.after(DrawInterval, f.keepParts)
}

// setTerms applies another limit on all hosts.
func (f *fleet) setTerms(ws policy.Workspace) {
	f.ws = ws
	f.terms.Workspaces = map[string]policy.Workspace{"w": ws}
	for _, o := range f.owners {
		o.ledger.Terms = f.terms
	}
	for _, p := range f.hosts {
		p.wallet.SetTerms(&f.terms)
	}
}

// moveDemand divides a number of jobs a second among the pools at random, so that few pools get most. The demand
// changes steadily within the given time.
func (f *fleet) moveDemand(total float64, within time.Duration) {
	var weights [services * domains]float64
	sum := 0.0
	for i := range weights {
		v := f.random.ExpFloat64()
		weights[i] = v * v
		sum += weights[i]
	}
	const steps = 10
	for i, v := range weights {
		rate := &f.demand[i/domains][i%domains]
		change := (total*v/sum - *rate) / steps
		for n := range steps {
			f.after(within*time.Duration(n)/steps, func() { *rate = max(0, *rate+change) })
		}
	}
}

// largest returns the largest excess of jobs that ran in a window over the bound, from the given time.
func (f *fleet) excess(ws policy.Workspace, from time.Time) float64 {
	slices.SortFunc(f.runs, time.Time.Compare)
	first, largest := 0, 0
	for i, at := range f.runs {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for f.runs[first].Add(f.terms.Window).Before(at) {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return float64(largest) - (ws.Rate*f.terms.Window.Seconds() + ws.Burst + f.terms.Tolerance(&ws))
}

// served returns the number of jobs that ran since a time, relative to those that one token bucket for the whole fleet lets in.
func (f *fleet) served(from time.Time) float64 {
	bucket, ran, allowed := level{tokens: f.ws.Burst, at: from}, 0.0, 0.0
	for _, at := range f.offered {
		bucket.grow(at, f.ws.Rate, f.ws.Burst)
		if !at.Before(from) && bucket.take() {
			allowed++
		}
	}
	for _, at := range f.runs {
		if !at.Before(from) {
			ran++
		}
	}
	return ran / max(1, allowed)
}

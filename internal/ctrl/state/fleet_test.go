package state

import (
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// fleet simulates the control states of several hosts, the messages between them and the platform. Messages may be
// lost, delayed or duplicated; hosts may be paused, restarted or isolated; the platform may be down.
type fleet struct {
	now              time.Time
	doc              spec.Document
	members          []Member
	hosts            []*fakeHost
	inFlight         []func()
	leases           map[string]fakeLease // By failure domain.
	reclaims         map[string]fakeLease // By failure domain; set when a host is refused its own domain's lease.
	leaseRequests    map[string]int       // The number of lease requests by host.
	lastSession      int
	releasedSessions map[int]bool
	platformDown     bool
	partitioned      bool // The failure domains cannot reach each other.
	faults           func() (lost, late, twice bool)
}

type fakeLease struct {
	session int
	until   time.Time
}

type fakeHost struct {
	state       *State
	sessions    map[string]int // By failure domain.
	paused      bool
	isolated    bool // Cut off from all other hosts and the platform.
	maxRevision uint64
	inbox       []Event // Events received while it was paused.
}

const fakeLeaseTTL = 10 * time.Second

func fakeDocument(domains, seats int) spec.Document {
	d := spec.Document{
		Revision: 1, Floor: 0.4,
		Ranks:    []spec.Rank{{Name: "top", Queue: 1}},
		Services: []spec.Service{{Name: "s", Rank: "top", Timeout: 1, Slots: 5, Conns: 50}},
		Links:    []spec.Link{{From: "r", To: "q", Rate: 1000}},
	}
	r := spec.Region{Name: "r", Capacity: 11}
	for i := range domains {
		dom := spec.Domain{Name: fmt.Sprint("d", i)}
		for k := range seats {
			name := fmt.Sprintf("d%d-%d", i, k)
			dom.Seats = append(dom.Seats, spec.Seat{Name: name, Peer: name, Front: name})
		}
		r.Domains = append(r.Domains, dom)
	}
	d.Regions = []spec.Region{r, {Name: "q", Capacity: 1}}
	return d
}

func newFleet(domains, seats int) *fleet {
	f := &fleet{now: time.Unix(10_000, 0), doc: fakeDocument(domains, seats), leases: map[string]fakeLease{}, reclaims: map[string]fakeLease{}, releasedSessions: map[int]bool{}, leaseRequests: map[string]int{}}
	f.faults = func() (bool, bool, bool) { return false, false, false }
	for i := range domains {
		f.members = append(f.members, Member{ID: fmt.Sprint("u", i), Service: "s", Domain: fmt.Sprint("d", i), Address: "a"})
	}
	for _, d := range f.doc.Regions[0].Domains {
		for _, s := range d.Seats {
			f.hosts = append(f.hosts, f.newHost(plan.Identity{Seat: s.Name, Domain: d.Name, Region: "r"}))
		}
	}
	return f
}

func (f *fleet) newHost(self plan.Identity) *fakeHost {
	f.lastSession++
	self.Incarnation = fmt.Sprint("i", f.lastSession)
	return &fakeHost{state: New(self), sessions: map[string]int{}}
}

func (f *fleet) apply(h *fakeHost, ev Event) {
	if h.paused {
		h.inbox = append(h.inbox, ev)
		return
	}
	for _, act := range Apply(h.state, ev, f.now) {
		f.execute(h, act)
	}
}

func (f *fleet) host(seat string) *fakeHost {
	for _, h := range f.hosts {
		if h.state.Self.Seat == seat {
			return h
		}
	}
	return nil
}

// deliver runs the delivery of a message now, later, twice or never, depending on the injected faults.
func (f *fleet) deliver(run func()) {
	lost, late, twice := f.faults()
	switch {
	case lost:
	case late:
		f.inFlight = append(f.inFlight, run)
	default:
		run()
	}
	if twice && !lost {
		f.inFlight = append(f.inFlight, run)
	}
}

func (f *fleet) execute(h *fakeHost, act Action) {
	switch a := act.(type) {
	case SendHeartbeat:
		f.sendHeartbeat(h, a)
	case SendExchange:
		f.sendExchange(h, a)
	case SendNotice:
		for _, s := range a.To {
			if to := f.host(s.Name); f.canReach(h, to) {
				f.deliver(func() { f.apply(to, NoticeReceived{Seat: h.state.Self.Seat, Revision: a.Revision, Changes: a.Changes}) })
			}
		}
	case RequestLease:
		f.requestLease(h, a.Domain)
	case ReleaseLease:
		f.releaseLease(h, a.Domain)
	case SetRelay:
		if a.On {
			f.deliverPlatformState(h)
		}
	case FetchDocument:
		to := f.host(a.From.Name)
		if f.canReach(h, to) && to.state.Doc != nil {
			doc := *to.state.Doc
			f.deliver(func() { f.apply(h, DocumentReceived{Doc: doc}) })
		}
	}
}

func (f *fleet) canReach(a, b *fakeHost) bool {
	if b == nil || a.isolated || b.isolated {
		return false
	}
	return !f.partitioned || a.state.Self.Domain == b.state.Self.Domain
}

func (f *fleet) sendHeartbeat(h *fakeHost, a SendHeartbeat) {
	to, requestedAt := f.host(a.To.Name), f.now
	if !f.canReach(h, to) || to.paused {
		f.apply(h, HeartbeatResult{Seat: a.To.Name, RequestedAt: requestedAt, Err: fmt.Errorf("host unreachable")})
		return
	}
	f.deliver(func() {
		reply := make(chan HeartbeatReply, 1)
		f.apply(to, HeartbeatReceived{Heartbeat: a.Heartbeat, Reply: reply})
		f.deliver(func() {
			select {
			case r := <-reply:
				f.apply(h, HeartbeatResult{Seat: a.To.Name, RequestedAt: requestedAt, Sent: a.Heartbeat, Reply: r})
				reply <- r
			default:
			}
		})
	})
}

func (f *fleet) sendExchange(h *fakeHost, a SendExchange) {
	to := f.host(a.To.Name)
	if !f.canReach(h, to) || to.paused {
		f.apply(h, ExchangeResult{Seat: a.To.Name, Domain: a.Domain, Err: fmt.Errorf("host unreachable")})
		return
	}
	f.deliver(func() {
		reply := make(chan ExchangeReply, 1)
		f.apply(to, ExchangeReceived{Exchange: a.Exchange, Reply: reply})
		select {
		case r := <-reply:
			f.deliver(func() { f.apply(h, ExchangeResult{Seat: a.To.Name, Domain: a.Domain, SentSeq: a.SentSeq, Reply: r}) })
		default:
		}
	})
}

// requestLease simulates the platform's leases and the host's client of them, with one session per lease.
func (f *fleet) requestLease(h *fakeHost, domain string) {
	requestedAt := f.now
	f.leaseRequests[h.state.Self.Seat]++
	if f.platformDown || h.isolated {
		f.apply(h, LeaseResult{Domain: domain, RequestedAt: requestedAt, Err: fmt.Errorf("platform unreachable")})
		return
	}
	if h.sessions[domain] == 0 {
		f.lastSession++
		h.sessions[domain] = f.lastSession
	}
	session, ownDomain := h.sessions[domain], domain == h.state.Self.Domain
	f.deliver(func() {
		if reclaim := f.reclaims[domain]; !ownDomain && f.now.Before(reclaim.until) {
			f.deliver(func() { f.apply(h, LeaseResult{Domain: domain, RequestedAt: requestedAt}) })
			return
		}
		l := f.leases[domain]
		held := (l.session == session || !f.now.Before(l.until)) && !f.releasedSessions[session]
		switch {
		case held:
			f.leases[domain] = fakeLease{session: session, until: f.now.Add(fakeLeaseTTL)}
		case ownDomain:
			f.reclaims[domain] = fakeLease{session: session, until: f.now.Add(fakeLeaseTTL)}
		}
		f.deliver(func() {
			f.apply(h, LeaseResult{Domain: domain, RequestedAt: requestedAt, TTL: fakeLeaseTTL, Held: held})
		})
	})
}

// releaseLease ends a session, which is never reused. A delayed request with it does not acquire the lease.
func (f *fleet) releaseLease(h *fakeHost, domain string) {
	session := h.sessions[domain]
	delete(h.sessions, domain)
	if f.platformDown || h.isolated {
		return
	}
	f.deliver(func() {
		f.releasedSessions[session] = true
		if f.leases[domain].session == session {
			f.leases[domain] = fakeLease{}
		}
	})
}

// deliverPlatformState gives a relay the platform's document and its list of upstreams.
func (f *fleet) deliverPlatformState(h *fakeHost) {
	if f.platformDown || h.isolated {
		return
	}
	f.apply(h, DocumentReceived{Doc: f.doc.Clone()})
	var members []Member
	for _, m := range f.members {
		if m.Domain == h.state.Self.Domain {
			members = append(members, m)
		}
	}
	f.apply(h, MembersReceived{Members: members})
}

func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for _, h := range f.hosts {
		if !h.paused {
			if h.state.IsRelay {
				f.deliverPlatformState(h)
			}
			f.apply(h, Tick{Loads: map[string]plan.Load{"s": {Slots: 1}}})
		}
	}
}

func (f *fleet) resume(h *fakeHost) {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, ev := range inbox {
		f.apply(h, ev)
	}
}

type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkLimits fails if the units that all hosts may use now exceed a limit, or if a host's revision decreased. Paused
// hosts count too, since the data path keeps using their last plan.
func (f *fleet) checkLimits(t testingT) {
	t.Helper()
	inUse := map[string]int64{}
	for _, h := range f.hosts {
		if r := h.state.Revision(); r < h.maxRevision {
			t.Fatalf("host %s went back from revision %d to %d", h.state.Self.Seat, h.maxRevision, r)
		}
		h.maxRevision = h.state.Revision()
		if h.state.Doc == nil {
			continue
		}
		for res := range h.state.Allocations {
			if isPool(res) {
				continue
			}
			inUse[res] += h.state.quota(res).At(f.now)
		}
	}
	limits := map[string]int64{resourceCapacity: 11, resourceLinkPrefix + "q": 1000}
	for _, m := range f.members {
		limits[resourceSlotPrefix+m.ID] = 5
	}
	for res, sum := range inUse {
		if sum > limits[res] {
			t.Fatalf("resource %s: %d units in use, limit is %d", res, sum, limits[res])
		}
	}
}

package state

import (
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// fleet is a few hosts' control states, the messages between them, and the platform's part. Messages
// may be lost, late or doubled; hosts may be paused, restarted and cut off; the platform may be out.
type fleet struct {
	now           time.Time
	doc           spec.Document
	members       []Member
	hosts         []*fakeHost
	inFlight      []func()
	lease         map[string]fakeLease // By failure domain.
	claims        map[string]fakeLease // The same, for hosts that were refused their own domain's lease.
	leaseRequests map[string]int       // Requests for leases by host.
	sessions      int
	ended         map[int]bool // Sessions that were given back.
	platformDown  bool
	partitioned   bool // The failure domains do not reach each other.
	faults        func() (lost, late, twice bool)
}

type fakeLease struct {
	session int
	until   time.Time
}

type fakeHost struct {
	state       *State
	session     map[string]int // By failure domain.
	paused      bool
	isolated    bool // From all other hosts and the platform.
	maxRevision uint64
	inbox       []Event // What came while it was paused.
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
	f := &fleet{now: time.Unix(10_000, 0), doc: fakeDocument(domains, seats), lease: map[string]fakeLease{}, claims: map[string]fakeLease{}, ended: map[int]bool{}, leaseRequests: map[string]int{}}
	f.faults = func() (bool, bool, bool) { return false, false, false }
	for i := range domains {
		f.members = append(f.members, Member{ID: fmt.Sprint("u", i), Service: "s", Domain: fmt.Sprint("d", i), Address: "a"})
	}
	for _, d := range f.doc.Regions[0].Domains {
		for _, s := range d.Seats {
			f.hosts = append(f.hosts, f.newHost(plan.Self{Seat: s.Name, Domain: d.Name, Region: "r"}))
		}
	}
	return f
}

func (f *fleet) newHost(self plan.Self) *fakeHost {
	f.sessions++
	self.Incarnation = fmt.Sprint("i", f.sessions)
	return &fakeHost{state: New(self), session: map[string]int{}}
}

func (f *fleet) fold(h *fakeHost, ev Event) {
	if h.paused {
		h.inbox = append(h.inbox, ev)
		return
	}
	for _, act := range Fold(h.state, ev, f.now) {
		f.do(h, act)
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

// send delivers now, later, twice or never.
func (f *fleet) send(run func()) {
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

func (f *fleet) do(h *fakeHost, act Action) {
	switch a := act.(type) {
	case SendHeartbeat:
		f.heartbeat(h, a)
	case SendExchange:
		f.exchange(h, a)
	case SendNotice:
		for _, s := range a.To {
			if to := f.host(s.Name); f.canReach(h, to) {
				f.send(func() { f.fold(to, Notice{Seat: h.state.Self.Seat, Revision: a.Revision, Changes: a.Changes}) })
			}
		}
	case AskLease:
		f.askLease(h, a.Domain)
	case ReleaseLease:
		f.releaseLease(h, a.Domain)
	case Relay:
		if a.On {
			f.deliverPlatformState(h)
		}
	case Fetch:
		to := f.host(a.From.Name)
		if f.canReach(h, to) && to.state.Doc != nil {
			doc := *to.state.Doc
			f.send(func() { f.fold(h, Adopt{Doc: doc}) })
		}
	}
}

func (f *fleet) canReach(a, b *fakeHost) bool {
	if b == nil || a.isolated || b.isolated {
		return false
	}
	return !f.partitioned || a.state.Self.Domain == b.state.Self.Domain
}

func (f *fleet) heartbeat(h *fakeHost, a SendHeartbeat) {
	to, asked := f.host(a.To.Name), f.now
	if !f.canReach(h, to) || to.paused {
		f.fold(h, HeartbeatOut{Seat: a.To.Name, Asked: asked, Err: fmt.Errorf("down")})
		return
	}
	f.send(func() {
		reply := make(chan HeartbeatReply, 1)
		f.fold(to, HeartbeatIn{Heartbeat: a.Heartbeat, Reply: reply})
		f.send(func() {
			select {
			case r := <-reply:
				f.fold(h, HeartbeatOut{Seat: a.To.Name, Asked: asked, Sent: a.Heartbeat, Reply: r})
				reply <- r
			default:
			}
		})
	})
}

func (f *fleet) exchange(h *fakeHost, a SendExchange) {
	to := f.host(a.To.Name)
	if !f.canReach(h, to) || to.paused {
		f.fold(h, ExchangeOut{Seat: a.To.Name, Domain: a.Domain, Err: fmt.Errorf("down")})
		return
	}
	f.send(func() {
		reply := make(chan ExchangeReply, 1)
		f.fold(to, ExchangeIn{Exchange: a.Exchange, Reply: reply})
		select {
		case r := <-reply:
			f.send(func() { f.fold(h, ExchangeOut{Seat: a.To.Name, Domain: a.Domain, Sent: a.Sent, Reply: r}) })
		default:
		}
	})
}

// askLease plays the platform and the host's part in front of it: a session a lease.
func (f *fleet) askLease(h *fakeHost, d string) {
	asked := f.now
	f.leaseRequests[h.state.Self.Seat]++
	if f.platformDown || h.isolated {
		f.fold(h, LeaseOut{Domain: d, Asked: asked, Err: fmt.Errorf("out")})
		return
	}
	if h.session[d] == 0 {
		f.sessions++
		h.session[d] = f.sessions
	}
	session, own := h.session[d], d == h.state.Self.Domain
	f.send(func() {
		if w := f.claims[d]; !own && f.now.Before(w.until) {
			f.send(func() { f.fold(h, LeaseOut{Domain: d, Asked: asked}) })
			return
		}
		l := f.lease[d]
		held := (l.session == session || !f.now.Before(l.until)) && !f.ended[session]
		switch {
		case held:
			f.lease[d] = fakeLease{session: session, until: f.now.Add(fakeLeaseTTL)}
		case own:
			f.claims[d] = fakeLease{session: session, until: f.now.Add(fakeLeaseTTL)}
		}
		f.send(func() { f.fold(h, LeaseOut{Domain: d, Asked: asked, Life: fakeLeaseTTL, Held: held}) })
	})
}

// releaseLease ends a session, which is never used again; a late request for it finds nothing.
func (f *fleet) releaseLease(h *fakeHost, d string) {
	session := h.session[d]
	delete(h.session, d)
	if f.platformDown || h.isolated {
		return
	}
	f.send(func() {
		f.ended[session] = true
		if f.lease[d].session == session {
			f.lease[d] = fakeLease{}
		}
	})
}

// deliverPlatformState gives a relay what the platform holds.
func (f *fleet) deliverPlatformState(h *fakeHost) {
	if f.platformDown || h.isolated {
		return
	}
	f.fold(h, Adopt{Doc: f.doc.Clone()})
	var mine []Member
	for _, m := range f.members {
		if m.Domain == h.state.Self.Domain {
			mine = append(mine, m)
		}
	}
	f.fold(h, ListOut{Members: mine})
}

func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for _, h := range f.hosts {
		if !h.paused {
			if h.state.IsRelay {
				f.deliverPlatformState(h)
			}
			f.fold(h, Tick{Loads: map[string]plan.Load{"s": {Slots: 1}}})
		}
	}
}

func (f *fleet) resume(h *fakeHost) {
	h.paused = false
	box := h.inbox
	h.inbox = nil
	for _, ev := range box {
		f.fold(h, ev)
	}
}

type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkLimits adds up what all hosts would use now, paused ones too: traffic reads plans by itself.
func (f *fleet) checkLimits(t testingT) {
	t.Helper()
	sums := map[string]int64{}
	for _, h := range f.hosts {
		if r := h.state.Revision(); r < h.maxRevision {
			t.Fatalf("%s went back from revision %d to %d", h.state.Self.Seat, h.maxRevision, r)
		}
		h.maxRevision = h.state.Revision()
		if h.state.Doc == nil {
			continue
		}
		for res := range h.state.Allocations {
			if isPool(res) {
				continue
			}
			sums[res] += h.state.amount(res).At(f.now)
		}
	}
	limits := map[string]int64{resourceCapacity: 11, resourceLinkPrefix + "q": 1000}
	for _, m := range f.members {
		limits[resourceSlotPrefix+m.ID] = 5
	}
	for res, sum := range sums {
		if sum > limits[res] {
			t.Fatalf("%s: %d in use of %d", res, sum, limits[res])
		}
	}
}

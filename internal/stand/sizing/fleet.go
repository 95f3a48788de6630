package sizing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/edge/peer"
)

// Size holds the dimensions of a system.
type Size struct {
	Regions   int
	Domains   int
	Hosts     int // Per failure domain.
	Services  int
	Upstreams int // Per failure domain.
}

// ControlCost holds the control-plane cost of one host: the total of a measurement in simHost, and the mean per second in
// the results of SimulateControl.
type ControlCost struct {
	CPU            time.Duration
	Sent           int64            // Bytes.
	Received       int64            // Bytes.
	BytesByMessage map[string]int64 // Bytes sent and received, by message type.
	PlanTime       time.Duration    // Time to build plans, not included in CPU: the total, or the mean of one plan.
}

// simHost is a simulated host: its control state and its measured cost.
type simHost struct {
	state    *state.State
	measured bool // Whether the cost is recorded.
	cost     ControlCost
	rng      *rand.Rand
}

// fleet simulates the control plane of a whole system in virtual time, with the real state machine, planner and message
// encoding, but without a network.
type fleet struct {
	size         Size
	now          time.Time
	doc          spec.Document
	hosts        map[string]*simHost
	hostList     []*simHost
	leaseHolders map[string]string
}

// Document returns the configuration of a system of the given size.
func Document(size Size) spec.Document {
	doc := spec.Document{Revision: 1, Floor: 0.5, Ranks: []spec.Rank{
		{Name: "urgent", Queue: 1000}, {Name: "normal", Minimum: 0.2, Queue: 1000}, {Name: "bulk", Minimum: 0.1, Queue: 1000},
	}}
	for i := range size.Services {
		doc.Services = append(doc.Services, spec.Service{
			Name: fmt.Sprint("svc-", i), Rank: "urgent", Timeout: spec.Duration(time.Second), Slots: 5, Conns: 400,
		})
	}
	for i := range size.Regions {
		doc.Regions = append(doc.Regions, spec.Region{Name: fmt.Sprint("region-", i), Capacity: 100_000})
	}
	for i := range size.Domains {
		domain := spec.Domain{Name: fmt.Sprint("domain-", i)}
		for k := range size.Hosts {
			ip := fmt.Sprintf("127.200.%d.%d", i, k+1)
			domain.Seats = append(domain.Seats, spec.Seat{Name: fmt.Sprintf("d%d-%d", i, k), Front: ip + ":7001", Peer: ip + ":7002"})
		}
		region := &doc.Regions[i%size.Regions]
		region.Domains = append(region.Domains, domain)
	}
	for _, from := range doc.Regions {
		for _, to := range doc.Regions {
			if from.Name != to.Name {
				doc.Links = append(doc.Links, spec.Link{From: from.Name, To: to.Name, Rate: 500_000_000, Delay: spec.Duration(20 * time.Millisecond)})
			}
		}
	}
	return doc
}

func newFleet(size Size) *fleet {
	f := &fleet{size: size, now: time.Unix(100_000, 0), doc: Document(size), hosts: map[string]*simHost{}, leaseHolders: map[string]string{}}
	for _, region := range f.doc.Regions {
		for _, domain := range region.Domains {
			for i, seat := range domain.Seats {
				h := &simHost{
					state: state.New(plan.Identity{Seat: seat.Name, Domain: domain.Name, Region: region.Name, Incarnation: "0123456789abcdef"}),
					rng:   rand.New(rand.NewPCG(uint64(i), uint64(len(f.hostList)))),
				}
				f.hosts[seat.Name] = h
				f.hostList = append(f.hostList, h)
			}
		}
	}
	return f
}

func (f *fleet) upstreamList(domain string) []state.Member {
	var out []state.Member
	for i := range f.size.Upstreams {
		out = append(out, state.Member{
			ID: fmt.Sprintf("up-%s-%d", domain, i), Address: "127.201.1.1:8000", Service: fmt.Sprint("svc-", i%f.size.Services), Domain: domain,
		})
	}
	return out
}

// apply applies an event to a host's state and executes the resulting actions.
func (f *fleet) apply(h *simHost, event state.Event) {
	begin := time.Now()
	actions := state.Apply(h.state, event, f.now)
	if h.measured {
		h.cost.CPU += time.Since(begin)
	}
	for _, action := range actions {
		f.execute(h, action)
	}
}

// recordMessage adds the cost of a request and its reply to both hosts.
func (f *fleet) recordMessage(from, to *simHost, request, reply any) {
	if !from.measured && !to.measured {
		return
	}
	begin := time.Now()
	requestSize, replySize := peer.ControlMessageSize(request), peer.ControlMessageSize(reply)
	elapsed := time.Since(begin) // Decoding takes about as long as encoding.
	from.cost.addMessage(requestSize, replySize, elapsed, request, reply)
	to.cost.addMessage(replySize, requestSize, elapsed, request, reply)
}

func (c *ControlCost) addMessage(sent, received int64, elapsed time.Duration, request, reply any) {
	c.Sent, c.Received, c.CPU = c.Sent+sent, c.Received+received, c.CPU+elapsed
	if c.BytesByMessage == nil {
		c.BytesByMessage = map[string]int64{}
	}
	c.BytesByMessage[messageType(request)] += peer.ControlMessageSize(request)
	c.BytesByMessage[messageType(reply)] += peer.ControlMessageSize(reply)
}

func messageType(message any) string {
	switch message.(type) {
	case state.Heartbeat:
		return "heartbeat"
	case state.HeartbeatReply:
		return "heartbeat answer"
	case state.Exchange:
		return "exchange"
	}
	return "exchange answer"
}

// execute delivers an action's effect at once, as an event at this host or another.
func (f *fleet) execute(h *simHost, action state.Action) {
	switch a := action.(type) {
	case state.SendHeartbeat:
		to, reply := f.hosts[a.To.Name], make(chan state.HeartbeatReply, 1)
		f.apply(to, state.HeartbeatReceived{Heartbeat: a.Heartbeat, Reply: reply})
		answer := <-reply
		f.recordMessage(h, to, a.Heartbeat, answer)
		f.apply(h, state.HeartbeatResult{Seat: a.To.Name, RequestedAt: f.now, Sent: a.Heartbeat, Reply: answer})
	case state.SendExchange:
		to, reply := f.hosts[a.To.Name], make(chan state.ExchangeReply, 1)
		f.apply(to, state.ExchangeReceived{Exchange: a.Exchange, Reply: reply})
		answer := <-reply
		f.recordMessage(h, to, a.Exchange, answer)
		f.apply(h, state.ExchangeResult{Seat: a.To.Name, Domain: a.Domain, SentSeq: a.SentSeq, Reply: answer})
	case state.SendNotice:
		for _, s := range a.To {
			f.apply(f.hosts[s.Name], state.NoticeReceived{Seat: h.state.Self.Seat, Revision: a.Revision})
		}
	case state.FetchDocument:
		f.apply(h, state.DocumentReceived{Doc: *f.hosts[a.From.Name].state.Doc})
	case state.RequestLease:
		domain := a.Domain
		if f.leaseHolders[domain] == "" {
			f.leaseHolders[domain] = h.state.Self.Seat
		}
		f.apply(h, state.LeaseResult{Domain: domain, RequestedAt: f.now, TTL: a.TTL, Held: f.leaseHolders[domain] == h.state.Self.Seat})
	case state.SetRelay:
		if a.On {
			f.apply(h, state.DocumentReceived{Doc: f.doc})
			f.apply(h, state.MembersReceived{Members: f.upstreamList(h.state.Self.Domain)})
		}
	}
}

// randomLoads returns random loads that average half of the slots.
func (f *fleet) randomLoads(h *simHost) map[string]plan.Load {
	loads := make(map[string]plan.Load, f.size.Services)
	for i := range f.size.Services {
		loads[fmt.Sprint("svc-", i)] = plan.Load{Slots: 4, Busy: int64(h.rng.IntN(5)), Latency: 5 * time.Millisecond}
	}
	return loads
}

// simulateSecond advances all hosts by one second and measures the plans of the measured ones.
func (f *fleet) simulateSecond() {
	for range time.Second / state.TickPeriod {
		f.now = f.now.Add(state.TickPeriod)
		for _, h := range f.hostList {
			f.apply(h, state.Tick{Loads: f.randomLoads(h)})
			if h.measured {
				begin := time.Now()
				state.Plan(h.state, f.now)
				h.cost.PlanTime += time.Since(begin)
			}
		}
	}
}

// SimulateControl returns the mean control-plane cost per second of a relay and of another host, measured over a number
// of seconds after a warm-up.
func SimulateControl(size Size, warmup, seconds int) (relay, other ControlCost) {
	f := newFleet(size)
	for range warmup {
		f.simulateSecond()
	}
	relayHost, otherHost := f.hostList[0], f.hostList[min(1, len(f.hostList)-1)]
	relayHost.measured, otherHost.measured = true, true
	for range seconds {
		f.simulateSecond()
	}
	return relayHost.cost.perSecond(int64(seconds)), otherHost.cost.perSecond(int64(seconds))
}

// perSecond returns the mean cost of one second, and of one plan.
func (c ControlCost) perSecond(seconds int64) ControlCost {
	byMessage := map[string]int64{}
	for k, n := range c.BytesByMessage {
		byMessage[k] = n / seconds
	}
	return ControlCost{
		CPU: c.CPU / time.Duration(seconds), Sent: c.Sent / seconds, Received: c.Received / seconds, BytesByMessage: byMessage,
		PlanTime: c.PlanTime / time.Duration(seconds*int64(time.Second/state.TickPeriod)),
	}
}

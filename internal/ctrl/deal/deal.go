package deal

import (
	"maps"
	"slices"
	"strings"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Shares is the slots of each upstream that one host may use, by upstream.
type Shares map[string]int

// Demand is the work that is offered to one host, in slots, by service.
type Demand map[string]float64

// Split is the shares of all hosts, by host.
type Split map[string]Shares

// Input is what a deal depends on.
type Input struct {
	Hosts     []roster.Host
	Upstreams map[string][]*roster.Upstream // By service.
	Demand    map[string]Demand             // By host; one that has not told its demand counts as an average one.
	Held      Split                         // What hosts hold now; it changes as little as need be.
	Down      map[string]bool               // Upstreams that their holders can't use.
}

const (
	// headroom is how many slots a host needs for each slot of its demand, so that few jobs wait.
	headroom = 1.5
	// needLeast is the need of a host without demand, for its first job.
	needLeast = 0.6
	// tieHeld and tieNear are worth so many missing slots when a slot is given: to a host that uses the upstream
	// already, and to one of its failure domain.
	tieHeld = 0.7
	tieNear = 0.4
)

// Deal splits the slots of each service. A region keeps its slots as far as its hosts need them; the rest is
// lent to regions whose hosts need more.
func Deal(in Input) Split {
	out := Split{}
	for _, h := range in.Hosts {
		out[h.Name] = Shares{}
	}
	for _, service := range slices.Sorted(maps.Keys(in.Upstreams)) {
		t := newTable(&in, service)
		t.keep(in.Held)
		t.deal(out)
	}
	return out
}

// player is one host in the deal of one service.
type player struct {
	host     *roster.Host
	need     float64
	home     float64 // Slots of its region that it should hold.
	away     float64 // Slots of other regions that it should hold.
	hasHome  int
	hasAway  int
	holdings Shares
}

// table is the deal of one service.
type table struct {
	players []*player
	ups     []*roster.Upstream
	left    map[string]int     // Slots that nobody holds, by upstream.
	lend    map[string]float64 // Slots that a region lends, by region.
	lent    map[string]int
}

func newTable(in *Input, service string) *table {
	t := &table{left: map[string]int{}, lend: map[string]float64{}, lent: map[string]int{}}
	slots := map[string]float64{}
	for _, u := range in.Upstreams[service] {
		if in.Down[u.ID] {
			continue
		}
		t.ups = append(t.ups, u)
		t.left[u.ID] = u.Slots
		slots[u.Region] += float64(u.Slots)
	}
	mean := average(in, service)
	need := map[string]float64{}
	for i := range in.Hosts {
		p := &player{host: &in.Hosts[i], holdings: Shares{}}
		d, told := in.Demand[p.host.Name]
		p.need = headroom*mean + needLeast
		if told {
			p.need = headroom*d[service] + needLeast
		}
		need[p.host.Region] += p.need
		t.players = append(t.players, p)
	}
	t.targets(slots, need)
	return t
}

func average(in *Input, service string) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(in.Demand)) {
		sum += in.Demand[name][service]
	}
	return sum / float64(max(1, len(in.Demand)))
}

// targets sets what each host should hold: its part of its region's slots, and of what its region borrows.
func (t *table) targets(slots, need map[string]float64) {
	lack, spare := 0.0, 0.0
	for _, r := range slices.Sorted(maps.Keys(merge(slots, need))) {
		lack += max(0, need[r]-slots[r])
		spare += max(0, slots[r]-need[r])
	}
	moved := min(lack, spare)
	for r, s := range slots {
		if spare > 0 {
			t.lend[r] = moved * max(0, s-need[r]) / spare
		}
	}
	for _, p := range t.players {
		r := p.host.Region
		part := p.need / need[r]
		p.home = (slots[r] - t.lend[r]) * part
		if lack > 0 {
			p.away = moved * max(0, need[r]-slots[r]) / lack * part
		}
	}
}

func merge(a, b map[string]float64) map[string]bool {
	out := map[string]bool{}
	for k := range a {
		out[k] = true
	}
	for k := range b {
		out[k] = true
	}
	return out
}

// deal gives the slots that nobody holds to those who lack most.
func (t *table) deal(out Split) {
	for t.give() {
		continue
	}
	for _, p := range t.players {
		for id, n := range p.holdings {
			out[p.host.Name][id] += n
		}
	}
}

// keep lets each host keep what it holds, up to its target and the slots that there are.
func (t *table) keep(held Split) {
	for _, u := range t.ups {
		for _, p := range t.players {
			n := min(held[p.host.Name][u.ID], t.left[u.ID])
			for range n {
				if t.lacks(p, u) <= -slack {
					break
				}
				t.hand(p, u)
			}
		}
	}
}

// slack is how far over its target a host may stay, so that slots don't move to and fro.
const slack = 0.5

// lacks returns how many slots a host is short of, of those near or far from it.
func (t *table) lacks(p *player, u *roster.Upstream) float64 {
	if u.Region == p.host.Region {
		return p.home - float64(p.hasHome)
	}
	return p.away - float64(p.hasAway)
}

func (t *table) hand(p *player, u *roster.Upstream) {
	t.left[u.ID]--
	p.holdings[u.ID]++
	if u.Region == p.host.Region {
		p.hasHome++
		return
	}
	p.hasAway++
	t.lent[u.Region]++
}

// give hands out one slot; it reports false when none is left that anybody should have.
func (t *table) give() bool {
	var to *player
	var at *roster.Upstream
	best := 0.0
	for _, u := range t.ups {
		if t.left[u.ID] == 0 {
			continue
		}
		for _, p := range t.players {
			far := u.Region != p.host.Region
			if far && float64(t.lent[u.Region]) >= t.lend[u.Region] {
				continue
			}
			lack := t.lacks(p, u)
			if lack <= 0 {
				continue
			}
			if s := lack + ties(p, u); s > best || s == best && to != nil && before(p, u, to, at) {
				to, at, best = p, u, s
			}
		}
	}
	if to == nil {
		return false
	}
	t.hand(to, at)
	return true
}

func ties(p *player, u *roster.Upstream) float64 {
	s := 0.0
	if p.holdings[u.ID] > 0 {
		s += tieHeld
	}
	if p.host.Domain == u.Domain {
		s += tieNear
	}
	return s
}

// before orders equal choices, so that all hosts deal the same.
func before(p *player, u *roster.Upstream, q *player, v *roster.Upstream) bool {
	if p != q {
		return strings.Compare(p.host.Name, q.host.Name) < 0
	}
	return strings.Compare(u.ID, v.ID) < 0
}

// Ask is what a host tells when it asks for its shares.
type Ask struct {
	Host   string   `json:"host"`
	Demand Demand   `json:"demand"`
	Held   Shares   `json:"held"`
	Down   []string `json:"down"` // Upstreams that the host holds and can't use.
}

package place

import (
	"maps"
	"math"
	"time"

	"github.com/boragelane/boragelane/internal/ctrl/deal"
)

// demandLife is the time constant of the demand: long against a job, short against a wave of callers.
const demandLife = 1500 * time.Millisecond

// demand is the work that the region's callers offer for one service.
type demand struct {
	offered time.Duration // Since it was last asked for.
	slots   float64       // Moving mean of the slots that it would keep busy.
	known   bool
	seen    time.Time // When a job was last offered.
}

// offer notes a job that asks for a slot. Before any has ended, a service's objective says best what its jobs take.
func (t *Table) offer(now time.Time, ask *Ask) {
	d := t.demands[ask.Service]
	if d == nil {
		d = &demand{}
		t.demands[ask.Service] = d
	}
	w := t.work(ask.Service)
	if w.start == workStart && ask.Objective.After(now) {
		w.start = ask.Objective.Sub(now)
	}
	d.offered += w.mean()
}

// Ask returns what this host tells of its region when it asks for loans: the services whose jobs it places.
func (t *Table) Ask(now time.Time) deal.Ask {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := deal.Ask{Region: t.view.Self.Region, Demand: deal.Demand{}, Held: maps.Clone(t.view.Loans)}
	gap := now.Sub(t.asked)
	t.asked = now
	for service, d := range t.demands {
		if d.offered > 0 {
			d.seen = now
		}
		if now.Sub(d.seen) > demandLife {
			delete(t.demands, service)
			continue
		}
		sample := float64(d.offered) / float64(max(gap, time.Millisecond))
		keep := math.Exp(-float64(gap) / float64(demandLife))
		if !d.known {
			keep = 0
		}
		d.slots, d.offered, d.known = keep*d.slots+(1-keep)*sample, 0, true
		a.Demand[service] = math.Round(d.slots*100) / 100
	}
	for id, l := range t.loads {
		if l.down(now) && t.view.User(l.upstream) == a.Region {
			a.Down = append(a.Down, id)
		}
	}
	return a
}

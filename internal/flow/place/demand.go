package place

import (
	"maps"
	"math"
	"time"

	"github.com/boragelane/boragelane/internal/ctrl/deal"
)

// demandLife is the time constant of the demand: long against a job, short against a wave of callers.
const demandLife = 1500 * time.Millisecond

// demand is the work that callers offer to this host for one service.
type demand struct {
	offered time.Duration // Since it was last asked for.
	slots   float64       // Moving mean of the slots that it would keep busy.
	known   bool
}

// offer notes a job that asks for a slot.
func (t *Table) offer(service string) {
	d := t.demands[service]
	if d == nil {
		d = &demand{}
		t.demands[service] = d
	}
	d.offered += t.work(service).mean()
}

// Ask returns what this host tells when it asks for its shares.
func (t *Table) Ask(now time.Time) deal.Ask {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := deal.Ask{Host: t.view.Self.Name, Demand: deal.Demand{}, Held: maps.Clone(t.view.Shares)}
	gap := now.Sub(t.asked)
	t.asked = now
	for service, d := range t.demands {
		if gap > 0 {
			sample := float64(d.offered) / float64(gap)
			keep := math.Exp(-float64(gap) / float64(demandLife))
			if !d.known {
				keep = 0
			}
			d.slots = keep*d.slots + (1-keep)*sample
			d.offered, d.known = 0, true
		}
		a.Demand[service] = math.Round(d.slots*100) / 100
	}
	for id, n := range t.view.Shares {
		if l := t.loads[id]; n > 0 && l != nil && l.down(now) {
			a.Down = append(a.Down, id)
		}
	}
	return a
}

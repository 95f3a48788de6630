package admin

import (
	"fmt"
	"time"

	gen "github.com/boragelane/boragelane/gen/admin"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/state"
)

func mapSlice[A, B any](list []A, f func(A) B) []B {
	out := make([]B, 0, len(list))
	for _, a := range list {
		out = append(out, f(a))
	}
	return out
}

func formatDuration(d spec.Duration) string { return time.Duration(d).String() }

func fromDocument(d spec.Document) *gen.Document {
	return &gen.Document{
		Revision: d.Revision, Floor: d.Floor,
		Ranks: mapSlice(d.Ranks, func(r spec.Rank) *gen.Rank {
			return &gen.Rank{Name: r.Name, Minimum: r.Minimum, Queue: r.Queue, Retry: r.Retry}
		}),
		Services: mapSlice(d.Services, func(s spec.Service) *gen.ServiceConfig {
			return &gen.ServiceConfig{Name: s.Name, Rank: s.Rank, Timeout: formatDuration(s.Timeout), Once: s.Once, Slots: s.Slots, Conns: s.Conns}
		}),
		Regions: mapSlice(d.Regions, fromRegion),
		Links: mapSlice(d.Links, func(l spec.Link) *gen.Link {
			return &gen.Link{From: l.From, To: l.To, Rate: l.Rate, Delay: formatDuration(l.Delay)}
		}),
		Drains: mapSlice(d.Drains, func(dr spec.Drain) *gen.Drain { return &gen.Drain{Kind: dr.Kind, Name: dr.Name} }),
		Shifts: mapSlice(d.Shifts, func(s spec.Shift) *gen.Shift {
			return &gen.Shift{
				Name: s.Name, Service: s.Service, From: s.From, To: s.To, Part: s.Part, Cap: s.Cap,
				Ramp: formatDuration(s.Ramp), Start: s.Start.Format(time.RFC3339),
			}
		}),
	}
}

func fromRegion(r spec.Region) *gen.Region {
	return &gen.Region{Name: r.Name, Capacity: r.Capacity, Domains: mapSlice(r.Domains, func(d spec.Domain) *gen.Domain {
		return &gen.Domain{Name: d.Name, Seats: mapSlice(d.Seats, func(s spec.Seat) *gen.Seat {
			return &gen.Seat{Name: s.Name, Front: s.Front, Peer: s.Peer}
		})}
	})}
}

func toRegion(r *gen.Region) spec.Region {
	return spec.Region{Name: r.Name, Capacity: r.Capacity, Domains: mapSlice(r.Domains, func(d *gen.Domain) spec.Domain {
		return spec.Domain{Name: d.Name, Seats: mapSlice(d.Seats, func(s *gen.Seat) spec.Seat {
			return spec.Seat{Name: s.Name, Front: s.Front, Peer: s.Peer}
		})}
	})}
}

// fieldParser parses text fields and keeps the first error.
type fieldParser struct{ err error }

func (p *fieldParser) duration(field, s string) spec.Duration {
	d, err := time.ParseDuration(s)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s: %q is not allowed; allowed: a time such as 1.5s", field, s)
	}
	return spec.Duration(d)
}

func (p *fieldParser) time(field, s string) time.Time {
	t, err := time.Parse(time.RFC3339, s)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s: %q is not allowed; allowed: a time such as 2026-01-02T15:04:05Z", field, s)
	}
	return t
}

func toChange(c *gen.Change) (spec.Change, error) {
	parser := &fieldParser{}
	ch := spec.Change{
		Floor: c.Floor,
		Ranks: mapSlice(c.Ranks, func(k *gen.Rank) spec.Rank {
			return spec.Rank{Name: k.Name, Minimum: k.Minimum, Queue: k.Queue, Retry: k.Retry}
		}),
		Services: mapSlice(c.Services, func(s *gen.ServiceConfig) spec.Service {
			return spec.Service{Name: s.Name, Rank: s.Rank, Timeout: parser.duration("timeout", s.Timeout), Once: s.Once, Slots: s.Slots, Conns: s.Conns}
		}),
		Regions: mapSlice(c.Regions, toRegion),
		Links: mapSlice(c.Links, func(l *gen.Link) spec.Link {
			return spec.Link{From: l.From, To: l.To, Rate: l.Rate, Delay: parser.duration("delay", l.Delay)}
		}),
		Drains: mapSlice(c.Drains, func(d *gen.Drain) spec.Drain { return spec.Drain{Kind: d.Kind, Name: d.Name} }),
		Shifts: mapSlice(c.Shifts, func(s *gen.Shift) spec.Shift {
			return spec.Shift{
				Name: s.Name, Service: s.Service, From: s.From, To: s.To, Part: s.Part, Cap: s.Cap,
				Ramp: parser.duration("ramp", s.Ramp), Start: parser.time("start", s.Start),
			}
		}),
		Remove: mapSlice(c.Remove, func(f *gen.Ref) spec.Ref { return spec.Ref{Kind: f.Kind, Name: f.Name} }),
	}
	return ch, parser.err
}

func fromStatus(st state.Status) *gen.Status {
	out := &gen.Status{
		Seat: st.Self.Seat, Domain: st.Self.Domain, Region: st.Self.Region, Incarnation: st.Self.Incarnation,
		Revision: st.Revision, Relay: st.Relay, Lender: st.Lender, Takeovers: append([]string{}, st.Takeovers...), Leaving: st.Leaving,
		Hosts: mapSlice(st.Hosts, func(h state.HostStatus) *gen.HostStatus {
			return &gen.HostStatus{Seat: h.Seat, Revision: h.Revision, Leaving: h.Leaving, Age: h.Age.Round(time.Millisecond).String()}
		}),
		Loads: mapSlice(st.Loads, func(l state.LoadStatus) *gen.LoadStatus {
			return &gen.LoadStatus{
				Domain: l.Domain, Service: l.Service, Slots: l.Load.Slots, Busy: l.Load.Busy, Queued: l.Load.Queued,
				Latency: l.Load.Latency.Round(time.Microsecond).String(), Age: l.Age.Round(time.Millisecond).String(),
			}
		}),
		Shares: mapSlice(st.Shares, func(s state.ShareStatus) *gen.ShareStatus {
			return &gen.ShareStatus{Resource: s.Resource, Floor: s.Quota.Floor, Lent: s.Lent}
		}),
		Shifts: []*gen.ShiftStatus{},
	}
	for name, p := range st.Shifts {
		out.Shifts = append(out.Shifts, &gen.ShiftStatus{Name: name, Done: p.Fraction, Paused: p.Paused})
	}
	return out
}

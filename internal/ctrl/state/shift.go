package state

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// Thresholds at which a shift pauses or reverses. Utilization is the target's running and queued jobs per slot; latency
// is compared with the target's latency when the shift began, plus a slack that keeps short latencies from pausing it.
// A reversal runs at shiftReverseFactor times the speed of the ramp.
const (
	shiftPauseUtilization   = 0.9
	shiftReverseUtilization = 1.2
	shiftLatencyFactor      = 1.5
	shiftLatencySlack       = 5 * time.Millisecond
	shiftReverseFactor      = 2.0
)

// advanceShifts updates the progress of each started shift out of this region, and deletes that of removed shifts.
func (s *State) advanceShifts(now time.Time) {
	live := map[string]bool{}
	for _, sh := range s.Doc.Shifts {
		live[sh.Name] = true
		if now.Before(sh.Start) || sh.From != s.Self.Region {
			continue
		}
		load := s.regionLoad(sh.To, sh.Service, now)
		s.Shifts[sh.Name] = advanceShift(s.Shifts[sh.Name], sh, load, now)
	}
	for name := range s.Shifts {
		if !live[name] {
			delete(s.Shifts, name)
		}
	}
}

// advanceShift returns the progress of a shift after the time since its last update, given its target's load.
func advanceShift(progress Progress, shift spec.Shift, load plan.Load, now time.Time) Progress {
	if progress.UpdatedAt.IsZero() {
		return Progress{UpdatedAt: now, BaseLatency: load.Latency}
	}
	elapsed := now.Sub(progress.UpdatedAt)
	progress.UpdatedAt = now
	delta := 1.0
	if shift.Ramp > 0 {
		delta = elapsed.Seconds() / time.Duration(shift.Ramp).Seconds()
	}
	utilization := 2.0
	if load.Slots > 0 {
		utilization = float64(load.Busy+load.Queued) / float64(load.Slots)
	}
	slow := load.Latency > time.Duration(shiftLatencyFactor*float64(progress.BaseLatency))+shiftLatencySlack
	switch {
	case utilization >= shiftReverseUtilization:
		progress.Paused = true
		progress.Fraction = max(0, progress.Fraction-shiftReverseFactor*delta)
	case utilization >= shiftPauseUtilization || slow:
		progress.Paused = true
	default:
		progress.Paused = false
		progress.Fraction = min(1, progress.Fraction+delta)
	}
	return progress
}

// regionLoad sums the loads of a service that the region's failure domains last published.
func (s *State) regionLoad(region, service string, now time.Time) plan.Load {
	var sum plan.Load
	for _, r := range s.Doc.Regions {
		if r.Name != region {
			continue
		}
		for _, d := range r.Domains {
			if record, ok := s.Summaries[d.Name]; ok && now.Sub(record.ReceivedAt) < s.summaryTimeout() {
				sum = addLoads(sum, record.Loads[service])
			}
		}
	}
	return sum
}

// shifts returns the shifts that currently move traffic, with this host's share of each rate cap.
func (s *State) shifts() []plan.Shift {
	var out []plan.Shift
	for _, sh := range s.Doc.Shifts {
		p, ok := s.Shifts[sh.Name]
		if !ok || p.Fraction <= 0 {
			continue
		}
		out = append(out, plan.Shift{
			Name: sh.Name, Service: sh.Service, To: sh.To, Fraction: sh.Part * p.Fraction,
			Rate: sh.Cap / float64(max(1, s.countRegionSeats(sh.From))),
		})
	}
	return out
}

func (s *State) countRegionSeats(region string) int {
	n := 0
	for _, r := range s.Doc.Regions {
		if r.Name != region {
			continue
		}
		for _, d := range r.Domains {
			n += len(d.Seats)
		}
	}
	return n
}

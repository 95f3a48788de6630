package place

import (
	"math"
	"time"
)

const (
	// shiftSpan is the span over which the part of jobs that leave the region is compared with the span before it: the
	// time in which callers may be moved by a bounded part.
	shiftSpan = 2 * time.Second
	// shiftStep is the length of the pieces in which jobs are counted.
	shiftStep = 100 * time.Millisecond
	// shiftPart is the part of the bound that a service may use: jobs are counted when they are placed and not when they
	// arrive, and hosts that can't be reached place by themselves.
	shiftPart = 0.8
	// chance is how many standard deviations of a share are let pass besides: half, as four services vary half as much
	// together as one does.
	chance = 0.5
	// shiftLeast is how many jobs a span must have before it tells anything.
	shiftLeast = 20
	// outagePart is the part of a region's slots that is lost or regained at once when its jobs may move freely.
	outagePart = 0.15
	// shiftPieces is how many pieces two spans have.
	shiftPieces = int(2 * shiftSpan / shiftStep)
)

// shiftLimiter counts where the jobs of a service run, and keeps the part that leaves the region from changing too fast: callers
// of a region must not be moved all at once.
type shiftLimiter struct {
	pieces [shiftPieces]piece
	out    float64 // The part of the region's slots that can't be used.
	free   time.Time
}

// piece is the jobs of one step of time.
type piece struct {
	step      int64
	all, away int
}

func stepOf(now time.Time) int64 { return now.UnixNano() / int64(shiftStep) }

// note counts a job.
func (s *shiftLimiter) note(now time.Time, away bool) {
	step := stepOf(now)
	p := &s.pieces[int(step%int64(shiftPieces))]
	if p.step != step {
		*p = piece{step: step}
	}
	p.all++
	if away {
		p.away++
	}
}

// health tells which part of the region's slots can't be used. An outage, or its end, frees the jobs to move for two spans.
func (s *shiftLimiter) health(now time.Time, out float64) {
	if d := out - s.out; d > outagePart || d < -outagePart {
		s.out, s.free = out, now.Add(2*shiftSpan)
	}
	s.out += outageWeight * (out - s.out)
}

// outageWeight is the weight of the newest look at a region's slots, of which there are two to six a second: what comes
// slowly is no outage.
const outageWeight = 0.2

// bounds tells whether the next job may run in the region, and whether it may leave it.
func (s *shiftLimiter) bounds(now time.Time, limit float64) (here, away bool) {
	if limit <= 0 || now.Before(s.free) {
		return true, true
	}
	var old, recent piece
	step := stepOf(now)
	for i := range s.pieces {
		p := &s.pieces[i]
		switch age := step - p.step; {
		case age < 0 || age >= int64(shiftPieces):
		case age >= int64(shiftPieces)/2:
			old.all, old.away = old.all+p.all, old.away+p.away
		default:
			recent.all, recent.away = recent.all+p.all, recent.away+p.away
		}
	}
	if old.all < shiftLeast || recent.all < shiftLeast {
		return true, true
	}
	// Few jobs vary by chance, and several services add up to less than each varies.
	most := shiftPart*limit + chance/math.Sqrt(float64(min(old.all, recent.all)))
	was := float64(old.away) / float64(old.all)
	more := float64(recent.away+1) / float64(recent.all+1)
	less := float64(recent.away) / float64(recent.all+1)
	return was-less <= most, more-was <= most
}

// within leaves only the candidates that the bounds allow, if there are any.
func within(list []Candidate, paths []path, here, away bool) []Candidate {
	if here && away {
		return list
	}
	n := 0
	for i := range list {
		if far := paths[list[i].load.domain].tier == Far; far && away || !far && here {
			list[i], list[n] = list[n], list[i]
			n++
		}
	}
	if n == 0 {
		return list
	}
	return list[:n]
}

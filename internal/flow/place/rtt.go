package place

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// rttEstimates holds the round-trip time from one failure domain to another.
type rttEstimates map[[2]string]time.Duration

// Assumed round-trip times before a connection was opened, by locality.
var initialRTT = [...]time.Duration{SameDomain: time.Millisecond, SameRegion: 3 * time.Millisecond, OtherRegion: 60 * time.Millisecond}

// crossingPenalty is added to the round trip because traffic between failure domains and regions is billed.
var crossingPenalty = [...]time.Duration{SameDomain: 0, SameRegion: 25 * time.Millisecond, OtherRegion: 40 * time.Millisecond}

func (r rttEstimates) expected(from *roster.Host, u *roster.Upstream) time.Duration {
	if d, ok := r[[2]string{from.Domain, u.Domain}]; ok {
		return d
	}
	return initialRTT[localityOf(from, u)]
}

const (
	// maxFirstRTT bounds the first sample, as a multiple of the assumed round trip: a retransmission takes a second.
	maxFirstRTT = 5
	// rttQuantile is the quantile of the times to open a connection that is taken for the round trip. Retransmissions and overloaded
	// upstreams make some of them longer, nothing makes them shorter.
	rttQuantile = 0.25
	// rttStep is the relative size of the steps towards the quantile.
	rttStep = 0.2
)

// record adds the time that a connection took to open, between domains whose round trip was expected to take the given time. It answers
// samples that are a hundred times as long as the round trip: how far a sample is off doesn't count, only on which side it is.
func (r rttEstimates) record(from, to string, took, expected time.Duration) {
	if took <= 0 {
		return
	}
	key := [2]string{from, to}
	old, ok := r[key]
	switch {
	case !ok:
		r[key] = min(took, maxFirstRTT*expected)
	case took > old:
		r[key] = min(took, time.Duration((1+rttStep*rttQuantile)*float64(old)))
	default:
		r[key] = max(took, time.Duration((1-rttStep*(1-rttQuantile))*float64(old)))
	}
}

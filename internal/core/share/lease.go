package share

import "time"

// ClockDriftMargin is subtracted from the end of each lease and loan because the clocks of two hosts run at different
// rates.
const ClockDriftMargin = 200 * time.Millisecond

// Lease is a right that expires; the holder counts its duration from before it sent the request.
type Lease struct {
	Until time.Time
}

// Valid reports whether the lease is valid for longer than ClockDriftMargin.
func (l Lease) Valid(now time.Time) bool { return now.Add(ClockDriftMargin).Before(l.Until) }

// Remaining returns the remaining time of the lease less ClockDriftMargin, or 0.
func (l Lease) Remaining(now time.Time) time.Duration {
	if !l.Valid(now) {
		return 0 // Subtracting from a zero time would overflow.
	}
	return l.Until.Sub(now) - ClockDriftMargin
}

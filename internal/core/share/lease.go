package share

import "time"

// Margin is subtracted from the end of each lease and loan because the clocks of two hosts run at different rates.
const Margin = 200 * time.Millisecond

// Lease is a right that expires; the holder counts its duration from before it sent the request.
type Lease struct {
	Until time.Time
}

// Held reports whether the lease is valid for longer than Margin.
func (l Lease) Held(now time.Time) bool { return now.Add(Margin).Before(l.Until) }

// Left returns the remaining time of the lease less Margin, or 0.
func (l Lease) Left(now time.Time) time.Duration {
	if !l.Held(now) {
		return 0 // Subtracting from a zero time would overflow.
	}
	return l.Until.Sub(now) - Margin
}

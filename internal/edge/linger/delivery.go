package linger

import (
	"cmp"
	"time"
)

const (
	// CheckInterval is the interval at which a delivery is checked.
	CheckInterval = 50 * time.Millisecond
	// stallTimeout is how long a peer may take without receiving a byte.
	stallTimeout = 10 * time.Second
	// deliveryTimeout is how long a peer may take to receive the bytes that the kernel holds for it, however steadily it does.
	deliveryTimeout = time.Minute
	// quietTimeout is how long a peer that has received everything may neither send nor close the connection.
	quietTimeout = 500 * time.Millisecond
	// CloseTimeout is how long a peer that has received everything may go on sending.
	CloseTimeout = 3 * time.Second
)

// Delivery decides how long a connection is kept after the last write. A byte counts as received when the peer's kernel has
// acknowledged it.
type Delivery struct {
	QuietTimeout time.Duration // Replaces quietTimeout unless it is 0.
	BeganAt      time.Time     // When it was checked first.
	Missing      int           // The bytes that the peer had not received at the last check.
	ProgressAt   time.Time     // When their number last fell.
	SentAt       time.Time     // When the peer last sent something.
}

// Expired reports whether the connection is to be closed now. If the number of missing bytes is unknown, they may be missing.
func (d *Delivery) Expired(now time.Time, missing int, known bool) bool {
	if d.BeganAt.IsZero() {
		d.BeganAt = now
	}
	if d.ProgressAt.IsZero() || missing < d.Missing {
		d.Missing, d.ProgressAt = missing, now
	}
	if missing > 0 || !known {
		return now.Sub(d.ProgressAt) >= stallTimeout || now.Sub(d.BeganAt) >= deliveryTimeout
	}
	quiet := now.Sub(d.ProgressAt)
	if d.SentAt.After(d.ProgressAt) {
		quiet = now.Sub(d.SentAt)
	}
	return quiet >= cmp.Or(d.QuietTimeout, quietTimeout) || now.Sub(d.ProgressAt) >= CloseTimeout
}

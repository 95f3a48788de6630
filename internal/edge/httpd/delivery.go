package httpd

import (
	"cmp"
	"time"
)

const (
	// deliveryPeriod is the interval at which the delivery of a response is checked.
	deliveryPeriod = 50 * time.Millisecond
	// stallTimeout is how long a caller may take without receiving a byte of its response.
	stallTimeout = writeTimeout
	// deliveryTimeout is how long a caller may take to receive the bytes that the kernel holds for it, however steadily it does.
	deliveryTimeout = time.Minute
	// quietTimeout is how long a caller that has received its last response may neither send nor close the connection.
	quietTimeout = 500 * time.Millisecond
	// closeTimeout is how long a caller that has received its last response may go on sending.
	closeTimeout = 3 * time.Second
)

// delivery decides how long a connection is kept after its last response.
type delivery struct {
	QuietTimeout time.Duration // Replaces quietTimeout unless it is 0.
	BeganAt      time.Time     // When it was checked first.
	Missing      int           // The bytes that the caller had not received at the last check.
	ProgressAt   time.Time     // When their number last fell.
	SentAt       time.Time     // When the caller last sent something.
}

// expired reports whether the connection is to be closed now. If the number of missing bytes is unknown, they may be missing.
func (d *delivery) expired(now time.Time, missing int, known bool) bool {
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
	return quiet >= cmp.Or(d.QuietTimeout, quietTimeout) || now.Sub(d.ProgressAt) >= closeTimeout
}

package dedup

import (
	"strconv"
	"strings"
	"time"
)

// Ticket names the only process that may run a job, and when the ticket expires.
type Ticket struct {
	Seat        string
	Incarnation string
	Expiry      time.Time
	Nonce       string
}

const separator = "~"

// String returns the ticket in the form that callers send.
func (t Ticket) String() string {
	return strings.Join([]string{t.Seat, t.Incarnation, strconv.FormatInt(t.Expiry.Unix(), 10), t.Nonce}, separator)
}

// ParseTicket parses a ticket; it returns ErrTicket if the ticket is malformed.
func ParseTicket(s string) (Ticket, error) {
	if len(s) > 256 {
		return Ticket{}, ErrTicket.New("a ticket has at most 256 bytes, got %d", len(s))
	}
	parts := strings.Split(s, separator)
	if len(parts) != 4 || parts[0] == "" || parts[1] == "" || parts[3] == "" {
		return Ticket{}, ErrTicket.New("a ticket has the form seat~incarnation~expiry~nonce, got %q", s)
	}
	sec, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || sec < 0 {
		return Ticket{}, ErrTicket.New("a ticket's expiry is in seconds since 1970, got %q", parts[2])
	}
	return Ticket{Seat: parts[0], Incarnation: parts[1], Expiry: time.Unix(sec, 0), Nonce: parts[3]}, nil
}

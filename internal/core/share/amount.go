package share

import "time"

// Quota is a holder's share of a limit: a permanent floor plus units on loan until a deadline. Readers pass the current
// time, so that a process that resumes after a pause no longer uses a loan that has expired.
type Quota struct {
	Floor int64
	Lent  int64
	Until time.Time
}

// At returns the units that may be used at the given time.
func (q Quota) At(now time.Time) int64 {
	if q.Lent > 0 && now.Before(q.Until) {
		return q.Floor + q.Lent
	}
	return q.Floor
}

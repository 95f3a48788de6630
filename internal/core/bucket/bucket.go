package bucket

import "time"

// BurstFraction is the burst size as a fraction of the limit for one second.
const BurstFraction = 0.1

// Bucket is a token bucket: in any window of one second, at most Limit tokens are spent, unless a single Take exceeds the
// burst size.
type Bucket struct {
	Limit      float64   // Tokens a second.
	Tokens     float64   // Negative while in debt.
	RefilledAt time.Time // Time of the last refill.
}

// New returns an empty bucket with a limit in tokens a second; a full one would allow another burst after each restart.
func New(limit float64, now time.Time) Bucket {
	return Bucket{Limit: limit, RefilledAt: now}
}

// Refill adds the tokens for the time since the last refill, up to the burst size.
func (b *Bucket) Refill(now time.Time) {
	elapsed := now.Sub(b.RefilledAt)
	if elapsed <= 0 {
		return
	}
	b.RefilledAt = now
	b.Tokens = min(b.Limit*BurstFraction, b.Tokens+b.Limit*(1-BurstFraction)*elapsed.Seconds())
}

// SetLimit changes the limit and discards tokens above the new burst size.
func (b *Bucket) SetLimit(limit float64, now time.Time) {
	b.Refill(now)
	b.Limit = limit
	b.Tokens = min(b.Tokens, limit*BurstFraction)
}

// Take spends n tokens and returns 0, or spends none and returns the time until enough are available. For n above the
// burst size, a full bucket is enough and goes into debt. With a limit of 0 it returns an hour.
func (b *Bucket) Take(n float64, now time.Time) time.Duration {
	b.Refill(now)
	need := min(n, b.Limit*BurstFraction)
	if b.Limit <= 0 {
		return time.Hour
	}
	if b.Tokens >= need {
		b.Tokens -= n
		return 0
	}
	wait := (need - b.Tokens) / (b.Limit * (1 - BurstFraction))
	return time.Duration(wait*float64(time.Second)) + time.Microsecond
}

// TakeOne spends one token if the bucket holds at least one; it never goes into debt. Its burst size is at least one
// token, and its refill rate is lower in turn, so that small limits can be used without being exceeded.
func (b *Bucket) TakeOne(now time.Time) bool {
	burst := max(1, b.Limit*BurstFraction)
	rate := b.Limit - burst
	if b.Limit < 2 {
		rate = b.Limit / 2
	}
	if elapsed := now.Sub(b.RefilledAt); elapsed > 0 {
		b.RefilledAt = now
		b.Tokens = min(burst, b.Tokens+rate*elapsed.Seconds())
	}
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

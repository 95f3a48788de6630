package admit

import (
	"time"
)

// Waiter is a job that waits for a slot.
type Waiter struct {
	Service  string
	Level    int
	Deadline time.Time
	Since    time.Time
	Ready    chan Decision
	done     bool
}

// Decision is the result of a wait: admission to an upstream, or a refusal.
type Decision struct {
	Admitted bool
	Upstream string
	Refusal  Refusal
}

// Refusal is the reason why a job was not admitted.
type Refusal int

// Reasons of refusal.
const (
	// NotRefused means that the job was queued.
	NotRefused Refusal = iota
	// NoUpstream means that no upstream accepts jobs before the deadline.
	NoUpstream
	// QueueFull means that the rank's queue is full.
	QueueFull
	// TooLate means that the deadline can't be met.
	TooLate
)

// queue is the FIFO queue of one rank of one service.
type queue struct {
	waiters       []*Waiter
	head          int
	canceled      int           // The canceled waiters that are still in waiters.
	lastAdmitted  time.Time     // The last admission, or zero if it left the queue empty.
	admitInterval time.Duration // Moving average of the time between admissions while there is a backlog.
}

func (q *queue) len() int { return len(q.waiters) - q.head - q.canceled }

func (q *queue) push(w *Waiter) { q.waiters = append(q.waiters, w) }

// peek discards the canceled waiters at the head and returns the oldest one left, or nil.
func (q *queue) peek() *Waiter {
	for q.head < len(q.waiters) {
		w := q.waiters[q.head]
		if !w.done {
			return w
		}
		q.waiters[q.head] = nil
		q.head++
		q.canceled--
	}
	q.waiters, q.head = q.waiters[:0], 0
	return nil
}

// pop removes the oldest waiter; call it right after peek.
func (q *queue) pop() {
	q.waiters[q.head] = nil
	q.head++
	if q.head > 1024 && q.head*2 > len(q.waiters) {
		q.waiters = append(q.waiters[:0], q.waiters[q.head:]...)
		q.head = 0
	}
}

// sampleWeight is the weight of the newest sample in a moving average.
const sampleWeight = 0.1

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(sampleWeight*float64(sample-old))
}

// recordAdmission updates the mean time between admissions, which counts only while there is a backlog.
func (q *queue) recordAdmission(now time.Time, backlogged bool) {
	if backlogged && !q.lastAdmitted.IsZero() {
		q.admitInterval = movingAverage(q.admitInterval, now.Sub(q.lastAdmitted))
	}
	q.lastAdmitted = now
	if !backlogged {
		q.lastAdmitted = time.Time{}
	}
}

// initialServiceTime is the mean service time that is assumed until jobs have finished.
const initialServiceTime = 5 * time.Millisecond

// meanServiceTime is the mean service time of one rank's jobs.
type meanServiceTime struct {
	mean    time.Duration
	updated time.Time // When mean was last updated or halved.
}

// serviceTimes holds the mean service time of each rank, which the rank selector charges for each admitted job.
type serviceTimes []meanServiceTime

func (t *serviceTimes) resize(n int) {
	for len(*t) < n {
		*t = append(*t, meanServiceTime{mean: initialServiceTime})
	}
}

func (t serviceTimes) seconds(level int) float64 { return t[level].mean.Seconds() }

func (t serviceTimes) observe(level int, took time.Duration, now time.Time) {
	if level < len(t) {
		t[level] = meanServiceTime{mean: max(time.Microsecond, movingAverage(t[level].mean, took)), updated: now}
	}
}

// maxMeanAge is the minimum time for which a mean is kept without a finished job. A mean above half of it is kept for
// twice its value.
const maxMeanAge = time.Second

// decay halves the means that no finished job has updated for a while. A mean that is too high may otherwise
// refuse the very jobs that would lower it.
func (t serviceTimes) decay(now time.Time) {
	for i, m := range t {
		if m.mean > initialServiceTime && now.Sub(m.updated) >= max(maxMeanAge, 2*m.mean) {
			t[i] = meanServiceTime{mean: max(initialServiceTime, m.mean/2), updated: now}
		}
	}
}

package admit

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
)

// Result classifies how a job ended, for the adaptive limit of its upstream.
type Result int

// Results of a job.
const (
	// Done means that a complete answer came back.
	Done Result = iota
	// Overload means that the upstream shed the job or did not answer in time.
	Overload
	// Failed means that the connection was refused, or lost because the upstream seems to have crashed.
	Failed
	// Aborted means any other end, such as a caller that disconnected; the limit stays as it is.
	Aborted
	// Draining means that the upstream announced in its answer that it is draining.
	Draining
)

// Parameters of the adaptive concurrency limit.
const (
	// maxLatencyFactor and latencySlack define when latency is high: the mean exceeds maxLatencyFactor times the
	// base latency plus latencySlack.
	maxLatencyFactor = 2.0
	latencySlack     = 5 * time.Millisecond
	// The limit is multiplied by slowLimitFactor when latency is high and by overloadLimitFactor after an overload.
	slowLimitFactor     = 0.8
	overloadLimitFactor = 0.5
	// minBackoff is how long an upstream is paused after an overload or a failure. The pause doubles, up to
	// maxBackoff, with each further one without a success in between.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// maxProbeInterval is the longest time between two probes of an upstream that is down.
	maxProbeInterval = time.Second
	// drainPause is how long a draining upstream gets no jobs; from then on the platform's list decides.
	drainPause = 60 * time.Second
)

// upstreamState is the scheduler's state of an upstream: this host's share of its slots, and an adaptive
// concurrency limit within that share.
type upstreamState struct {
	plan.Upstream
	limit       float64
	inFlight    int64
	latency     time.Duration // Moving average of the service times.
	baseLatency time.Duration // Slowly rising minimum of the service times.
	lowered     time.Time     // When the limit was last lowered.
	backoff     time.Duration // The length of the last pause; 0 after a success.
	pausedUntil time.Time     // No jobs are admitted before then.
	down        bool          // No jobs are admitted until a probe reaches it.
	removed     bool          // No longer in the plan; deleted when its last job has ended.
}

// newUpstreamState starts with a limit of one job, since the upstream may be cold.
func newUpstreamState(u plan.Upstream) *upstreamState { return &upstreamState{Upstream: u, limit: 1} }

func (s *upstreamState) hasRoom(now time.Time) bool {
	slots := s.Slots.At(now)
	if s.removed || s.down || now.Before(s.pausedUntil) || slots == 0 {
		return false
	}
	return s.inFlight < max(1, min(slots, int64(s.limit)))
}

// finishEstimate returns a value proportional to the expected time until one more job has finished.
func (s *upstreamState) finishEstimate() float64 {
	return float64(s.inFlight+1) * float64(s.latency+time.Millisecond)
}

func (s *upstreamState) release(now time.Time, took time.Duration, r Result) {
	s.inFlight--
	switch r {
	case Done:
		s.recordSuccess(now, took)
	case Overload:
		s.lowerLimit(now, overloadLimitFactor)
		s.backOff(now)
	case Failed:
		s.markDown(now)
	case Draining:
		s.pausedUntil = now.Add(drainPause)
	case Aborted:
	}
}

func (s *upstreamState) recordSuccess(now time.Time, took time.Duration) {
	s.backoff = 0
	s.latency = movingAverage(s.latency, took)
	s.updateBaseLatency(took)
	if s.latency > time.Duration(maxLatencyFactor*float64(s.baseLatency))+latencySlack {
		s.lowerLimit(now, slowLimitFactor)
		return
	}
	if float64(s.inFlight+1) >= s.limit-1 {
		s.limit = min(float64(max(1, s.Slots.At(now))), s.limit+1/s.limit)
	}
}

// updateBaseLatency tracks the minimum latency: it falls at once and rises slowly.
func (s *upstreamState) updateBaseLatency(took time.Duration) {
	if s.baseLatency == 0 || took < s.baseLatency {
		s.baseLatency = took
		return
	}
	s.baseLatency += (took - s.baseLatency) / 200
}

// lowerLimit multiplies the limit by a factor, at most once per mean latency.
func (s *upstreamState) lowerLimit(now time.Time, factor float64) {
	if now.Sub(s.lowered) < s.latency {
		return
	}
	s.lowered = now
	s.limit = max(1, s.limit*factor)
}

// markDown takes the upstream out of use until a probe reaches it, so that no job has to serve as the probe.
func (s *upstreamState) markDown(now time.Time) {
	s.limit, s.down = 1, true
	s.backOff(now)
	s.pausedUntil = now.Add(min(maxProbeInterval, s.backoff))
}

func (s *upstreamState) backOff(now time.Time) {
	s.backoff = min(maxBackoff, max(minBackoff, s.backoff*2))
	s.pausedUntil = now.Add(s.backoff)
}

package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays connections of which a tenth are retransmitted and a tenth wait for an overloaded upstream. Guards against a round trip of a second
// that keeps all jobs from a failure domain.
func TestARetransmissionIsNoRoundTrip(t *testing.T) {
	for _, first := range []time.Duration{20 * ms, time.Second} {
		r, random := rttEstimates{}, rand.New(rand.NewPCG(1, 1))
		key := [2]string{"a", "b"}
		r.record("a", "b", first, initialRTT[SameRegion])
		for i := range 200 {
			took := time.Duration(float64(20*ms) * (0.9 + 0.2*random.Float64()))
			switch random.IntN(10) {
			case 0:
				took += time.Second
			case 1:
				took += 200 * ms
			}
			before := r[key]
			r.record("a", "b", took, before)
			assert.Assert(t, r[key] <= before*106/100, "%v after %v and a sample of %v", r[key], before, took)
			if i >= 60 {
				assert.Assert(t, r[key] > 15*ms && r[key] < 24*ms, "%v for a round trip of 20 ms", r[key])
			}
		}
	}
}

// Guards against taking the time to open a connection for work.
func TestTheWorkLeavesOutTheOpeningOfAConnection(t *testing.T) {
	sched := newTestScheduler(upstream("u", "a", "east"))
	runJobs(sched, 3, func(int) Result {
		return Result{Duration: 1100 * ms, DialTime: time.Second, Succeeded: true}
	})
	assert.Assert(t, sched.estimate("s").all < 105*ms, "%v", sched.estimate("s").all)
}

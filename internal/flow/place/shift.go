package place

import (
	"math"
	"time"
)

const (
	// shiftWindow is the period over which the share of jobs that leave the region is measured and compared with the
	// previous period. The limit on moved callers applies to the same period.
	shiftWindow = 2 * time.Second
	// shiftBucketWidth is the width of a counting bucket.
	shiftBucketWidth = 100 * time.Millisecond
	// shiftHeadroom is the share of the limit that a service may use. The rest covers the delay between a job's
	// arrival and its placement, and the placements of hosts that are cut off.
	shiftHeadroom = 0.8
	// allowedDeviations is the number of standard deviations of the measured share that are tolerated in addition to
	// the limit. It is one half because the sum of four services varies half as much as one of them.
	allowedDeviations = 0.5
	// minShiftSamples is the number of jobs that a window needs for its share to be meaningful.
	minShiftSamples = 20
	// outageThreshold is the sudden change in the unusable share of a region's slots that lifts the limit.
	outageThreshold = 0.15
	// shiftBuckets is the number of buckets in two windows.
	shiftBuckets = int(2 * shiftWindow / shiftBucketWidth)
)

// shiftLimiter counts where the jobs of a service run and limits how fast the share that leaves the region changes, so
// that a region's callers are not all moved at once.
type shiftLimiter struct {
	buckets        [shiftBuckets]shiftBucket
	unusable       float64 // Moving average of the share of the region's slots that cannot be used.
	unlimitedUntil time.Time
}

// shiftBucket counts the jobs of one interval.
type shiftBucket struct {
	index         int64
	total, remote int
}

func bucketIndex(now time.Time) int64 { return now.UnixNano() / int64(shiftBucketWidth) }

// record counts a job.
func (s *shiftLimiter) record(now time.Time, remote bool) {
	index := bucketIndex(now)
	b := &s.buckets[int(index%int64(shiftBuckets))]
	if b.index != index {
		*b = shiftBucket{index: index}
	}
	b.total++
	if remote {
		b.remote++
	}
}

// setUnusable records the share of the region's slots that cannot be used. The start or end of an outage lifts the
// limit for two windows.
func (s *shiftLimiter) setUnusable(now time.Time, unusable float64) {
	if d := unusable - s.unusable; d > outageThreshold || d < -outageThreshold {
		s.unusable, s.unlimitedUntil = unusable, now.Add(2*shiftWindow)
	}
	s.unusable += outageWeight * (unusable - s.unusable)
}

// outageWeight is the weight of the newest sample of the unusable share, which is sampled two to six times a second.
// The average follows gradual changes, which are not outages.
const outageWeight = 0.2

// allowed reports whether the next job may run in the region and whether it may leave it.
func (s *shiftLimiter) allowed(now time.Time, limit float64) (mayStay, mayLeave bool) {
	if limit <= 0 || now.Before(s.unlimitedUntil) {
		return true, true
	}
	var previous, recent shiftBucket
	current := bucketIndex(now)
	for i := range s.buckets {
		b := &s.buckets[i]
		switch age := current - b.index; {
		case age < 0 || age >= int64(shiftBuckets):
		case age >= int64(shiftBuckets)/2:
			previous.total, previous.remote = previous.total+b.total, previous.remote+b.remote
		default:
			recent.total, recent.remote = recent.total+b.total, recent.remote+b.remote
		}
	}
	if previous.total < minShiftSamples || recent.total < minShiftSamples {
		return true, true
	}
	// Small samples vary randomly, and the sum of several services varies less than each of them.
	maxChange := shiftHeadroom*limit + allowedDeviations/math.Sqrt(float64(min(previous.total, recent.total)))
	before := float64(previous.remote) / float64(previous.total)
	more := float64(recent.remote+1) / float64(recent.total+1)
	less := float64(recent.remote) / float64(recent.total+1)
	return before-less <= maxChange, more-before <= maxChange
}

// restrict drops the candidates that the shift limit rules out, unless it rules out all of them.
func restrict(list []Candidate, paths []path, mayStay, mayLeave bool) []Candidate {
	if mayStay && mayLeave {
		return list
	}
	n := 0
	for i := range list {
		if remote := paths[list[i].load.domainIndex].locality == OtherRegion; remote && mayLeave || !remote && mayStay {
			list[i], list[n] = list[n], list[i]
			n++
		}
	}
	if n == 0 {
		return list
	}
	return list[:n]
}

package place

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Locality classifies an upstream by its distance from a host.
type Locality int

// Localities, in order of increasing distance.
const (
	// SameDomain upstreams are in the host's failure domain.
	SameDomain Locality = iota
	// SameRegion upstreams are in the host's region.
	SameRegion
	// OtherRegion upstreams are in another region.
	OtherRegion
)

// Candidate is an upstream that may run a job, with the values used to compare it with others.
type Candidate struct {
	Upstream *roster.Upstream
	Cost     time.Duration // Expected time until the answer, including queueing.
	Free     int           // Slots that the job could use now; none if not positive.
	Warming  bool          // The upstream is cold and due for a warm-up request.
	Score    uint64        // Rendezvous score for the job's object; the upstream with the highest score owns the object.

	load *load
}

// costGranularity is the smallest difference in cost that matters. Candidates within the same step are ordered by
// rendezvous score, so that all hosts send an object to the same few upstreams.
const costGranularity = 8 * time.Millisecond

// Choose returns the index of the best candidate, or -1 if the list is empty. The best candidate may have no free
// slot: queueing for it is then expected to take less time than running the job on an upstream that has not cached its
// object.
func Choose(list []Candidate) int {
	best := -1
	for i := range list {
		if best < 0 || better(&list[i], &list[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Candidate) bool {
	if a.Warming != b.Warming {
		return a.Warming
	}
	if x, y := a.Cost/costGranularity, b.Cost/costGranularity; x != y {
		return x < y
	}
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	return a.Free > b.Free
}

// localityOf returns the locality of an upstream relative to a host.
func localityOf(self *roster.Host, u *roster.Upstream) Locality {
	switch {
	case u.Domain == self.Domain:
		return SameDomain
	case u.Region == self.Region:
		return SameRegion
	}
	return OtherRegion
}

// Request holds the attributes of a job that placement depends on.
type Request struct {
	Host      roster.Host // The host that received the job.
	Service   string
	Rank      int
	Object    string
	Homes     []string // The regions that may run the job; empty allows all.
	Tried     []string
	Objective time.Time         // Target time for the answer.
	Deadline  time.Time         // An answer after this time is useless.
	Isolated  bool              // The host cannot reach the placing host of its pool.
	NoWait    bool              // A second attempt of a job that still runs: it gets a slot that is free now, or none.
	Digest    uint64            // Identifies the job when it is sent again.
	Workspace string            // The workspace that the job counts against; empty for none.
	Counted   bool              // An earlier attempt that may have run counts against the workspace already.
	Trace     map[string]string // Trace context of the job's span.

	cachedHash uint64
}

// Refusal tells why a job got no slot.
type Refusal struct {
	Quarantined bool          // The job has crashed too many upstreams.
	OverQuota   bool          // The job's workspace has used up its quota.
	Stopping    bool          // This host is stopping and sends no further job to an upstream.
	RetryAfter  time.Duration // When a slot is expected to be free; 0 if unknown.
}

// objectHash returns the hash of the job's object, or 0 if it has none.
func (r *Request) objectHash() uint64 {
	if r.Object != "" && r.cachedHash == 0 {
		r.cachedHash = rendez.Hash(r.Object)
	}
	return r.cachedHash
}

func (r *Request) allows(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

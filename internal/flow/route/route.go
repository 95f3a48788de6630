package route

import (
	"context"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/bucket"
	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// MaxTargets is the maximum number of targets per job.
const MaxTargets = 3

// Reasons for choosing a target.
const (
	ReasonLocal       = "local"
	ReasonSameRegion  = "same region"
	ReasonOtherRegion = "another region"
	ReasonShift       = "shift"
)

// costResolution is the unit of a target's cost; expected times that round up to the same cost count as equal.
const costResolution = 2 * time.Millisecond

// WaitEstimator estimates how long a new job would wait on this host.
type WaitEstimator interface {
	EstimateWait(now time.Time, service string, level int) time.Duration
}

// Filter selects the targets of jobs.
type Filter struct {
	Estimator WaitEstimator

	mu          sync.Mutex
	shiftLimits map[string]*bucket.Bucket
}

// New returns a filter with no shift in progress.
func New(local WaitEstimator) *Filter {
	return &Filter{Estimator: local, shiftLimits: map[string]*bucket.Bucket{}}
}

// String returns the filter's name.
func (*Filter) String() string { return "route" }

// Run selects the job's first target, or refuses the job if no failure domain can serve it.
func (f *Filter) Run(_ context.Context, now time.Time, job *pipe.Job) {
	q := f.query(now, job)
	q.ShiftRegion = f.shiftRegion(now, job)
	job.Targets = SelectTargets(now, job.Plan, q, job.Targets, 1)
	if len(job.Targets) == 0 {
		job.Refuse(pipe.NoTarget, "no failure domain serves "+job.Service+" now")
	}
}

// AddTargets appends further targets, up to MaxTargets, for a job that its first target did not answer.
func (f *Filter) AddTargets(now time.Time, job *pipe.Job) {
	job.Targets = SelectTargets(now, job.Plan, f.query(now, job), job.Targets, MaxTargets)
}

func (f *Filter) query(now time.Time, job *pipe.Job) Query {
	return Query{
		Service:   job.Service,
		Hash:      job.Digest ^ job.CallerHash,
		LocalWait: f.Estimator.EstimateWait(now, job.Service, job.Level),
	}
}

// shiftRegion returns the region that a shift moves this job to, or "" if the job is outside the
// shift's fraction or the shift's rate limit is reached.
func (f *Filter) shiftRegion(now time.Time, job *pipe.Job) string {
	for i := range job.Plan.Shifts {
		sh := &job.Plan.Shifts[i]
		if sh.Service == job.Service && hashFraction(job.Digest^job.CallerHash) < sh.Fraction && f.takeShiftToken(now, sh) {
			return sh.To
		}
	}
	return ""
}

func hashFraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

func (f *Filter) takeShiftToken(now time.Time, sh *plan.Shift) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.shiftLimits[sh.Name]
	if b == nil {
		nb := bucket.New(sh.Rate, now)
		b = &nb
		f.shiftLimits[sh.Name] = b
	}
	if b.Limit != sh.Rate {
		b.SetLimit(sh.Rate, now)
	}
	return b.TakeOne(now)
}

// Query holds the properties of a job that SelectTargets uses.
type Query struct {
	Service     string
	Hash        uint64
	ShiftRegion string        // The region that a shift moves the job to, or "".
	LocalWait   time.Duration // The expected wait on this host.
}

type candidate struct {
	site   *plan.Site
	cost   int64
	weight float64
}

// SelectTargets appends targets, best first, until there are limit of them or no site is left. It is a pure
// function of its arguments.
func SelectTargets(now time.Time, p *plan.Plan, q Query, targets []pipe.Target, limit int) []pipe.Target {
	svc := p.Services[q.Service]
	if svc == nil {
		return targets
	}
	for len(targets) < limit {
		best := selectSite(now, p, svc, q, targets)
		if best == nil {
			return targets
		}
		targets = append(targets, newTarget(p, best, q))
		// Each further target is chosen by a different hash.
		q.Hash = q.Hash*0xff51afd7ed558ccd + 0x9e3779b97f4a7c15
	}
	return targets
}

// selectSite picks a site at random by hash among the cheapest ones that are not yet targets, weighted
// by free capacity. Weighted reservoir sampling takes one pass and allocates nothing.
func selectSite(now time.Time, p *plan.Plan, svc *plan.Service, q Query, taken []pipe.Target) *plan.Site {
	if s := idleLocalSite(svc, q); s != nil && len(taken) == 0 {
		return s
	}
	var pick candidate
	var sum float64
	hash := q.Hash
	for i := range svc.Sites {
		c, ok := newCandidate(now, p, &svc.Sites[i], q)
		if !ok || isTarget(c.site, taken) || sum > 0 && c.cost > pick.cost {
			continue
		}
		if sum == 0 || c.cost < pick.cost {
			pick, sum = c, c.weight
			continue
		}
		sum += c.weight
		hash = hash*0xc4ceb9fe1a85ec53 + 0x9e3779b97f4a7c15
		if hashFraction(hash^hash>>29)*sum < c.weight {
			pick = c
		}
	}
	return pick.site
}

// idleLocalSite returns this host's own site if the job need not wait there, which no other site can beat.
func idleLocalSite(svc *plan.Service, q Query) *plan.Site {
	if q.LocalWait > 0 || q.ShiftRegion != "" || svc.LocalSite == nil {
		return nil
	}
	return svc.LocalSite
}

// isTarget reports whether a site is already a target.
func isTarget(s *plan.Site, taken []pipe.Target) bool {
	for i := range taken {
		if taken[i].Domain == s.Domain.Name && taken[i].Self == s.Domain.Self {
			return true
		}
	}
	return false
}

// newCandidate returns a site with its cost, or false if this host has no share of a link to its region.
func newCandidate(now time.Time, p *plan.Plan, s *plan.Site, q Query) (candidate, bool) {
	d := s.Domain
	if d.Region != p.Self.Region && s.Link.At(now) <= 0 {
		return candidate{}, false
	}
	wait := q.LocalWait
	if !d.Self {
		wait = 2*d.Delay + remoteWait(s.Load)
	}
	c := candidate{site: s, weight: float64(max(1, s.Load.Headroom())), cost: int64((wait + costResolution - 1) / costResolution)}
	if q.ShiftRegion != "" && d.Region == q.ShiftRegion {
		c.cost = -1
	}
	return c, true
}

// remoteWait estimates a job's wait from the load that another host reported.
func remoteWait(l plan.Load) time.Duration {
	if l.Headroom() > 0 {
		return 0
	}
	return l.Latency * time.Duration(1-l.Headroom()) / time.Duration(l.Slots)
}

func newTarget(p *plan.Plan, s *plan.Site, q Query) pipe.Target {
	d := s.Domain
	h := d.Hosts[int(q.Hash>>33)%len(d.Hosts)]
	t := pipe.Target{Seat: h.Name, Peer: h.Peer, Region: d.Region, Domain: d.Name, Self: d.Self}
	switch {
	case q.ShiftRegion != "" && d.Region == q.ShiftRegion:
		t.Reason = ReasonShift
	case d.Self:
		t.Reason = ReasonLocal
	case d.Region == p.Self.Region:
		t.Reason = ReasonSameRegion
	default:
		t.Reason = ReasonOtherRegion
	}
	return t
}

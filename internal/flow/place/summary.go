package place

import (
	"slices"
	"strings"
	"time"
)

// Summary describes the jobs that this host placed on one service's upstreams since the last summary, and the state of
// the upstreams that its pool uses.
type Summary struct {
	Service   string
	Upstreams int
	Slots     int // Slots of upstreams that take jobs.
	Running   int
	Waiting   int
	Ejected   int // Upstreams that failed too often or can't be reached.
	Cold      int
	Leaving   int
	Borrowed  int // Upstreams that belong to other pools.
	Lent      int // Upstreams of this pool that others use.
	Placed    int
	Hits      int // Jobs placed on an upstream that was expected to have their object cached.
	Refused   int
	Displaced int // Waiting jobs that were refused in favor of another workspace's.

	Workspaces        int    // Workspaces with waiting jobs.
	Heaviest          string // The workspace with the most waiting work in relation to its rate.
	HeaviestWaiting   int    // Its waiting jobs.
	MostRefused       string // The workspace with the most refused jobs.
	MostRefusedNumber int    // These jobs.

	Reporting int     // Upstreams that reported their pace within the last seconds.
	Pace      float64 // Mean of the paces that they reported last; 0 if there is none.
	Slow      int     // Those of them that reported to take at least slowPace times as long as usual.
	Doubted   int     // Those whose reports their responses contradict.
	Slowdown  float64 // Mean of what was learned of all upstreams apart from the reported pace.
}

const (
	// slowPace is the pace from which an upstream is listed as slow.
	slowPace = 1.5
	// listedPaceAge is the age to which reports are listed. Upstreams report with each answer, many times a second under load.
	listedPaceAge = 2 * time.Second
)

// placedCounts counts the jobs of one service since the last summary.
type placedCounts struct {
	placed, hits, refused, displaced int
	refusedBy                        map[string]int // By workspace.
}

// refuse counts a refused job.
func (c *placedCounts) refuse(workspace string) {
	c.refused++
	if workspace == "" {
		return
	}
	if c.refusedBy == nil {
		c.refusedBy = map[string]int{}
	}
	c.refusedBy[workspace]++
}

// counts returns the counters of a service, creating them if necessary.
func (s *Scheduler) counts(service string) *placedCounts {
	c := s.placed[service]
	if c == nil {
		c = &placedCounts{}
		s.placed[service] = c
	}
	return c
}

// Summaries returns a summary of each service for which this host has placed or refused jobs since the last call.
func (s *Scheduler) Summaries(now time.Time) []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Summary
	for service, c := range s.placed {
		sum := Summary{Service: service, Placed: c.placed, Hits: c.hits, Refused: c.refused, Displaced: c.displaced}
		for _, l := range s.loadsByService[service] {
			s.summarize(now, l, &sum)
		}
		sum.Pace /= float64(max(1, sum.Reporting))
		sum.Slowdown /= float64(max(1, sum.Upstreams))
		for _, w := range s.waiters {
			if w.req.Service == service {
				sum.Waiting++
			}
		}
		s.summarizeWorkspaces(c, &sum)
		out = append(out, sum)
	}
	clear(s.placed)
	slices.SortFunc(out, func(a, b Summary) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// summarize adds an upstream to a summary.
func (s *Scheduler) summarize(now time.Time, l *load, sum *Summary) {
	own := s.view.PoolOf(l.upstream) == s.view.OwnPool(sum.Service)
	switch {
	case own && !l.assigned:
		sum.Lent++
		return
	case !l.assigned:
		return
	case !own:
		sum.Borrowed++
	}
	sum.Upstreams++
	sum.Running += l.running
	sum.addPace(now, l)
	switch {
	case l.leaving:
		sum.Leaving++
	case l.ejected(now):
		sum.Ejected++
	case l.cold(now):
		sum.Cold++
	default:
		sum.Slots += l.upstream.Slots
	}
}

// summarizeWorkspaces adds the workspaces that wait and that were refused to a summary.
func (s *Scheduler) summarizeWorkspaces(c *placedCounts, sum *Summary) {
	work, waiting := map[string]float64{}, map[string]int{}
	for class, q := range s.classes {
		if class.service != sum.Service {
			continue
		}
		for name, f := range q.Flows {
			if name != "" && len(f.Waiting) > 0 {
				work[name] += f.Finish - q.Virtual
				waiting[name] += len(f.Waiting)
			}
		}
	}
	sum.Workspaces = len(waiting)
	for name, n := range waiting {
		if sum.Heaviest == "" || work[name] > work[sum.Heaviest] {
			sum.Heaviest, sum.HeaviestWaiting = name, n
		}
	}
	for name, n := range c.refusedBy {
		if n > sum.MostRefusedNumber || n == sum.MostRefusedNumber && name < sum.MostRefused {
			sum.MostRefused, sum.MostRefusedNumber = name, n
		}
	}
}

// addPace adds what is known of an upstream's speed to a summary; the means are sums until the end.
func (sum *Summary) addPace(now time.Time, l *load) {
	sum.Slowdown += l.lastingSlowdown()
	if p := &l.pace; p.last.pace > 0 && now.Sub(p.last.at) <= listedPaceAge {
		sum.Reporting++
		sum.Pace += p.last.pace
		if p.last.pace >= slowPace {
			sum.Slow++
		}
		if !p.trusted() {
			sum.Doubted++
		}
	}
}

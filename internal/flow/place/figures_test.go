package place

import (
	"fmt"
	"time"
)

// figures sums up the outcomes of the jobs that arrived in an interval.
type figures struct {
	jobs                               int
	inTime, hits, slow, refused, worth float64 // Shares of the jobs.
	mean                               time.Duration
}

func (r *replay) figures(from, to time.Duration) figures {
	var f figures
	for _, o := range r.outcomes {
		if o.arrived < from || o.arrived >= to {
			continue
		}
		f.jobs++
		if o.hit {
			f.hits++
		}
		if o.slow {
			f.slow++
		}
		if o.took == 0 {
			f.refused++
			continue
		}
		if o.took <= r.objective {
			f.inTime++
		}
		f.worth += min(1, float64(r.objective)/float64(o.took))
		f.mean += o.took
	}
	n := float64(max(1, f.jobs))
	f.mean /= time.Duration(max(1, n-f.refused))
	f.inTime, f.hits, f.slow, f.refused, f.worth = f.inTime/n, f.hits/n, f.slow/n, f.refused/n, f.worth/n
	return f
}

func (f figures) String() string {
	return fmt.Sprintf("%d jobs: in time %.3f, worth %.3f, hits %.3f, slow %.3f, refused %.3f, mean %v", f.jobs, f.inTime, f.worth, f.hits, f.slow, f.refused, f.mean.Round(time.Millisecond))
}

package stats

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Stats holds the metrics of one host.
type Stats struct {
	Jobs    *expvar.Map // Number of jobs by rank and outcome.
	Reasons *expvar.Map // Number of refused and lost jobs by reason.
	Gauges  *expvar.Map // Current values by name.
	root    *expvar.Map
}

// New returns metrics with all counters at zero.
func New() *Stats {
	s := &Stats{Jobs: newMap(), Reasons: newMap(), Gauges: newMap(), root: newMap()}
	s.root.Set("jobs", s.Jobs)
	s.root.Set("reasons", s.Reasons)
	s.root.Set("gauges", s.Gauges)
	return s
}

func newMap() *expvar.Map { return new(expvar.Map).Init() }

// CountJob counts a job that this host accepted from a caller.
func (s *Stats) CountJob(job *pipe.Job) {
	rank := job.Rank
	if job.Level < 0 || rank == "" {
		rank = "none"
	}
	s.Jobs.Add(rank+"/"+job.Outcome.Kind.String(), 1)
	if job.Outcome.Reason != "" {
		s.Reasons.Add(string(job.Outcome.Reason), 1)
	}
}

// CountRefusal counts a request that was refused before it reached the filters.
func (s *Stats) CountRefusal(reason pipe.Reason) { s.Reasons.Add("front/"+string(reason), 1) }

// Gauge publishes the value that a function returns on each read.
func (s *Stats) Gauge(name string, value func() any) { s.Gauges.Set(name, expvar.Func(value)) }

// Handler serves this host's metrics and the variables of the process in the JSON format of expvar.
func (s *Stats) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = fmt.Fprintf(w, "{\n\"boragelane\": %s", s.root.String())
		expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
		_, _ = fmt.Fprint(w, "\n}\n")
	})
}

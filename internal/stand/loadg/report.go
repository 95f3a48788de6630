package loadg

import (
	"fmt"
	"io"
	"time"
)

// Result holds the outcomes and latencies of one class of jobs.
type Result struct {
	Name            string         `json:"name"`
	Rank            string         `json:"rank"`
	Sent            int64          `json:"sent"`
	Answered        int64          `json:"answered"`
	NotRun          int64          `json:"notrun"`
	Unknown         int64          `json:"unknown"`
	Failed          int64          `json:"failed"` // Jobs whose last attempt had no outcome.
	Wrong           int64          `json:"wrong"`  // Answers that belong to another job or are incomplete.
	ConnectionsLost int64          `json:"cut"`    // Attempts whose connection failed.
	P50             time.Duration  `json:"p50"`
	P99             time.Duration  `json:"p99"`
	Reasons         map[string]int `json:"reasons"`
}

// Report holds the results of a run and the keys of its at-most-once jobs.
type Report struct {
	Classes      []Result       `json:"classes"`
	OnceKeys     []string       `json:"oncekeys"`
	NotRunKeys   []string       `json:"notrunkeys"` // Jobs that every attempt reported as not run.
	AnsweredKeys []string       `json:"answeredkeys"`
	LostByHost   map[string]int `json:"lost"` // Attempts whose connection failed, by host.
}

// Table writes the results as a text table with one row per class.
func (r Report) Table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-10s %-8s %8s %8s %8s %8s %7s %6s %9s %9s\n",
		"class", "rank", "sent", "whole", "not-run", "unknown", "failed", "wrong", "p50", "p99")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(w, "%-10s %-8s %8d %8d %8d %8d %7d %6d %9s %9s\n", c.Name, c.Rank, c.Sent, c.Answered,
			c.NotRun, c.Unknown, c.Failed, c.Wrong, c.P50.Round(10*time.Microsecond), c.P99.Round(10*time.Microsecond))
	}
}

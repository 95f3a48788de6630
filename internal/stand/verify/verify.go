package verify

import (
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/stand/loadg"
	"github.com/boragelane/boragelane/internal/stand/upstr"
)

// Input holds the reports of a run and the parameters they are checked against.
type Input struct {
	Report          loadg.Report
	UpstreamReports []upstr.Report
	Slots           int       // Slots of each upstream.
	DrainedUpstream string    // ID of the drained upstream, if any.
	DrainedAt       time.Time // When the drain was accepted.
	StoppedFront    string    // Front address of the host that was shut down gracefully, if any.
	MinAnswered     int64     // Minimum number of complete answers.
}

// drainGrace is how long a drained upstream may still receive new jobs.
const drainGrace = 2 * time.Second

// Violations returns a message for each guarantee that the run violated.
func Violations(c Input) []string {
	violations := c.checkRuns()
	violations = append(violations, c.checkAnswers()...)
	violations = append(violations, c.checkUpstreams()...)
	if n := c.Report.LostByHost[c.StoppedFront]; c.StoppedFront != "" && n > 0 {
		violations = append(violations, fmt.Sprintf("the planned stop of %s broke %d connections", c.StoppedFront, n))
	}
	return violations
}

// checkRuns compares the jobs that upstreams ran with the outcomes that callers received.
func (c Input) checkRuns() []string {
	var violations []string
	runs := map[string]int{}
	for _, log := range c.UpstreamReports {
		for _, run := range log.Runs {
			runs[run.Key]++
		}
	}
	for _, key := range c.Report.OnceKeys {
		if runs[key] > 1 {
			violations = append(violations, fmt.Sprintf("job %s ran %d times", key, runs[key]))
		}
	}
	for _, key := range c.Report.NotRunKeys {
		if runs[key] > 0 {
			violations = append(violations, fmt.Sprintf("job %s was refused as not run, but ran", key))
		}
	}
	for _, key := range c.Report.AnsweredKeys {
		if runs[key] == 0 && c.allLogsPresent() {
			violations = append(violations, fmt.Sprintf("job %s was answered, but no upstream ran it", key))
		}
	}
	return violations
}

// checkAnswers checks the number of complete answers and that none is wrong.
func (c Input) checkAnswers() []string {
	var violations []string
	complete := int64(0)
	for _, class := range c.Report.Classes {
		complete += class.Answered
		if class.Wrong > 0 {
			violations = append(violations, fmt.Sprintf("class %s got %d wrong or incomplete answers", class.Name, class.Wrong))
		}
	}
	if complete < c.MinAnswered {
		violations = append(violations, fmt.Sprintf("%d complete answers, want at least %d", complete, c.MinAnswered))
	}
	return violations
}

// checkUpstreams checks that no upstream was sent more jobs than it has slots.
func (c Input) checkUpstreams() []string {
	var violations []string
	for _, log := range c.UpstreamReports {
		if log.MaxConcurrent > c.Slots {
			violations = append(violations, fmt.Sprintf("upstream %s ran %d jobs at once with %d slots", log.ID, log.MaxConcurrent, c.Slots))
		}
		if log.Shed > 0 {
			violations = append(violations, fmt.Sprintf("upstream %s was sent %d jobs in excess of its slots", log.ID, log.Shed))
		}
		if log.ID == c.DrainedUpstream {
			violations = append(violations, checkDrain(log, c.DrainedAt)...)
		}
	}
	return violations
}

// allLogsPresent reports whether every upstream's log is available; a crash loses the log.
func (c Input) allLogsPresent() bool {
	for _, log := range c.UpstreamReports {
		if log.ID == "" {
			return false
		}
	}
	return true
}

// checkDrain returns a violation if an upstream got a job after the grace period of its drain.
func checkDrain(log upstr.Report, drainedAt time.Time) []string {
	for _, run := range log.Runs {
		if run.Start.After(drainedAt.Add(drainGrace)) {
			return []string{fmt.Sprintf("upstream %s got a job %s after its drain", log.ID, run.Start.Sub(drainedAt).Round(time.Millisecond))}
		}
	}
	return nil
}

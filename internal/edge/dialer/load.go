package dialer

import (
	"strconv"
	"strings"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

const (
	// usualPace is the fourth figure of the load header on a machine where work takes as long as usual.
	usualPace = 100
	// minPaceFigure and maxPaceFigure bound the fourth figure. Nothing is a hundred times faster than usual or takes 10,000 times as long;
	// such a figure is taken for an error of the upstream.
	minPaceFigure, maxPaceFigure = 1, 10_000 * usualPace
	// maxLoggedLoad bounds the part of a malformed header that is reported, in bytes.
	maxLoggedLoad = 64
)

// readLoad returns the load in an upstream's header, or nil if there is none. A malformed header is reported, so that operators see why
// the load of an upstream is unknown.
func (s *Sender) readLoad(u *roster.Upstream, text string) *pipe.LoadReport {
	report := parseLoad(text)
	if report == nil && text != "" && s.OnBadLoad != nil {
		s.OnBadLoad(u, text[:min(len(text), maxLoggedLoad)])
	}
	return report
}

// parseLoad parses the load header: running, waiting, slots and, optionally, the pace in percent; it returns nil if the value is malformed.
func parseLoad(text string) *pipe.LoadReport {
	parts := strings.Split(text, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return nil
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	report := &pipe.LoadReport{Running: n[0], Waiting: n[1], Slots: n[2]}
	if len(parts) == 4 {
		v, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64)
		if err != nil || !(v >= minPaceFigure && v <= maxPaceFigure) {
			return nil
		}
		report.Pace = v / usualPace
	}
	return report
}

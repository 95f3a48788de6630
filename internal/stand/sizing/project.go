package sizing

import (
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/ctrl/state"
)

// The sizes, rates and budgets per host of the users' two-year plan.
const (
	fullHosts   = 3300
	fullBlocks  = 110_000
	fullSites   = 890
	fullLookups = 1_400_000.0 // Per second.
	fullChanges = 9_100.0     // Per day.
	budgetCPU   = 11_000.0    // Microseconds per second.
	budgetBytes = 4096.0      // Per second.
	budgetState = 128 << 20   // Bytes.
	daySeconds  = 86_400
)

// extrapolate returns the value of a measure at a size, and the slope per unit of size between the two largest sizes
// measured up to it.
func extrapolate(rows []Row, measure string, size float64) (value, slope float64) {
	var previous, latest Row
	for _, r := range rows {
		if r.Measure == measure && r.Size <= size*1.01 {
			previous, latest = latest, r
		}
	}
	if latest.Size > previous.Size && previous.Size > 0 {
		slope = (latest.Value - previous.Value) / (latest.Size - previous.Size)
	}
	return latest.Value + slope*(size-latest.Size), slope
}

// budgetLine formats a value with its slope and compares it with its budget.
func budgetLine(name string, value, slope float64, unit string, budget float64) string {
	verdict := "within"
	if value > budget {
		verdict = "OVER"
	}
	return fmt.Sprintf("%-34s %12.0f %-5s slope %10.4f each   budget %12.0f  %s", name, value, unit, slope, budget, verdict)
}

// Project returns a line for each budget that compares it with the measurements extrapolated to the two-year plan.
func Project(rows []Row) []string {
	var out []string
	add := func(name, unit string, value, slope, budget float64) {
		out = append(out, budgetLine(name, value, slope, unit, budget))
	}
	for _, row := range []struct {
		name, measure string
		budget        float64
	}{
		{"control, relay: bytes both ways", "relay bytes", budgetBytes},
		{"control, other host: bytes", "host bytes", budgetBytes},
		{"control, relay: core", "relay cpu", budgetCPU},
		{"control, other host: core", "host cpu", budgetCPU},
		{"control: state and plan", "state", budgetState},
	} {
		value, s := extrapolate(rows, row.measure, fullHosts)
		unit := "B/s"
		switch row.budget {
		case budgetCPU:
			unit = "us/s"
		case budgetState:
			unit = "B"
		}
		add(row.name, unit, value, s, row.budget)
	}
	relayed, s := extrapolate(rows, "relay change", fullHosts)
	add("changes, passed on by a relay", "B/s", relayed*fullChanges/daySeconds, s, budgetBytes)
	relay, _ := extrapolate(rows, "relay bytes", fullHosts)
	add("relay: all bytes", "B/s", relay+relayed*fullChanges/daySeconds, 0, budgetBytes)
	change, s := extrapolate(rows, "change", fullHosts)
	add("changes, sent to each host", "B/s", change*fullChanges/daySeconds, s, budgetBytes)
	document, s := extrapolate(rows, "document", fullHosts)
	add("the same, as whole documents", "B/s", document*fullChanges/daySeconds, s, budgetBytes)
	add("document", "B", document, s, 1<<20)
	apply, s := extrapolate(rows, "apply", fullHosts)
	add("changes, core", "us/s", apply*fullChanges/daySeconds, s, budgetCPU)
	lookup, s := extrapolate(rows, "look-up", fullSites)
	add("look-ups, core for each host", "us/s", lookup*fullLookups/fullHosts/1000, s, budgetCPU)
	memory, s := extrapolate(rows, "table memory", fullBlocks)
	add("table of blocks (not needed)", "B", memory, s, budgetState)
	out = append(out, platformLines()...)
	return out
}

// platformLines returns the projected calls to the platform, which grow with the number of failure domains, and the
// periods of the control plane.
func platformLines() []string {
	const domains, perDomain, watch = 99, 33, 30.0
	lease := state.LeaseRenewalPeriod(perDomain)
	writes := domains / lease.Seconds()
	watches := 2 * domains / watch
	changes := fullChanges / daySeconds
	reads := watches + changes*domains
	return []string{
		budgetLine("platform, writes: leases, changes", writes+2*changes, 1/lease.Seconds(), "/s", 300),
		budgetLine("platform, reads: watches, changes", reads, 2/watch+changes, "/s", 2000),
		budgetLine("platform, 99 domains start at once", 4*domains, 4, "calls", 2000),
		fmt.Sprintf("periods at 33 hosts and 99 domains: heartbeat %s, term %s, lease %s, exchange %s, refresh %s",
			state.HeartbeatPeriod(perDomain), state.LoanTTL(perDomain), state.LeaseTTL(perDomain),
			state.ExchangePeriod(domains), state.SummaryRefreshPeriod(domains).Round(time.Second)),
	}
}

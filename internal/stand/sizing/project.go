package sizing

import (
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/ctrl/state"
)

// The sizes and rates of the system in the users' two-year plan, and the budgets per host.
const (
	twoYearHosts   = 3300
	twoYearBlocks  = 110_000 // Blocks of callers.
	twoYearSites   = 890
	twoYearLookups = 1_400_000.0 // Per second.
	twoYearChanges = 9_100.0     // Per day.
	budgetCPU      = 11_000.0    // Microseconds per second.
	budgetBytes    = 4096.0      // Per second.
	budgetState    = 128 << 20   // Bytes.
	daySeconds     = 86_400
)

// extrapolate returns the value of a measure at a scale, and the slope per unit of scale between the two largest scales
// measured up to it.
func extrapolate(rows []Row, measure string, scale float64) (value, slope float64) {
	var previous, latest Row
	for _, r := range rows {
		if r.Measure == measure && r.Scale <= scale*1.01 {
			previous, latest = latest, r
		}
	}
	if latest.Scale > previous.Scale && previous.Scale > 0 {
		slope = (latest.Value - previous.Value) / (latest.Scale - previous.Scale)
	}
	return latest.Value + slope*(scale-latest.Scale), slope
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
		value, s := extrapolate(rows, row.measure, twoYearHosts)
		unit := "B/s"
		switch row.budget {
		case budgetCPU:
			unit = "us/s"
		case budgetState:
			unit = "B"
		}
		add(row.name, unit, value, s, row.budget)
	}
	relayed, s := extrapolate(rows, "relay change", twoYearHosts)
	add("changes, passed on by a relay", "B/s", relayed*twoYearChanges/daySeconds, s, budgetBytes)
	relay, _ := extrapolate(rows, "relay bytes", twoYearHosts)
	add("relay: all bytes", "B/s", relay+relayed*twoYearChanges/daySeconds, 0, budgetBytes)
	change, s := extrapolate(rows, "change", twoYearHosts)
	add("changes, sent to each host", "B/s", change*twoYearChanges/daySeconds, s, budgetBytes)
	document, s := extrapolate(rows, "document", twoYearHosts)
	add("the same, as whole documents", "B/s", document*twoYearChanges/daySeconds, s, budgetBytes)
	add("document", "B", document, s, 1<<20)
	apply, s := extrapolate(rows, "apply", twoYearHosts)
	add("changes, core", "us/s", apply*twoYearChanges/daySeconds, s, budgetCPU)
	lookup, s := extrapolate(rows, "look-up", twoYearSites)
	add("look-ups, core for each host", "us/s", lookup*twoYearLookups/twoYearHosts/1000, s, budgetCPU)
	memory, s := extrapolate(rows, "table memory", twoYearBlocks)
	add("table of blocks (not needed)", "B", memory, s, budgetState)
	out = append(out, platformLines()...)
	return out
}

// platformLines returns the projected calls to the platform, which grow with the number of failure domains, and the
// periods of the control plane.
func platformLines() []string {
	const domains, hostsPerDomain, watchSeconds = 99, 33, 30.0
	lease := state.LeaseRenewalPeriod(hostsPerDomain)
	writes := domains / lease.Seconds()
	watches := 2 * domains / watchSeconds
	changes := twoYearChanges / daySeconds
	reads := watches + changes*domains
	return []string{
		budgetLine("platform, writes: leases, changes", writes+2*changes, 1/lease.Seconds(), "/s", 300),
		budgetLine("platform, reads: watches, changes", reads, 2/watchSeconds+changes, "/s", 2000),
		budgetLine("platform, 99 domains start at once", 4*domains, 4, "calls", 2000),
		fmt.Sprintf("periods at 33 hosts and 99 domains: heartbeat %s, term %s, lease %s, exchange %s, refresh %s",
			state.HeartbeatPeriod(hostsPerDomain), state.LoanTTL(hostsPerDomain), state.LeaseTTL(hostsPerDomain),
			state.ExchangePeriod(domains), state.SummaryRefreshPeriod(domains).Round(time.Second)),
	}
}

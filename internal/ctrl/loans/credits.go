package loans

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Credits holds, by region, the share of the region's slots that it may still return to other regions. What it borrows needs no
// credit: the placing host takes new upstreams into use step by step, but jobs can't stay on those that are gone.
type Credits map[string]float64

const (
	// creditRate is the share of a region's slots that may be returned in a second, well below the platform's limit for callers.
	creditRate = 0.05
	// maxCredit bounds the unused credit. An upstream with a larger share of the slots is returned alone, and the next one waits.
	maxCredit = 0.05
)

// Earn adds the credit of the time since the last plan.
func (c Credits) Earn(elapsed time.Duration, regions []string) {
	for _, r := range regions {
		credit, known := c[r]
		if !known {
			credit = maxCredit
		}
		c[r] = min(maxCredit, credit+creditRate*elapsed.Seconds())
	}
}

// mayReturn reports whether a pool may return an upstream, and takes its share off the region's credit. Within a region upstreams
// move freely.
func (p *planner) mayReturn(u *roster.Upstream, borrower string) bool {
	region := regionOf(borrower)
	if p.credits == nil || u.Region == region {
		return true
	}
	share := float64(u.Slots) / max(float64(u.Slots), p.slots[region])
	if p.credits[region] < min(share, maxCredit) {
		return false
	}
	p.credits[region] -= share
	return true
}

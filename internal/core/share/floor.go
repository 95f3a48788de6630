package share

import (
	"math"

	"github.com/boragelane/boragelane/internal/core/rendez"
)

// Split divides a limit evenly among the holders; rendezvous hashing of the resource decides who gets the remainder.
func Split(resource string, limit int64, holders []string) []int64 {
	parts := make([]int64, len(holders))
	n := int64(len(holders))
	if n == 0 || limit <= 0 {
		return parts
	}
	for i := range parts {
		parts[i] = limit / n
	}
	sites := make([]rendez.Site, n)
	for i, h := range holders {
		sites[i] = rendez.NewSite(h, 1)
	}
	for _, i := range rendez.Order(rendez.Hash(resource), sites)[:limit%n] {
		parts[i]++
	}
	return parts
}

// FloorTotal returns the units of a limit that are assigned as floors: the given fraction of the limit, but at least
// one unit for each holder as far as the limit allows.
func FloorTotal(limit int64, fraction float64, holders int) int64 {
	if limit <= 0 || holders == 0 {
		return 0
	}
	f := int64(math.Floor(float64(limit) * fraction))
	return max(f, min(int64(holders), limit))
}

// FloorsAndPool returns each holder's floor and the rest of the limit, the pool.
func FloorsAndPool(resource string, limit int64, fraction float64, holders []string) (floors []int64, pool int64) {
	total := FloorTotal(limit, fraction, len(holders))
	return Split(resource, total, holders), max(0, limit-total)
}

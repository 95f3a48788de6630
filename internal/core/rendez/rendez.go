package rendez

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Site is a weighted site; one with a weight of 0 or less is never selected.
type Site struct {
	Name   string
	Weight float64
	Hash   uint64
}

// NewSite returns a site with the hash of its name.
func NewSite(name string, weight float64) Site {
	return Site{Name: name, Weight: weight, Hash: xxhash.Sum64String(name)}
}

// Hash returns the hash of a key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

func mixHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Score returns a site's score for a key; the highest score wins.
func Score(key uint64, s Site) float64 {
	if s.Weight <= 0 {
		return math.Inf(-1)
	}
	u := (float64(mixHashes(key, s.Hash)>>11) + 0.5) / (1 << 53)
	return -s.Weight / math.Log(u)
}

// UnweightedScore returns a site's score among sites of equal weight; it orders them as Score does but needs no
// logarithm.
func UnweightedScore(key, site uint64) uint64 { return mixHashes(key, site) >> 11 }

// maxWinners is the maximum number of sites that Top returns.
const maxWinners = 8

// Top returns the indexes of the sites with the highest scores, highest first: as many as buf has capacity for, at
// most eight. It does not allocate.
func Top(key uint64, sites []Site, buf []int) []int {
	var scores [maxWinners]float64
	top := buf[:0]
	room := min(cap(buf), maxWinners)
	for i := range sites {
		sc := Score(key, sites[i])
		if math.IsInf(sc, -1) || len(top) == room && sc <= scores[room-1] {
			continue
		}
		if len(top) < room {
			top = append(top, 0)
		}
		at := len(top) - 1
		for ; at > 0 && scores[at-1] < sc; at-- {
			top[at], scores[at] = top[at-1], scores[at-1]
		}
		top[at], scores[at] = i, sc
	}
	return top
}

// Order returns the indexes of all sites with a positive weight, highest score first.
func Order(key uint64, sites []Site) []int {
	order := make([]int, 0, len(sites))
	for i := range sites {
		if sites[i].Weight > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		sa, sb := Score(key, sites[a]), Score(key, sites[b])
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return a - b
	})
	return order
}

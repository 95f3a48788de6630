package rendez

import "math"

// Table maps a fixed number of blocks of callers to sites; it is immutable.
type Table struct {
	Sites  []Site
	Winner []uint16
	score  []float64
}

// NewTable computes the winner of each block.
func NewTable(blocks int, sites []Site) *Table {
	t := &Table{Sites: sites, Winner: make([]uint16, blocks), score: make([]float64, blocks)}
	for b := range blocks {
		t.computeWinner(b)
	}
	return t
}

func blockKey(b int) uint64 { return uint64(b)*0x9e3779b97f4a7c15 + 1 }

func (t *Table) computeWinner(b int) {
	best, top := 0, math.Inf(-1)
	key := blockKey(b)
	for i := range t.Sites {
		if sc := Score(key, t.Sites[i]); sc > top {
			best, top = i, sc
		}
	}
	t.Winner[b], t.score[b] = uint16(best), top
}

// WithWeight returns a copy of the table with one site's weight changed; it recomputes only the affected blocks.
func (t *Table) WithWeight(site int, weight float64) *Table {
	n := &Table{
		Sites:  append([]Site(nil), t.Sites...),
		Winner: append([]uint16(nil), t.Winner...),
		score:  append([]float64(nil), t.score...),
	}
	n.Sites[site].Weight = weight
	shrink := weight < t.Sites[site].Weight
	for b := range n.Winner {
		own := int(n.Winner[b]) == site
		switch {
		case own && shrink:
			n.computeWinner(b)
		case own:
			n.score[b] = Score(blockKey(b), n.Sites[site])
		case !shrink:
			n.offerBlock(b, site)
		}
	}
	return n
}

func (t *Table) offerBlock(b, site int) {
	sc := Score(blockKey(b), t.Sites[site])
	if sc > t.score[b] {
		t.Winner[b], t.score[b] = uint16(site), sc
	}
}

// Lookup returns the index of the site that a caller's hash maps to.
func (t *Table) Lookup(hash uint64) int {
	return int(t.Winner[hash%uint64(len(t.Winner))])
}

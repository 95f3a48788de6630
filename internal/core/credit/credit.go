package credit

// maxSavedCosts bounds the balance of a rank, as a multiple of the cost of one of its jobs.
const maxSavedCosts = 2

// RankSelector decides which rank is served next. A rank is identified by its level, its index in the order of urgency;
// 0 is the most urgent. Costs are in a unit of the resource, such as seconds of a slot or bytes on a link.
type RankSelector struct {
	Minimum []float64 // Guaranteed fraction of the resource, by rank.
	Balance []float64 // Credit earned and not spent, by rank.
}

// SetMinimums sets the guaranteed minimum of each rank, as a fraction of the resource from 0 to 1.
func (c *RankSelector) SetMinimums(minimum []float64) {
	c.Minimum = minimum
	for len(c.Balance) < len(minimum) {
		c.Balance = append(c.Balance, 0)
	}
}

// Pick returns the ready rank to serve next, or -1 if there is none: the most urgent one, unless a less urgent one has
// the balance for its cost.
func (c *RankSelector) Pick(ready func(level int) bool, cost func(level int) float64) int {
	mostUrgent := -1
	for level := range c.Minimum {
		if !ready(level) {
			continue
		}
		if mostUrgent < 0 {
			mostUrgent = level
			continue
		}
		if c.Minimum[level] > 0 && c.Balance[level] >= cost(level) {
			return level
		}
	}
	return mostUrgent
}

// Charge deducts the cost of a served job from its rank; this rank and those that wait earn their minimum of the cost.
func (c *RankSelector) Charge(level int, waiting func(level int) bool, cost func(level int) float64) {
	spent := cost(level)
	for l := range c.Minimum {
		if l == level || waiting(l) {
			c.Balance[l] = min(maxSavedCosts*cost(l), c.Balance[l]+c.Minimum[l]*spent)
		}
	}
	c.Balance[level] = max(0, c.Balance[level]-spent)
}

package remote

// maxSavedRetries is the maximum number of retries that a service and rank can save up.
const maxSavedRetries = 10

// RetryBudget limits retries to a fraction of first tries, so that retries can't amplify an overload.
type RetryBudget struct {
	tokens map[budgetKey]float64
}

type budgetKey struct {
	service string
	level   int
}

// NewRetryBudget returns a budget with maxSavedRetries for each service and rank.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: map[budgetKey]float64{}} }

func (b *RetryBudget) get(k budgetKey) float64 {
	t, ok := b.tokens[k]
	if !ok {
		return maxSavedRetries
	}
	return t
}

// AddFirstTry records a first try, which earns the given fraction of a retry.
func (b *RetryBudget) AddFirstTry(service string, level int, ratio float64) {
	k := budgetKey{service, level}
	b.tokens[k] = min(maxSavedRetries, b.get(k)+ratio)
}

// TakeRetry spends a retry, or reports false if the budget has none left.
func (b *RetryBudget) TakeRetry(service string, level int) bool {
	k := budgetKey{service, level}
	t := b.get(k)
	if t < 1 {
		return false
	}
	b.tokens[k] = t - 1
	return true
}

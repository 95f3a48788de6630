package metric

import (
	"testing"

	"gotest.tools/v3/assert"
)

// values returns the number of values of a metric.
func values(t *testing.T, m *Metrics, name string) int {
	families, err := m.Registry.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == name {
			return len(f.GetMetric())
		}
	}
	return 0
}

// Guards against labels of workspaces that pile up as the largest ones change.
func TestMetricsOfSmallerWorkspacesAreRemoved(t *testing.T) {
	m := New()
	for _, names := range [][]string{{"a", "b"}, {"b", "c"}, {"c"}, nil} {
		for _, name := range names {
			m.ObserveQuota(name, 2, 1, 1)
		}
		m.KeepQuota(names)
		assert.Equal(t, values(t, m, "boragelane_quota_jobs_total"), 2*len(names))
		assert.Equal(t, values(t, m, "boragelane_quota_debt"), len(names))
	}
}

package metric

import "slices"

// Results of a job's check against its quota, as labels.
const (
	resultAdmitted = "admitted"
	resultRefused  = "refused"
)

// ObserveQuota adds the jobs of a workspace since the last call, and sets its debt.
func (m *Metrics) ObserveQuota(workspace string, admitted, refused, debt int) {
	m.QuotaJobs.WithLabelValues(workspace, resultAdmitted).Add(float64(admitted))
	m.QuotaJobs.WithLabelValues(workspace, resultRefused).Add(float64(refused))
	m.QuotaDebt.WithLabelValues(workspace).Set(float64(debt))
}

// KeepQuota removes the values of all workspaces but the given ones, so that the number of labels stays bounded.
func (m *Metrics) KeepQuota(workspaces []string) {
	for _, name := range m.quotaNames {
		if !slices.Contains(workspaces, name) {
			m.QuotaJobs.DeleteLabelValues(name, resultAdmitted)
			m.QuotaJobs.DeleteLabelValues(name, resultRefused)
			m.QuotaDebt.DeleteLabelValues(name)
		}
	}
	m.quotaNames = workspaces
}

package meter

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/quota"
)

const (
	// maxNamed is the number of workspaces with metrics of their own.
	maxNamed = 16
	// Other is the name under which the usage of all other workspaces is summed.
	Other = "other"
	// rankingDecay is the factor by which earlier usage counts less each second, so that the named workspaces rarely change.
	rankingDecay = 0.9
	// minScore is the usage below which a workspace is forgotten.
	minScore = 0.5
)

// WorkspaceUsage is the usage of one workspace, or of several as Other.
type WorkspaceUsage struct {
	Workspace string
	quota.Usage
}

// ranking holds the recent usage of active workspaces.
type ranking map[string]*ranked

type ranked struct {
	score float64
	usage quota.Usage
}

func (r ranking) of(workspace string) *ranked {
	e := r[workspace]
	if e == nil {
		e = &ranked{}
		r[workspace] = e
	}
	return e
}

// count counts a job of an isolated host.
func (r ranking) count(workspace string, admitted bool) {
	if admitted {
		r.of(workspace).usage.Admitted++
	} else {
		r.of(workspace).usage.Refused++
	}
}

// take returns the usage since the last call, of the largest workspaces by name and of the others as one.
func (r ranking) take() []WorkspaceUsage {
	names := make([]string, 0, len(r))
	for name, e := range r {
		e.score = rankingDecay*e.score + float64(e.usage.Admitted+e.usage.Refused)
		if e.score < minScore && e.usage == (quota.Usage{}) {
			delete(r, name)
			continue
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(r[b].score, r[a].score), cmp.Compare(a, b))
	})
	out := make([]WorkspaceUsage, 0, maxNamed+1)
	for i, name := range names {
		u := r[name].usage
		r[name].usage = quota.Usage{}
		if i < maxNamed {
			out = append(out, WorkspaceUsage{Workspace: name, Usage: u})
			continue
		}
		if i == maxNamed {
			out = append(out, WorkspaceUsage{Workspace: Other})
		}
		out[maxNamed].Usage = sum(out[maxNamed].Usage, u)
	}
	return out
}

func sum(a, b quota.Usage) quota.Usage {
	return quota.Usage{Admitted: a.Admitted + b.Admitted, Refused: a.Refused + b.Refused, Debt: a.Debt + b.Debt}
}

// TakeUsage returns the usage since the last call, and drops the state of workspaces that are no longer active.
func (m *Meter) TakeUsage(now time.Time) []WorkspaceUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := map[string]quota.Usage{}
	for _, w := range m.wallets {
		w.TakeUsage(used)
	}
	for name, u := range used {
		e := m.ranking.of(name)
		e.usage = sum(e.usage, u)
	}
	for name, r := range m.refusals {
		if now.Sub(r.reportedAt) > reportInterval && r.count == 0 {
			delete(m.refusals, name)
		}
	}
	m.allowance.Expire(now)
	return m.ranking.take()
}

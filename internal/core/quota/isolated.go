package quota

import "time"

// Allowance bounds the jobs of workspaces that a host runs while it can reach no host that places jobs. Many hosts may be
// isolated at once, and none of them can ask, so each has an equal part of a share of the tolerance.
type Allowance struct {
	Terms  Terms
	levels map[string]*level
}

// Spend reports whether a job may run, and otherwise when to try again.
func (a *Allowance) Spend(now time.Time, workspace string) (bool, time.Duration) {
	ws := a.Terms.limit(workspace)
	if ws == nil {
		return true, 0
	}
	share := isolatedShare * a.Terms.Tolerance(ws) / float64(max(1, a.Terms.Hosts))
	l := a.levels[workspace]
	if l == nil {
		if a.levels == nil {
			a.levels = map[string]*level{}
		}
		l = &level{tokens: share, at: now}
		a.levels[workspace] = l
	}
	l.grow(now, share/a.Terms.Window.Seconds(), max(1, share))
	return l.take(), a.Terms.Window
}

// Expire drops the state of workspaces that has had no effect since a window.
func (a *Allowance) Expire(now time.Time) {
	for name, l := range a.levels {
		ws := a.Terms.limit(name)
		if ws == nil || now.Sub(l.at) > a.Terms.Window && l.tokens >= isolatedShare*a.Terms.Tolerance(ws)/float64(max(1, a.Terms.Hosts)) {
			delete(a.levels, name)
		}
	}
}

// Refund returns the token of a job that did not run.
func (a *Allowance) Refund(workspace string) {
	if l := a.levels[workspace]; l != nil {
		l.tokens++
	}
}

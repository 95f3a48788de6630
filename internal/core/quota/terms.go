package quota

import (
	"math"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
)

// Settings is the tolerance of quotas: in any window, a workspace may run (rate x window + burst) x (1 + overage) + slack jobs.
type Settings struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // Jobs.
}

const (
	// debtShare is the share of the tolerance that all pools together may run on debt, before the owner has granted tokens.
	debtShare = 0.5
	// circulationShare is the share of the tolerance by which the tokens in existence may exceed the burst, so that the reserves
	// of the pools don't reduce what a workspace with a small burst can use.
	circulationShare = 0.3
	// isolatedShare is the share of the tolerance that accrues in a window on all hosts if all are isolated. Each may have saved as much, so that a
	// third of the hosts uses a sixth of the tolerance, which the pools leave.
	isolatedShare = 0.25
)

// Tolerance returns the jobs by which a workspace may exceed its limit in one window.
func (s Settings) Tolerance(ws *policy.Workspace) float64 {
	return s.Overage*(ws.Rate*s.Window.Seconds()+ws.Burst) + s.Slack
}

// Limited reports whether a workspace has a limit.
func Limited(ws *policy.Workspace) bool { return ws.Rate > 0 }

// Terms are the limits of the policy in force and the sizes of the fleet among which they are divided.
type Terms struct {
	Settings
	Version    uint64 // Of the policy.
	Workspaces map[string]policy.Workspace
	Pools      int // Of all services.
	Domains    int
	Services   int
	Hosts      int
}

// limit returns the limit of a workspace, or nil if it has none.
func (t *Terms) limit(workspace string) *policy.Workspace {
	ws, ok := t.Workspaces[workspace]
	if !ok || !Limited(&ws) {
		return nil
	}
	return &ws
}

// debtLimit returns the jobs that one pool may run before the owner has granted tokens for them.
func (t *Terms) debtLimit(ws *policy.Workspace) int {
	return max(1, int(math.Round(debtShare*t.Tolerance(ws)/float64(max(1, t.Pools)))))
}

// ownShare returns the share of the limit that a pool may use on a host that reaches no owner: the part of the host's failure
// domain, divided by the services, each of which may have a placing host there.
func (t *Terms) ownShare() float64 {
	return 1 / float64(max(1, t.Domains)*max(1, t.Services))
}

// Want is what a pool holds and needs of one workspace's tokens.
type Want struct {
	Have int // Tokens in reserve, and half of those of jobs that wait for a slot.
	Want int // Tokens needed in addition, with those that repay the debt.
	Debt int // Jobs that were let in without a token.
	Back int // Tokens that the pool returns.
}

// Request is a pool's request to the owner, or a report of a failure domain, or both.
type Request struct {
	Pool       string
	Service    string
	Part       string // The failure domain that this host reports for; empty for none.
	Fresh      bool   // The last report may have gone to another owner.
	Workspaces map[string]Want
}

// Grant is the owner's answer for one workspace.
type Grant struct {
	Give int
	Wait time.Duration // When there is room again, if nothing was granted.
}

// Reply is the owner's answer to a Request.
type Reply struct{ Workspaces map[string]Grant }

// level is an amount of tokens that grows with time up to a bound.
type level struct {
	tokens float64
	at     time.Time
}

// grow adds the tokens since the last call.
func (l *level) grow(now time.Time, rate, bound float64) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.tokens, l.at = min(bound, l.tokens+rate*elapsed.Seconds()), now
	}
}

// take takes a token if there is one.
func (l *level) take() bool {
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

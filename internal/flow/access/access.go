package access

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Config tells how old a view may be that still proves keys to be valid.
type Config struct {
	Strict bool          // Jobs with a key are refused while the view is older.
	MaxAge time.Duration // 0 for no limit.
}

// Recorder is told when the view becomes too old to prove that keys are valid, and when it is current again.
type Recorder interface {
	RecordKeyCheck(now time.Time, age time.Duration, verified, strict bool)
}

// Filter sets a job's workspace, rank and homes from its key, on hosts whose policy has workspaces.
type Filter struct {
	recorder Recorder
	config   atomic.Pointer[Config]
	outdated atomic.Bool // The last view that was used was too old.
}

// New returns a filter that reports to the recorder.
func New(c Config, recorder Recorder) *Filter {
	f := &Filter{recorder: recorder}
	f.SetConfig(c)
	return f
}

// SetConfig replaces the configuration.
func (f *Filter) SetConfig(c Config) { f.config.Store(&c) }

// String returns the filter's name.
func (*Filter) String() string { return "access" }

// staleRetryAfter is the retry delay for callers of a host whose policy is too old: about one read of the store.
const staleRetryAfter = 500 * time.Millisecond

// Run authorizes the job by its key, unless its route is public or the policy has no workspaces. It decides by the host's own
// policy, without messages. It answers load with invalid keys: such a job ends here, at the cost of one digest, before any
// state is kept for it.
func (f *Filter) Run(_ context.Context, now time.Time, job *pipe.Job) {
	p := job.View.Policy
	if len(p.Workspaces) == 0 {
		return
	}
	job.Workspaces = true
	if job.Route.Public {
		return
	}
	if fault := credentialFault(job.Credentials); fault != "" {
		job.Refuse(pipe.Unauthorized, fault)
		return
	}
	if !f.verifiable(now, job) {
		job.RetryAfter = staleRetryAfter
		job.Refuse(pipe.KeysUnverified, "this host can't tell whether the key is still valid")
		return
	}
	w, known := p.WorkspaceOf(job.Credentials[0])
	if !known {
		job.Refuse(pipe.Unauthorized, "the key is unknown")
		return
	}
	job.Workspace = w.Name
	if w.Rank != policy.RouteRank {
		job.Level = w.Rank
	}
	homes, ok := policy.IntersectHomes(job.Homes, w.Homes)
	if !ok {
		job.Refuse(pipe.NoHome, "no region is a home of both route "+job.Route.Name+" and workspace "+w.Name)
		return
	}
	job.Homes = homes
}

// credentialFault returns why the caller's credentials can't be one key, or "". It never contains any of them.
func credentialFault(credentials []string) string {
	switch {
	case len(credentials) == 0:
		return "a key is needed"
	case len(credentials) > 1:
		return "more than one key was sent"
	case credentials[0] == "":
		return "the key is empty"
	case !policy.ValidKey(credentials[0]):
		return "the key is malformed"
	}
	return ""
}

// verifiable reports whether a job's key may be checked with its view, and records when that changes. It answers a host that is cut off
// from the store and from all hosts with newer changes.
func (f *Filter) verifiable(now time.Time, job *pipe.Job) bool {
	c := f.config.Load()
	age := now.Sub(job.View.SyncedAt)
	outdated := c.MaxAge > 0 && age > c.MaxAge
	if f.outdated.Load() != outdated && f.outdated.CompareAndSwap(!outdated, outdated) {
		f.recorder.RecordKeyCheck(now, age, !outdated, c.Strict)
	}
	return !outdated || !c.Strict
}

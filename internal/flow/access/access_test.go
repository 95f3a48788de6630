package access

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

var now = time.Unix(1_700_000_000, 0)

// keyCheck is one call of a recorder.
type keyCheck struct {
	age              time.Duration
	verified, strict bool
}

// recorder keeps what it is told.
type recorder struct{ checks []keyCheck }

func (r *recorder) RecordKeyCheck(_ time.Time, age time.Duration, verified, strict bool) {
	r.checks = append(r.checks, keyCheck{age, verified, strict})
}

func testPolicy() *policy.Policy {
	return &policy.Policy{
		Workspaces: map[string]policy.Workspace{
			"acme": {Name: "acme", Rank: 2, Homes: []string{"east", "west"}}, "plain": {Name: "plain", Rank: policy.RouteRank},
		},
		Keys: map[string]string{policy.KeyDigest("acme-key"): "acme", policy.KeyDigest("acme-new"): "acme", policy.KeyDigest("plain-key"): "plain"},
	}
}

// run passes a job with the given credentials through a filter.
func run(f *Filter, v *roster.View, r *policy.Route, credentials ...string) *pipe.Job {
	job := &pipe.Job{View: v, Route: r, Level: r.Rank, Homes: r.Homes, Credentials: credentials}
	f.Run(context.Background(), now, job)
	return job
}

func TestOnlyOneWellFormedKnownKeyIsAccepted(t *testing.T) {
	v := &roster.View{Policy: testPolicy(), SyncedAt: now}
	for _, c := range []struct {
		name        string
		credentials []string
		workspace   string // Empty if the job must be refused.
	}{
		{"known", []string{"acme-key"}, "acme"},
		{"another of the same workspace", []string{"acme-new"}, "acme"},
		{"missing", nil, ""},
		{"unknown", []string{"acme-kex"}, ""},
		{"of another case", []string{"ACME-KEY"}, ""},
		{"repeated", []string{"acme-key", "acme-key"}, ""},
		{"two of one workspace", []string{"acme-key", "acme-new"}, ""},
		{"known and unknown", []string{"acme-key", "x"}, ""},
		{"known and empty", []string{"acme-key", ""}, ""},
		{"empty", []string{""}, ""},
		{"oversized", []string{strings.Repeat("k", 257)}, ""},
		{"oversized by much", []string{strings.Repeat("acme-key", 10_000)}, ""},
		{"joined by a comma", []string{"acme-key,acme-new"}, ""},
		{"joined by a comma and a space", []string{"acme-key, acme-key"}, ""},
		{"with a space", []string{"acme-key "}, ""},
		{"with a control character", []string{"acme-key\x00"}, ""},
		{"not ASCII", []string{"acme-kéy"}, ""},
		{"digest of a key", []string{policy.KeyDigest("acme-key")}, ""},
		{"name of a workspace", []string{"acme"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			job := run(New(Config{}, &recorder{}), v, &policy.Route{Name: "r"}, c.credentials...)
			assert.Assert(t, job.Workspaces)
			assert.Equal(t, job.Workspace, c.workspace)
			if c.workspace != "" {
				assert.Assert(t, !job.Ended())
				return
			}
			assert.Equal(t, job.Outcome.Kind, pipe.NotRun)
			assert.Equal(t, job.Outcome.Reason, pipe.Unauthorized)
			for _, key := range c.credentials {
				assert.Assert(t, key == "" || !strings.Contains(job.Outcome.Detail, key), "the detail %q contains the key", job.Outcome.Detail)
			}
		})
	}
}

func TestAPublicRouteNeedsNoKey(t *testing.T) {
	v := &roster.View{Policy: testPolicy()}
	f := New(Config{Strict: true, MaxAge: time.Second}, &recorder{})
	for _, credentials := range [][]string{nil, {"acme-key"}, {"unknown"}, {"a", "b"}, {""}} {
		job := run(f, v, &policy.Route{Public: true, Rank: 1}, credentials...)
		assert.Assert(t, !job.Ended())
		assert.Assert(t, job.Workspaces, "the dialer must drop the caller's key")
		assert.Equal(t, job.Workspace, "")
		assert.Equal(t, job.Level, 1)
	}
}

func TestWithoutWorkspacesNothingChanges(t *testing.T) {
	v := &roster.View{Policy: &policy.Policy{}}
	f := New(Config{Strict: true, MaxAge: time.Second}, &recorder{})
	for _, credentials := range [][]string{nil, {"key"}, {"a", "b"}} {
		job := run(f, v, &policy.Route{Rank: 1, Homes: []string{"east"}}, credentials...)
		assert.Assert(t, !job.Ended() && !job.Workspaces && job.Workspace == "")
		assert.Equal(t, job.Level, 1)
		assert.DeepEqual(t, job.Homes, []string{"east"})
	}
}

func TestTheRankOfTheWorkspaceReplacesTheRoutes(t *testing.T) {
	v := &roster.View{Policy: testPolicy(), SyncedAt: now}
	f := New(Config{}, &recorder{})
	assert.Equal(t, run(f, v, &policy.Route{Rank: 1}, "acme-key").Level, 2)
	assert.Equal(t, run(f, v, &policy.Route{Rank: 1}, "plain-key").Level, 1)
}

func TestAJobRunsInRegionsThatItsRouteAndItsWorkspaceAllow(t *testing.T) {
	v := &roster.View{Policy: testPolicy(), SyncedAt: now}
	f := New(Config{}, &recorder{})
	for _, c := range []struct {
		key         string
		route, want []string
	}{
		{"plain-key", nil, nil},
		{"plain-key", []string{"north"}, []string{"north"}},
		{"acme-key", nil, []string{"east", "west"}},
		{"acme-key", []string{"west", "north"}, []string{"west"}},
	} {
		job := run(f, v, &policy.Route{Homes: c.route}, c.key)
		assert.Assert(t, !job.Ended())
		assert.DeepEqual(t, job.Homes, c.want)
	}
	job := run(f, v, &policy.Route{Homes: []string{"north"}}, "acme-key")
	assert.Equal(t, job.Outcome.Kind, pipe.NotRun)
	assert.Equal(t, job.Outcome.Reason, pipe.NoHome)
}

// Guards against a revoked key that is accepted because an earlier decision for it was kept.
func TestANewPolicyBindsTheNextJob(t *testing.T) {
	f := New(Config{}, &recorder{})
	old, changed := testPolicy(), testPolicy()
	delete(changed.Keys, policy.KeyDigest("acme-key"))
	changed.Keys[policy.KeyDigest("acme-key-2")] = "acme"
	for _, c := range []struct {
		policy *policy.Policy
		key    string
		ended  bool
	}{{old, "acme-key", false}, {old, "acme-key-2", true}, {changed, "acme-key", true}, {changed, "acme-key-2", false}} {
		assert.Equal(t, run(f, &roster.View{Policy: c.policy, SyncedAt: now}, &policy.Route{}, c.key).Ended(), c.ended, "%s", c.key)
	}
}

// A host that is cut off from the store and from all hosts with newer changes can't learn that a key was revoked.
func TestAHostWithAnOutdatedViewRefusesKeysInStrictModeOnly(t *testing.T) {
	fresh, stale := now.Add(-900*time.Millisecond), now.Add(-1100*time.Millisecond)
	for _, c := range []struct {
		strict      bool
		synced      time.Time
		key, reason string
	}{
		{false, fresh, "acme-key", ""}, {false, stale, "acme-key", ""}, {false, stale, "unknown", string(pipe.Unauthorized)},
		{true, fresh, "acme-key", ""}, {true, stale, "acme-key", string(pipe.KeysUnverified)},
		{true, stale, "unknown", string(pipe.KeysUnverified)}, // It may be new.
		{true, stale, "mal,formed", string(pipe.Unauthorized)},
	} {
		f := New(Config{Strict: c.strict, MaxAge: time.Second}, &recorder{})
		job := run(f, &roster.View{Policy: testPolicy(), SyncedAt: c.synced}, &policy.Route{}, c.key)
		assert.Equal(t, string(job.Outcome.Reason), c.reason)
		if job.Outcome.Reason == pipe.KeysUnverified {
			assert.Equal(t, job.Outcome.Kind, pipe.NotRun)
			assert.Assert(t, job.RetryAfter > 0)
		}
	}
	f := New(Config{Strict: true}, &recorder{})
	assert.Assert(t, !run(f, &roster.View{Policy: testPolicy()}, &policy.Route{}, "acme-key").Ended(), "without a limit, no view is too old")
}

// Guards against a log line for each job while the store is away.
func TestTheStartAndTheEndOfAnOutageAreRecordedOnce(t *testing.T) {
	r := &recorder{}
	f := New(Config{MaxAge: time.Second}, r)
	p := testPolicy()
	for _, age := range []time.Duration{0, 2, 3, 4, 0, 0, 5} {
		run(f, &roster.View{Policy: p, SyncedAt: now.Add(-age * time.Second)}, &policy.Route{}, "acme-key")
	}
	assert.Assert(t, slices.Equal(r.checks, []keyCheck{{age: 2 * time.Second}, {verified: true}, {age: 5 * time.Second}}), "%v", r.checks)
	f.SetConfig(Config{Strict: true, MaxAge: 10 * time.Second})
	assert.Assert(t, !run(f, &roster.View{Policy: p, SyncedAt: now.Add(-5 * time.Second)}, &policy.Route{}, "acme-key").Ended())
}

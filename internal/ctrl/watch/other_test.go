package watch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// startFirstReader starts a host that all other hosts follow, with a policy of the given workspaces, and then makes the store refuse it.
func startFirstReader(t *testing.T, f *fakeStore, workspaces ...string) *Loop {
	l := startReader(t, f, roster.Host{Name: "self", Region: "east", Cores: 2}, roster.Host{Name: "small1", Region: "east", Cores: 1}, roster.Host{Name: "small2", Region: "east", Cores: 1})
	waitFor(t, "read", func() bool { return !l.View().SyncedAt.IsZero() })
	p := &policy.Policy{Version: 1, Workspaces: map[string]policy.Workspace{}}
	for _, name := range workspaces {
		p.Workspaces[name] = policy.Workspace{Name: name}
	}
	l.Send(context.Background(), StoreRead{Batch: roster.Batch{Changes: []roster.Change{{Kind: roster.PolicyKind, Name: "policy", Policy: p}}}})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = true
	return l
}

// syncAge returns the age of the view after a while.
func syncAge(l *Loop) time.Duration {
	time.Sleep(3 * time.Second)
	return time.Since(l.View().SyncedAt)
}

// Guards against a host that the store alone rejects, that precedes all others, and that goes on to accept keys which were revoked
// meanwhile. Other hosts must not take its state for recent, or two hosts could take each other's.
func TestTheFirstReaderHearsThroughALaterHostWhenTheStoreRejectsIt(t *testing.T) {
	f := &fakeStore{peerUpdates: map[string]Updates{"small1": {Age: 3 * time.Second}, "small2": {Age: 100 * time.Millisecond}}}
	l := startFirstReader(t, f, "acme")
	age := syncAge(l)
	assert.Assert(t, age < 1500*time.Millisecond, "%s", age)
	updates, ok := l.Updates(context.Background(), Query{After: 1})
	assert.Assert(t, ok)
	assert.Assert(t, updates.Age > 2*time.Second, "told others that the state is %s old", updates.Age)
	f.mu.Lock()
	f.refuse = false
	f.mu.Unlock()
	waitFor(t, "the state to be direct again", func() bool {
		updates, _ := l.Updates(context.Background(), Query{After: 1})
		return updates.Age < time.Second
	})
}

// silentPeers are hosts that answer nothing until a request is given up.
type silentPeers struct{ asked chan struct{} }

func (p silentPeers) Updates(ctx context.Context, _ roster.Host, _ Query) (Updates, error) {
	select {
	case p.asked <- struct{}{}:
	case <-ctx.Done():
	}
	<-ctx.Done()
	return Updates{}, ctx.Err()
}

func (p silentPeers) Probe(ctx context.Context, _ roster.Host, _, _ time.Duration) (time.Duration, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// Guards against requests to silent hosts that keep a host from reading the store when a partition ends: it must have new data before it
// counts as connected again, 3 s later. The partition ends when the host has just begun to ask another one.
func TestAskingOtherHostsDoesNotDelayTheStore(t *testing.T) {
	peers, f := silentPeers{asked: make(chan struct{})}, &fakeStore{started: make(chan struct{}, 1)}
	l := NewLoop(roster.Host{Name: "self", Region: "east"}, time.Now, noopObserver{})
	l.state.hosts = map[string]roster.Host{"self": {Name: "self", Cores: 2}, "small": {Name: "small", Cores: 1}}
	l.state.policy = &policy.Policy{Version: 1, Workspaces: map[string]policy.Workspace{"acme": {Name: "acme"}}}
	l.state.cached = nil
	l.view.Store(l.state.View(time.Now()))
	f.hosts = l.View().Hosts
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{Source: f, Peers: peers, Loop: l, Clock: time.Now, Done: make(chan struct{})}
	go l.Run(ctx)
	go r.Run(ctx)
	defer func() { cancel(); <-r.Done; <-l.Done }()
	waitFor(t, "read", func() bool { return !l.View().SyncedAt.IsZero() })
	setUnreachable := func(unreachable bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.unreachable = unreachable
	}
	setUnreachable(true)
	for range 6 { // The retry delay has reached its maximum.
		<-peers.asked
	}
	setUnreachable(false)
	go func() {
		for {
			select {
			case <-peers.asked:
			case <-ctx.Done():
				return
			}
		}
	}()
	healed := time.Now()
	took := waitFor(t, "read again", func() bool { return l.View().SyncedAt.After(healed) })
	assert.Assert(t, took < 2*time.Second, "%s", took)
}

func TestOldChangesOfALaterHostAreNotUsed(t *testing.T) {
	f := &fakeStore{peerUpdates: map[string]Updates{"small1": {Age: 3 * time.Second}, "small2": {Age: 3 * time.Second}}}
	age := syncAge(startFirstReader(t, f, "acme"))
	assert.Assert(t, age > 2*time.Second, "%s", age)
}

func TestWithoutWorkspacesLaterHostsAreNotAsked(t *testing.T) {
	f := &fakeStore{peerUpdates: map[string]Updates{"small1": {}, "small2": {}}}
	age := syncAge(startFirstReader(t, f))
	assert.Assert(t, age > 2*time.Second, "%s", age)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.peerRequests), 0)
}

func TestOtherHostsAreAskedInTheCommonOrderFromThisOneOn(t *testing.T) {
	hosts := []roster.Host{{Name: "a", Cores: 4}, {Name: "b", Cores: 3}, {Name: "c", Cores: 2}, {Name: "d", Cores: 1}}
	names := func(self string) (out []string) {
		for _, h := range othersOf(&roster.View{Self: roster.Host{Name: self}, Hosts: hosts}) {
			out = append(out, h.Name)
		}
		return out
	}
	assert.DeepEqual(t, names("a"), []string{"b", "c", "d"})
	assert.DeepEqual(t, names("c"), []string{"d", "a", "b"})
	assert.DeepEqual(t, names("new"), []string{"a", "b", "c", "d"})
}

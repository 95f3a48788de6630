package broker

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

var start = time.Unix(1_700_000_000, 0)

func sampleChanges(upstreams int) []roster.Change {
	changes := []roster.Change{
		{Kind: roster.PolicyKind, Name: "policy", Revision: 4, Policy: &policy.Policy{Version: 3}},
		{Kind: roster.HostKind, Name: "h", Revision: 5, Host: roster.Host{Name: "h", Domain: "a", Region: "east", Cores: 0.8}},
		{Kind: roster.CrashKind, Name: "c", Revision: 6, Crash: roster.Crash{Digest: 1 << 63, Upstream: "u"}},
		{Kind: roster.EvacuationKind, Name: "b", Revision: 7},
		{Kind: roster.HostKind, Name: "gone", Revision: 8, Removed: true},
		{Kind: roster.UpstreamKind, Name: "left", Removed: true, Upstream: roster.Upstream{ID: "left", Born: 7, Draining: true}},
	}
	for i := range upstreams {
		changes = append(changes, roster.Change{Kind: roster.UpstreamKind, Name: fmt.Sprint("u", i), Revision: int64(9 + i), Upstream: roster.Upstream{
			ID: fmt.Sprint("u", i), Service: "s", Address: "10.0.0.1:80", Domain: "a", Region: "east", Slots: 6, Born: 5, Seq: 2,
		}})
	}
	return changes
}

func TestChangesKeepTheirContentOnTheWayToAnotherHost(t *testing.T) {
	for _, upstreams := range []int{3, 3 * minPackedChanges} {
		changes := sampleChanges(upstreams)
		var w wireUpdates
		assert.NilError(t, w.encodeChanges(changes, start))
		assert.Equal(t, len(w.Packed) > 0, upstreams > minPackedChanges)
		got, err := w.decodeChanges()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, changes)
	}
}

func TestAColdTimeIsSentAsTheTimeLeftAndAnUnreadableEntryAsRemoved(t *testing.T) {
	changes := sampleChanges(1)[6:]
	changes[0].Upstream.Cold, changes[0].Upstream.Reported = 5*time.Second, start.Add(-2*time.Second)
	changes = append(changes, roster.Change{Kind: roster.UpstreamKind, Name: "v", Err: errors.New("malformed")})
	var w wireUpdates
	assert.NilError(t, w.encodeChanges(changes, start))
	got, err := w.decodeChanges()
	assert.NilError(t, err)
	assert.Equal(t, got[0].Upstream.Cold, 3*time.Second)
	assert.Assert(t, got[1].Removed)
}

func TestMalformedChangesAreAnError(t *testing.T) {
	for name, w := range map[string]wireUpdates{
		"no policy": {Changes: []wireChange{{Kind: roster.PolicyKind}}}, "no upstream": {Changes: []wireChange{{Kind: roster.UpstreamKind}}},
		"no host": {Changes: []wireChange{{Kind: roster.HostKind}}}, "no crash": {Changes: []wireChange{{Kind: roster.CrashKind}}},
		"noise": {Packed: []byte("noise")},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := w.decodeChanges()
			assert.Assert(t, err != nil)
		})
	}
}

// FuzzChanges feeds changes of another host to the decoder, which must return an error for what it can't decode.
func FuzzChanges(f *testing.F) {
	var w wireUpdates
	assert.NilError(f, w.encodeChanges(sampleChanges(2*minPackedChanges), start))
	f.Add(w.Packed)
	f.Add([]byte{})
	f.Add([]byte("noise"))
	f.Fuzz(func(_ *testing.T, packed []byte) {
		w := wireUpdates{Packed: packed}
		_, _ = w.decodeChanges()
	})
}

// Guards against second attempts that wait at the placing host because it doesn't learn that they must not.
func TestARequestKeepsThatItMustNotWait(t *testing.T) {
	for _, noWait := range []bool{true, false} {
		w := newWireAcquire(&place.Request{NoWait: noWait}, 1, start)
		data, err := json.Marshal(w)
		assert.NilError(t, err)
		assert.Equal(t, strings.Contains(string(data), `"now":true`), noWait)
		var got wireAcquire
		assert.NilError(t, json.Unmarshal(data, &got))
		assert.Equal(t, got.toRequest(start).NoWait, noWait)
	}
}

// Guards against fields that are lost between hosts: a job would be counted twice against its quota, or its token be lost.
func TestWhatAQuotaNeedsReachesThePlacingHost(t *testing.T) {
	req := place.Request{Workspace: "w", Counted: true, Objective: start, Deadline: start}
	w := newWireAcquire(&req, 1, start)
	got := w.toRequest(start)
	assert.Equal(t, got.Workspace, "w")
	assert.Assert(t, got.Counted)
	r := newWireRelease(1, place.Result{NotRun: true})
	assert.Assert(t, r.toResult().NotRun)
}

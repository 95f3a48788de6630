package policy

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestValidKeysAreVisibleASCIIWithoutAComma(t *testing.T) {
	for key, want := range map[string]bool{
		"k": true, "!~+/=._-": true, strings.Repeat("k", 256): true,
		"": false, strings.Repeat("k", 257): false, "a,b": false, "a b": false, "a\tb": false, "a\x7f": false, "\x00": false, "schlüssel": false,
	} {
		assert.Equal(t, ValidKey(key), want, "%q", key)
	}
}

func TestAKeyIsFoundByItsDigestOnly(t *testing.T) {
	p := &Policy{
		Workspaces: map[string]Workspace{"a": {Name: "a", Rank: 2}},
		Keys:       map[string]string{KeyDigest("k1"): "a", KeyDigest("dangling"): "gone", "plain": "a"},
	}
	w, ok := p.WorkspaceOf("k1")
	assert.Assert(t, ok)
	assert.DeepEqual(t, w, Workspace{Name: "a", Rank: 2})
	for _, key := range []string{"", "k2", "K1", "plain", KeyDigest("k1"), "dangling"} {
		_, ok := p.WorkspaceOf(key)
		assert.Assert(t, !ok, "%q", key)
	}
	assert.Equal(t, KeyDigest("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad") // FIPS 180-2, appendix B.1.
}

// Guards against a lookup whose cost grows with the number of keys.
func TestALookupAllocatesTheSameForTenAndTenThousandKeys(t *testing.T) {
	allocs := func(keys int) float64 {
		p := &Policy{Workspaces: map[string]Workspace{"a": {Name: "a"}}, Keys: map[string]string{}}
		for i := range keys {
			p.Keys[KeyDigest(fmt.Sprint("key-", i))] = "a"
		}
		return testing.AllocsPerRun(100, func() {
			if _, ok := p.WorkspaceOf("key-7"); !ok {
				t.Fatal("a key of the policy was not found")
			}
			if _, ok := p.WorkspaceOf("another"); ok {
				t.Fatal("a key that isn't in the policy was found")
			}
		})
	}
	few, many := allocs(10), allocs(10_000)
	assert.Equal(t, few, many)
	assert.Assert(t, few <= 2, "%.0f allocations for two lookups", few)
}

func TestARegionIsAHomeOfBothListsOrOfNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"r1", "r2", "r3"}), rapid.ID)
		a, b := regions.Draw(t, "a"), regions.Draw(t, "b")
		both, ok := IntersectHomes(a, b)
		allowed := 0
		for _, region := range []string{"r1", "r2", "r3"} {
			want := (&Route{Homes: a}).Allows(region) && (&Route{Homes: b}).Allows(region)
			if got := ok && (&Route{Homes: both}).Allows(region); got != want {
				t.Fatalf("%v and %v: region %s is allowed: %v, want %v", a, b, region, got, want)
			}
			if want {
				allowed++
			}
		}
		if ok != (allowed > 0) {
			t.Fatalf("%v and %v: ok is %v with %d regions", a, b, ok, allowed)
		}
	})
}

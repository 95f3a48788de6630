package policy

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	p := &Policy{Routes: map[string][]Route{
		"a.example": {{Name: "root", Prefix: "/x/"}, {Name: "deep", Prefix: "/x/y/"}, {Name: "other", Prefix: "/z/"}},
		"b.example": {{Name: "b", Prefix: "/x/"}},
	}}
	p.Sort()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "deep"},
		{"a.example", "/x/yy", "root"},
		{"a.example", "/x/", "root"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/1", "b"},
		{"c.example", "/x/y/1", ""},
	} {
		got := ""
		if r := p.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

func TestMatchFindsWhatALinearSearchFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfDistinct(rapid.StringMatching(`/([ab]{1,2}/){0,3}`), rapid.ID).Draw(t, "prefixes")
		path := rapid.StringMatching(`/([ab]{1,2}/){0,4}`).Draw(t, "path")
		p := &Policy{Routes: map[string][]Route{}}
		best := ""
		for _, prefix := range prefixes {
			p.Routes["h"] = append(p.Routes["h"], Route{Prefix: prefix})
			if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
				best = prefix
			}
		}
		p.Sort()
		got := ""
		if r := p.Match("h", path); r != nil {
			got = r.Prefix
		}
		if got != best {
			t.Fatalf("path %s: got %q, want %q", path, got, best)
		}
	})
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Parts: []WeightedService{{"a", 90}, {"b", 10}, {"none", 0}}}
	n := map[string]int{}
	for i := range 1000 {
		n[r.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, n, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, (&Route{Parts: []WeightedService{{"only", 1}}}).Pick(0.999), "only")
	assert.Equal(t, (&Route{}).Pick(0.5), "")
}

func TestNoHomesAllowsAllRegions(t *testing.T) {
	assert.Assert(t, (&Route{}).Allows("dar"))
	assert.Assert(t, (&Route{Homes: []string{"dar"}}).Allows("dar"))
	assert.Assert(t, !(&Route{Homes: []string{"dar"}}).Allows("mwanza"))
}

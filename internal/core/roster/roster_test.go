package roster

import (
	"testing"

	"gotest.tools/v3/assert"
)

func names(hosts []Host) []string {
	out := []string{}
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

func TestNearestReturnsLiveHostsOfTheCallersRegion(t *testing.T) {
	self := Host{Name: "a1", Domain: "a", Region: "east"}
	v := &View{Self: self, Hosts: []Host{
		self, {Name: "a2", Domain: "a", Region: "east"}, {Name: "b1", Domain: "b", Region: "east"}, {Name: "c1", Domain: "c", Region: "west"},
	}}
	assert.DeepEqual(t, names(v.Nearest("east", "b")), []string{"b1", "a1", "a2"})
	assert.DeepEqual(t, names(v.Nearest("west", "c")), []string{"c1"})
	assert.DeepEqual(t, names(v.Nearest("north", "n")), []string{"a1", "a2", "b1", "c1"})
	v.ShuttingDown = true
	assert.DeepEqual(t, names(v.Nearest("east", "a")), []string{"a2", "b1"})
}

func TestNearestReturnsSelfWithoutOtherHosts(t *testing.T) {
	v := &View{Self: Host{Name: "a1", Domain: "a", Region: "east"}}
	assert.DeepEqual(t, names(v.Nearest("west", "c")), []string{"a1"})
	v.ShuttingDown = true
	assert.DeepEqual(t, names(v.Nearest("west", "c")), []string{})
}

func TestPlacersPreferCoresAndSpreadDuties(t *testing.T) {
	v := &View{Hosts: []Host{
		{Name: "small", Region: "east", Cores: 0.16}, {Name: "big1", Region: "east", Cores: 0.8},
		{Name: "big2", Region: "east", Cores: 0.8}, {Name: "far", Region: "west", Cores: 8},
	}}
	first := map[string]int{}
	for _, duty := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		order := names(v.DutyOrder("east", duty))
		assert.Equal(t, len(order), 3)
		assert.Equal(t, order[2], "small")
		first[order[0]]++
	}
	assert.Equal(t, len(first), 2, "%v", first)
}

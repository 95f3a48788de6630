package roster

import (
	"fmt"
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

// A failure domain with enough hosts serves its callers with its largest ones; a small one shares the region's hosts.
func TestCallersUseTheLargestHostsOfTheirDomain(t *testing.T) {
	v := &View{Self: Host{Name: "b1", Domain: "b", Region: "east"}}
	for i := range 2 {
		v.Hosts = append(v.Hosts, Host{Name: fmt.Sprint("big", i), Domain: "a", Region: "east", Cores: 0.8})
	}
	for i := range 20 {
		v.Hosts = append(v.Hosts, Host{Name: fmt.Sprint("small", i), Domain: "a", Region: "east", Cores: 0.16})
	}
	v.Hosts = append(v.Hosts, v.Self)
	assert.DeepEqual(t, names(v.EntryHosts("east", "a")), []string{"big0", "big1", "small0"})
	assert.Equal(t, len(v.EntryHosts("east", "b")), 23)
	v.Hosts = v.Hosts[2:] // Both large hosts are gone: a third of what is left takes over.
	assert.Equal(t, len(v.EntryHosts("east", "a")), 7)
}

func TestPoolsOfAFailureDomainArePlacedByItsOwnHosts(t *testing.T) {
	v := &View{Self: Host{Name: "a1", Domain: "a", Region: "east"}, DomainPools: map[string]bool{"wide": true}, Loans: map[string]string{"lent": "east/b"}}
	v.Hosts = []Host{v.Self, {Name: "b1", Domain: "b", Region: "east"}, {Name: "c1", Domain: "c", Region: "west"}}
	assert.DeepEqual(t, names(v.PlacingOrder("wide")), []string{"a1"})
	assert.Equal(t, len(v.PlacingOrder("narrow")), 2)
	u := &Upstream{ID: "u", Service: "wide", Domain: "a", Region: "east"}
	assert.Equal(t, v.UsedBy(u), "east/a")
	assert.Equal(t, v.UsedBy(u), v.OwnPool("wide"))
	u.Service = "narrow"
	assert.Equal(t, v.UsedBy(u), "east")
	u.ID = "lent"
	assert.Equal(t, v.UsedBy(u), "east/b")
}

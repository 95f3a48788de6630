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
	v := &View{Self: Host{Region: "east"}, Hosts: []Host{
		{Name: "small", Region: "east", Cores: 0.16}, {Name: "big1", Region: "east", Cores: 0.8},
		{Name: "big2", Region: "east", Cores: 0.8}, {Name: "far", Region: "west", Cores: 8},
	}}
	first := map[string]int{}
	for _, duty := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		order := names(v.PlacingOrder(duty))
		assert.Equal(t, len(order), 3)
		assert.Equal(t, order[2], "small")
		first[order[0]]++
	}
	assert.Equal(t, len(first), 2, "%v", first)
}

// A failure domain with enough large hosts serves its callers with them; otherwise the large hosts of the region do. No small
// host takes callers next to a large one.
func TestCallersUseLargeHosts(t *testing.T) {
	v := &View{Self: Host{Name: "b-small", Domain: "b", Region: "east", Cores: 0.16}}
	add := func(domain string, large, small int) {
		for i := range large {
			v.Hosts = append(v.Hosts, Host{Name: fmt.Sprint(domain, "-large", i), Domain: domain, Region: "east", Cores: 0.8})
		}
		for i := range small {
			v.Hosts = append(v.Hosts, Host{Name: fmt.Sprint(domain, "-small", i), Domain: domain, Region: "east", Cores: 0.16})
		}
	}
	add("a", 3, 30)
	add("b", 2, 13)
	assert.DeepEqual(t, names(v.EntryHosts("east", "a")), []string{"a-large0", "a-large1", "a-large2"})
	assert.DeepEqual(t, names(v.EntryHosts("east", "b")), []string{"b-large0", "b-large1", "a-large0", "a-large1", "a-large2"})
	v.Hosts = v.Hosts[1:] // With one large host less, the domain's callers use the region's.
	assert.DeepEqual(t, names(v.EntryHosts("east", "a")), []string{"a-large1", "a-large2", "b-large0", "b-large1"})
	v.Hosts = nil
	add("a", 0, 30)
	assert.Equal(t, len(v.EntryHosts("east", "a")), 10) // A third of equal hosts.
	v.Hosts = nil
	add("a", 1, 1)
	assert.Equal(t, len(v.EntryHosts("east", "a")), 3) // Too few large ones: all, with this host.
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

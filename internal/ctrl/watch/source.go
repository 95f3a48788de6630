package watch

import (
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// maxReaders is the number of hosts that read the store for the fleet, and of those that pass its changes on in each
	// failure domain. The second one takes over when the first has no recent changes.
	maxReaders = 2
	// maxFleetAge is the age from which the changes of one of the fleet's readers are ignored. Upstream reports arrive more often
	// than that. A change must reach all hosts within 2.5 s even if the first reader is cut off from the store just then.
	maxFleetAge = 900 * time.Millisecond
	// maxDomainAge is the same for a host of the failure domain, which gets its changes from one of the fleet's readers.
	maxDomainAge = 2 * time.Second
	// sourceWait is how long a request waits for news at these hosts. They have some after each read of the store, which takes up to
	// longPollTimeout and a round trip.
	sourceWait = 750 * time.Millisecond
	// readerRole is the duty of reading the store. It is hashed into the order of the hosts, so that reading and the
	// placement of services spread over the hosts.
	readerRole = "reader"
)

// source is a host from which another one requests changes.
type source struct {
	host    roster.Host
	maxAge  time.Duration
	readAge time.Duration
	wait    time.Duration
}

// sourcesOf returns the hosts from which this host requests changes, in order of preference: those that pass them on in its
// failure domain, then the fleet's readers. Each host requests only from hosts that precede it in one common order. It
// also reports whether this host is one of the fleet's readers.
func sourcesOf(v *roster.View) ([]source, bool) {
	var list []source
	fleet := v.FleetOrder(readerRole)
	domain := slices.DeleteFunc(slices.Clone(fleet), func(h roster.Host) bool { return h.Domain != v.Self.Domain })
	for _, h := range domain[:min(len(domain), maxReaders)] {
		if h.Name == v.Self.Name {
			break
		}
		list = append(list, source{host: h, maxAge: maxDomainAge, readAge: domainReadAge, wait: sourceWait})
	}
	for _, h := range fleet[:min(len(fleet), maxReaders)] {
		if h.Name == v.Self.Name {
			return list, true
		}
		if at := slices.IndexFunc(list, func(s source) bool { return s.host.Name == h.Name }); at >= 0 {
			list[at].maxAge, list[at].readAge = maxFleetAge, fleetReadAge
			continue
		}
		list = append(list, source{host: h, maxAge: maxFleetAge, readAge: fleetReadAge, wait: sourceWait})
	}
	return list, len(fleet) == 0
}

// othersOf returns the other hosts in the common order, beginning after this one, so that the requests of several hosts spread.
func othersOf(v *roster.View) []roster.Host {
	fleet := v.FleetOrder(readerRole)
	self := slices.IndexFunc(fleet, func(h roster.Host) bool { return h.Name == v.Self.Name })
	if self < 0 {
		return fleet
	}
	return slices.Concat(fleet[self+1:], fleet[:self])
}

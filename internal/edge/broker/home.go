package broker

import (
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// homeRegions finds the pools that jobs with homes in other regions belong to. It keeps the pools of each service until its
// upstreams or the hosts change, and the shortest round trip to each region: longer ones contain waiting times.
type homeRegions struct {
	mu         sync.Mutex
	services   map[string]servicePools
	roundTrips map[string]time.Duration
}

// servicePools holds the pools of a service, and the parts of the view that they were made from.
type servicePools struct {
	upstreams []*roster.Upstream
	hosts     []roster.Host
	byDomain  bool
	pools     []roster.Pool
}

// record records the time that a connection to an upstream took to open; 0 if none was opened.
func (h *homeRegions) record(region string, took time.Duration) {
	if took <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.roundTrips == nil {
		h.roundTrips = map[string]time.Duration{}
	}
	if shortest, known := h.roundTrips[region]; !known || took < shortest {
		h.roundTrips[region] = took
	}
}

// pools returns the pools whose placing hosts place a job that may not run in this host's region, the nearest first. It returns
// none for other jobs, and while the policy has no workspaces.
func (h *homeRegions) pools(v *roster.View, req *place.Request) []roster.Pool {
	if len(req.Homes) == 0 || v.Policy == nil || len(v.Policy.Workspaces) == 0 || slices.Contains(req.Homes, v.Self.Region) {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// A workspace's jobs from one region run in one other region, and those with the same object in the same pool.
	n := roster.Nearness{Key: v.Self.Region + " " + req.Workspace, Spread: req.Object, RoundTrips: h.roundTrips}
	if n.Spread == "" {
		n.Spread = v.Self.Name
	}
	return roster.NearestPools(h.poolsOf(v, req.Service), req.Homes, &n)
}

// poolsOf returns the pools of a service.
func (h *homeRegions) poolsOf(v *roster.View, service string) []roster.Pool {
	upstreams, byDomain := v.Upstreams[service], v.DomainPools[service]
	s, known := h.services[service]
	if !known || s.byDomain != byDomain || !sameSlice(s.upstreams, upstreams) || !sameSlice(s.hosts, v.Hosts) {
		s = servicePools{upstreams: upstreams, hosts: v.Hosts, byDomain: byDomain, pools: v.Pools(service)}
		if h.services == nil {
			h.services = map[string]servicePools{}
		}
		h.services[service] = s
	}
	return s.pools
}

// sameSlice reports whether two slices are the same part of the same array. Views share what has not changed.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

package policy

import (
	"slices"
	"strings"
	"time"
)

// Policy is one version of the routing policy; it is immutable once published.
type Policy struct {
	Version  uint64
	Routes   map[string][]Route // By HTTP host; longest prefix first.
	Services map[string]Service
	Limits   Limits

	Workspaces map[string]Workspace // By name; empty if callers need no key.
	Keys       map[string]string    // The workspace's name, by the key's SHA-256 in hex.
}

// Workspace is a customer whose callers identify themselves by keys.
type Workspace struct {
	Name  string
	Rank  int      // Replaces the route's unless it is RouteRank; 0 is the most urgent.
	Rate  float64  // Jobs a second that all hosts together may run; 0 for no limit.
	Burst float64  // Jobs in addition to Rate.
	Homes []string // The regions that may serve the workspace; empty allows all.
}

// RouteRank is the rank of a workspace whose jobs keep the route's.
const RouteRank = -1

// Route defines how requests for an HTTP host and path prefix are handled.
type Route struct {
	Name      string
	Host      string        // The HTTP host.
	Prefix    string        // Of the path.
	Once      bool          // A request reaches an upstream at most once.
	Timeout   time.Duration // The longest time allowed for a request.
	Objective time.Duration // The target latency.
	Rank      int           // 0 is the most urgent.
	Parts     []WeightedService
	Attempts  int      // Maximum number of upstreams that a request is sent to.
	Sticky    bool     // Requests with the same affinity key go to the same few upstreams.
	Homes     []string // The regions that may serve the route; empty allows all.
	Public    bool     // Callers need no key.
}

// WeightedService is a service that gets a share of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service configures the upstreams of a service.
type Service struct {
	Name       string
	HealthPath string
	Conns      int           // Connections that an upstream accepts from all hosts together.
	ColdLife   time.Duration // The time after its start for which an upstream is cold.
	ColdRate   float64       // Requests per second that a cold upstream can take.
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	Header     int64         // Bytes.
	Body       int64         // Bytes.
	HeaderLife time.Duration // Time allowed to send the header.
	IdleLife   time.Duration // Time that a connection may stay idle.
}

// Sort orders each host's routes by descending prefix length, as Match requires; call it once, before publishing.
func (p *Policy) Sort() {
	for _, routes := range p.Routes {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route with the longest prefix of the path, or nil if none matches.
func (p *Policy) Match(host, path string) *Route {
	routes := p.Routes[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i]
		}
	}
	return nil
}

// Allows reports whether a region may serve the route.
func (r *Route) Allows(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Pick returns the service that the traffic split assigns to a point in [0, 1), or "" if the route has no parts.
func (r *Route) Pick(point float64) string {
	var sum float64
	for _, part := range r.Parts {
		sum += part.Weight
	}
	point *= sum
	for _, part := range r.Parts {
		if point -= part.Weight; point < 0 {
			return part.Service
		}
	}
	if len(r.Parts) == 0 {
		return ""
	}
	return r.Parts[len(r.Parts)-1].Service
}

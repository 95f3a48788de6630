package policy

import (
	"slices"
	"strings"
	"time"
)

// Policy is one version of the routing policy; a published one is never changed.
type Policy struct {
	Version  uint64
	Routes   map[string][]Route // By host; longest prefix first.
	Services map[string]Service
	Limits   Limits
}

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Once      bool          // A request may reach an upstream once at most.
	Timeout   time.Duration // The longest time that a request is kept waiting.
	Objective time.Duration // The latency within which an answer is worth most.
	Rank      int           // 0 is the most urgent.
	Parts     []Part
	Attempts  int // The most upstreams that one request is sent to.
	Sticky    bool
	Homes     []string // The only regions that may serve it; none means all.
}

// Part is one service's share of a route's requests.
type Part struct {
	Service string
	Weight  float64
}

// Service is what the policy says of the upstreams of a service.
type Service struct {
	Name       string
	HealthPath string
	Conns      int           // Connections that an upstream accepts from all hosts together.
	ColdLife   time.Duration // How long an upstream is cold after its start.
	ColdRate   float64       // Requests a second that a cold upstream bears.
}

// Limits bounds what a caller may send.
type Limits struct {
	Header     int64 // Bytes.
	Body       int64 // Bytes.
	HeaderLife time.Duration
	IdleLife   time.Duration
}

// Sort orders the routes of each host for Match; call it once, before the policy is published.
func (p *Policy) Sort() {
	for _, routes := range p.Routes {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route with the longest prefix of a path, or nil if there is none.
func (p *Policy) Match(host, path string) *Route {
	routes := p.Routes[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i]
		}
	}
	return nil
}

// Allows tells whether a route's requests may be served in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Pick returns the service of the part in which a point of [0, 1) lies.
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

package plan

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// Identity identifies this entry host.
type Identity struct {
	Seat        string
	Region      string
	Domain      string
	Incarnation string
}

// Plan holds everything that routing and admission read; it is immutable once published.
type Plan struct {
	Self         Identity
	Doc          *spec.Document
	Services     map[string]*Service
	Capacity     share.Quota            // This host's share of its region's capacity.
	Links        map[string]share.Quota // This host's share of each link, by destination region.
	Domains      []Domain
	Shifts       []Shift
	Lookup       Lookup
	ShuttingDown bool // This host is shutting down.
}

// Service is a service with its upstreams in this host's failure domain.
type Service struct {
	spec.Service
	Level     int // Index of the service's rank; 0 is the most urgent.
	Upstreams []Upstream
	Sites     []Site
	LocalSite *Site // The element of Sites for this host alone, or nil.
}

// Site is a failure domain, or this host alone, that can serve a service now.
type Site struct {
	Domain *Domain
	Load   Load
	Link   share.Quota // This host's share of the link to the site's region; unused within the same region.
}

// SetSites derives the sites of each service from the domains; call it once, before the plan is published.
func (p *Plan) SetSites() {
	for name, svc := range p.Services {
		svc.Sites, svc.LocalSite = make([]Site, 0, len(p.Domains)), nil
		for i := range p.Domains {
			d := &p.Domains[i]
			load, ok := d.Loads[name]
			if ok && load.Slots > 0 && !d.Drained && len(d.Hosts) > 0 {
				svc.Sites = append(svc.Sites, Site{Domain: d, Load: load, Link: p.Links[d.Region]})
				if d.Self {
					svc.LocalSite = &svc.Sites[len(svc.Sites)-1]
				}
			}
		}
	}
}

// Upstream is an upstream with this host's share of its slots and connections.
type Upstream struct {
	ID      string
	Address string
	Slots   share.Quota
	Conns   int64
}

// Domain is a failure domain, or this host alone, as a target for jobs.
type Domain struct {
	Name    string
	Region  string
	Delay   time.Duration // One way.
	Drained bool
	Self    bool // Whether the target is this host alone; the other hosts of its failure domain are a separate target.
	Hosts   []spec.Seat
	Loads   map[string]Load
}

// Load is the load that a failure domain reports for one service.
type Load struct {
	Slots   int64         `json:"slots"`
	Busy    int64         `json:"busy"`
	Queued  int64         `json:"queued"`
	Latency time.Duration `json:"latency"`
}

// Headroom returns the number of free slots less the jobs that wait; it may be negative.
func (l Load) Headroom() int64 { return l.Slots - l.Busy - l.Queued }

// Shift is the fraction of a service's traffic that moves to another region now, and this host's share of its cap.
type Shift struct {
	Name     string
	Service  string
	To       string
	Fraction float64 // 0 to 1.
	Rate     float64 // This host's share of the cap, in jobs a second.
}

// Lookup lists the entry hosts for callers' lookups.
type Lookup struct {
	Hosts []spec.Seat
	Sites []rendez.Site
	TTL   time.Duration // How long callers may keep an answer.
}

// MaxLookupHosts is the maximum number of hosts in the answer to a lookup.
const MaxLookupHosts = 4

// Pick returns the indexes of a caller's entry hosts in buf, best first, up to the capacity of buf.
func (l *Lookup) Pick(caller uint64, buf []int) []int { return rendez.Top(caller, l.Sites, buf) }

package layout

import (
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/host/config"
	"github.com/boragelane/boragelane/internal/stand/consul"
)

// Ports of the hosts and upstreams.
const (
	FrontPort    = 7001
	PeerPort     = 7002
	AdminPort    = 7003
	UpstreamPort = 8000
)

// Options holds the size and limits of a test system.
type Options struct {
	Subnet    int      // Second octet of the loopback addresses, different for systems that run at the same time.
	Regions   []string // Names of the regions.
	Domains   int      // Failure domains per region.
	Hosts     int      // Entry hosts per failure domain.
	Upstreams int      // Upstreams per service and failure domain.
	Slots     int      // Slots per upstream.
	Capacity  int      // Jobs in flight per region.
	LinkRate  int64    // Bytes per second of each link.
	LinkDelay time.Duration
	// Skip reports whether a failure domain has no upstreams of a service; nil skips none.
	Skip func(domain, service string) bool
}

// Layout holds the configuration of a test system.
type Layout struct {
	Document  spec.Document
	Upstreams []consul.Upstream
	Settings  []config.Settings
	Platform  string // Address of the platform.
}

// Services: urgent price lookups, orders that run at most once, and bulk catalog requests.
const (
	Price   = "price"
	Orders  = "orders"
	Catalog = "catalog"
)

func defaultRanks() []spec.Rank {
	return []spec.Rank{
		{Name: "urgent", Minimum: 0, Queue: 2000, Retry: 0.2},
		{Name: "normal", Minimum: 0.2, Queue: 1000, Retry: 0.1},
		{Name: "bulk", Minimum: 0.1, Queue: 500, Retry: 0.05},
	}
}

func defaultServices(slots int) []spec.Service {
	timeout := spec.Duration(2 * time.Second)
	return []spec.Service{
		{Name: Price, Rank: "urgent", Timeout: timeout, Slots: slots, Conns: 400},
		{Name: Orders, Rank: "normal", Timeout: timeout, Once: true, Slots: slots, Conns: 400},
		{Name: Catalog, Rank: "bulk", Timeout: spec.Duration(4 * time.Second), Slots: slots, Conns: 400},
	}
}

// Build returns a test system of the given size.
func Build(o Options) Layout {
	layout := Layout{Platform: fmt.Sprintf("127.%d.0.1:8500", o.Subnet)}
	layout.Document = spec.Document{Floor: 0.5, Ranks: defaultRanks(), Services: defaultServices(o.Slots)}
	host, upstream := 0, 0
	for _, region := range o.Regions {
		regionSpec := spec.Region{Name: region, Capacity: o.Capacity}
		for i := range o.Domains {
			domain := spec.Domain{Name: fmt.Sprintf("%s-%c", region, 'a'+i)}
			for range o.Hosts {
				host++
				domain.Seats = append(domain.Seats, newSeat(o.Subnet, host, domain.Name, len(domain.Seats)+1))
			}
			regionSpec.Domains = append(regionSpec.Domains, domain)
			layout.Upstreams = append(layout.Upstreams, newUpstreams(o, domain.Name, &upstream)...)
		}
		layout.Document.Regions = append(layout.Document.Regions, regionSpec)
	}
	layout.addLinks(o)
	layout.addSettings()
	return layout
}

func newSeat(network, host int, domain string, index int) spec.Seat {
	ip := fmt.Sprintf("127.%d.1.%d", network, host)
	return spec.Seat{
		Name: fmt.Sprintf("%s-%d", domain, index), Front: fmt.Sprintf("%s:%d", ip, FrontPort), Peer: fmt.Sprintf("%s:%d", ip, PeerPort),
	}
}

// newUpstreams returns the upstreams of a failure domain; count numbers the upstreams of all domains.
func newUpstreams(o Options, domain string, count *int) []consul.Upstream {
	var list []consul.Upstream
	for _, service := range []string{Price, Orders, Catalog} {
		if o.Skip != nil && o.Skip(domain, service) {
			continue
		}
		for i := range o.Upstreams {
			*count++
			list = append(list, consul.Upstream{
				ID: fmt.Sprintf("%s-%s-%d", service, domain, i+1), Address: fmt.Sprintf("127.%d.2.%d", o.Subnet, *count),
				Port: UpstreamPort, Service: service, Domain: domain,
			})
		}
	}
	return list
}

// addLinks adds a link in each direction between every two regions.
func (l *Layout) addLinks(o Options) {
	for _, from := range o.Regions {
		for _, to := range o.Regions {
			if from != to {
				l.Document.Links = append(l.Document.Links, spec.Link{From: from, To: to, Rate: o.LinkRate, Delay: spec.Duration(o.LinkDelay)})
			}
		}
	}
}

// addSettings adds the settings of every host, with the hosts of its failure domain as seeds.
func (l *Layout) addSettings() {
	for _, region := range l.Document.Regions {
		for _, domain := range region.Domains {
			var seeds []string
			for _, seat := range domain.Seats {
				seeds = append(seeds, seat.Peer)
			}
			for _, seat := range domain.Seats {
				settings := config.Default()
				settings.Seat, settings.Domain, settings.Region = seat.Name, domain.Name, region.Name
				settings.Front, settings.Peer = seat.Front, seat.Peer
				settings.Admin = fmt.Sprintf("%s:%d", seat.Front[:len(seat.Front)-5], AdminPort)
				settings.Platform, settings.Seeds = "http://"+l.Platform, seeds
				l.Settings = append(l.Settings, settings)
			}
		}
	}
}

// InitialChange returns the change that sets the whole document on an empty platform.
func (l *Layout) InitialChange() spec.Change {
	doc := l.Document
	return spec.Change{Ranks: doc.Ranks, Services: doc.Services, Regions: doc.Regions, Links: doc.Links, Floor: &doc.Floor}
}

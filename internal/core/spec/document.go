package spec

import (
	"encoding/json"
	"slices"
	"time"
)

// Duration is a time.Duration that is encoded as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration in the notation of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string that time.ParseDuration accepts; anything else is ErrFormat.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return ErrFormat.Wrap(err, "a duration is text such as \"1.5s\", got %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return ErrFormat.Wrap(err, "a duration is text such as \"1.5s\", got %q", s)
	}
	*d = Duration(v)
	return nil
}

// Document is one revision of the operators' configuration.
type Document struct {
	Revision uint64    `json:"revision"`
	Writes   []string  `json:"writes,omitempty"` // IDs of the latest writes, up to MaxWriteIDs.
	Floor    float64   `json:"floor"`            // Fraction of each limit that is assigned as floors.
	Ranks    []Rank    `json:"ranks"`
	Services []Service `json:"services"`
	Regions  []Region  `json:"regions"`
	Links    []Link    `json:"links"`
	Drains   []Drain   `json:"drains,omitempty"`
	Shifts   []Shift   `json:"shifts,omitempty"`
	Recent   []Entry   `json:"-"` // The latest changes, which are stored and sent instead of the whole document.
}

// Rank is a priority class; the document lists ranks from the most to the least urgent.
type Rank struct {
	Name    string  `json:"name"`
	Minimum float64 `json:"minimum"` // Guaranteed fraction of slots and of link rates.
	Queue   int     `json:"queue"`   // Maximum number of queued jobs of one service on a host.
	Retry   float64 `json:"retry"`   // Retries allowed per first try.
}

// Service is a set of interchangeable upstreams, which all accept the same requests.
type Service struct {
	Name    string   `json:"name"`
	Rank    string   `json:"rank"`
	Timeout Duration `json:"timeout"`
	Once    bool     `json:"once,omitempty"`
	Slots   int      `json:"slots"` // Jobs that an upstream runs at the same time.
	Conns   int      `json:"conns"` // Connections that an upstream accepts from all hosts together.
}

// Region is a group of failure domains that share one capacity, in jobs in flight.
type Region struct {
	Name     string   `json:"name"`
	Capacity int      `json:"capacity"`
	Domains  []Domain `json:"domains"`
}

// Domain is a failure domain and the entry hosts that may run in it.
type Domain struct {
	Name  string `json:"name"`
	Seats []Seat `json:"seats"`
}

// Seat is the configured position of one entry host, with its addresses for callers and for other entry hosts.
type Seat struct {
	Name  string `json:"name"`
	Front string `json:"front"`
	Peer  string `json:"peer"`
}

// Link limits the traffic from one region to another, in bytes a second, and gives its one-way delay.
type Link struct {
	From  string   `json:"from"`
	To    string   `json:"to"`
	Rate  int64    `json:"rate"`
	Delay Duration `json:"delay"`
}

// Drain stops new work from going to an upstream, host, domain or region.
type Drain struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Values of Drain.Kind.
const (
	DrainUpstream = "upstream"
	DrainHost     = "host"
	DrainDomain   = "domain"
	DrainRegion   = "region"
)

// Shift moves a fraction of a service's traffic from one region to another, with a cap in jobs a second.
type Shift struct {
	Name    string    `json:"name"`
	Service string    `json:"service"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Part    float64   `json:"part"`
	Cap     float64   `json:"cap"`
	Ramp    Duration  `json:"ramp"`
	Start   time.Time `json:"start"`
}

// Clone returns a deep copy of the document.
func (d Document) Clone() Document {
	c := d
	c.Writes = slices.Clone(d.Writes)
	c.Recent = slices.Clone(d.Recent)
	c.Ranks = slices.Clone(d.Ranks)
	c.Services = slices.Clone(d.Services)
	c.Regions = slices.Clone(d.Regions)
	for i, r := range c.Regions {
		c.Regions[i].Domains = slices.Clone(r.Domains)
		for j, dom := range r.Domains {
			c.Regions[i].Domains[j].Seats = slices.Clone(dom.Seats)
		}
	}
	c.Links = slices.Clone(d.Links)
	c.Drains = slices.Clone(d.Drains)
	c.Shifts = slices.Clone(d.Shifts)
	return c
}

// FindDomain returns the failure domain of the given name and its region.
func (d Document) FindDomain(domain string) (Region, Domain, bool) {
	for _, r := range d.Regions {
		for _, dom := range r.Domains {
			if dom.Name == domain {
				return r, dom, true
			}
		}
	}
	return Region{}, Domain{}, false
}

// FindSeat returns the seat of the given name with its region and failure domain.
func (d Document) FindSeat(seat string) (Region, Domain, Seat, bool) {
	for _, r := range d.Regions {
		for _, dom := range r.Domains {
			for _, s := range dom.Seats {
				if s.Name == seat {
					return r, dom, s, true
				}
			}
		}
	}
	return Region{}, Domain{}, Seat{}, false
}

// Service returns the service of the given name.
func (d Document) Service(name string) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// RankIndex returns the index of the rank of the given name, or -1.
func (d Document) RankIndex(name string) int {
	return slices.IndexFunc(d.Ranks, func(r Rank) bool { return r.Name == name })
}

// Drained reports whether the document has a drain of the given kind and name.
func (d Document) Drained(kind, name string) bool {
	return slices.Contains(d.Drains, Drain{Kind: kind, Name: name})
}

package spec

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// Upper bounds of values in a document.
const (
	MaxSlots    = 100_000        // Per upstream.
	MaxConns    = 1_000_000      // Per upstream.
	MaxQueue    = 1_000_000      // Jobs of one rank and service on a host.
	MaxCapacity = 100_000_000    // Jobs in flight in a region.
	MaxRate     = int64(1) << 50 // Bytes a second.
	MaxTimeout  = Duration(10 * time.Minute)
	MaxBytes    = 1 << 20 // Size of the encoded document, or of the changes stored with it.
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.:-]{0,62}$`)

// validator collects the rules that a document violates.
type validator struct {
	violations []string
}

// require records a violation unless ok is true.
func (v *validator) require(ok bool, path string, value any, allowed string) {
	if !ok {
		v.violations = append(v.violations, fmt.Sprintf("%s: %v is not allowed; allowed: %s", path, value, allowed))
	}
}

// name requires a valid name that is not in seen, and adds it.
func (v *validator) name(path, name string, seen map[string]bool) {
	v.require(namePattern.MatchString(name), path, fmt.Sprintf("%q", name), "1 to 63 of a-z, 0-9, '.', ':' and '-'")
	v.require(!seen[name], path, fmt.Sprintf("%q", name), "a name that is not used twice")
	seen[name] = true
}

// address requires an IP address with a port.
func (v *validator) address(path, addr string) {
	_, err := netip.ParseAddrPort(addr)
	v.require(err == nil, path, fmt.Sprintf("%q", addr), "an IP number and a port, such as 127.0.0.1:8080")
}

// Validate validates the document; the ErrInvalid that it returns lists every violation, one a line.
func (d Document) Validate() error {
	v := &validator{}
	v.require(d.Floor >= 0 && d.Floor <= 1, "floor", d.Floor, "0 to 1")
	d.validateRanks(v)
	d.validateServices(v)
	regions := d.validateRegions(v)
	d.validateLinks(v, regions)
	d.validateDrains(v)
	d.validateShifts(v, regions)
	if len(v.violations) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(v.violations, "\n"))
}

func (d Document) validateRanks(v *validator) {
	v.require(len(d.Ranks) > 0, "ranks", "an empty list", "one rank or more")
	seen, sum := map[string]bool{}, 0.0
	for i, r := range d.Ranks {
		p := fmt.Sprintf("ranks[%d]", i)
		v.name(p+".name", r.Name, seen)
		v.require(r.Minimum >= 0 && r.Minimum < 1, p+".minimum", r.Minimum, "0 to less than 1")
		v.require(r.Queue >= 1 && r.Queue <= MaxQueue, p+".queue", r.Queue, fmt.Sprintf("1 to %d", MaxQueue))
		v.require(r.Retry >= 0 && r.Retry <= 1, p+".retry", r.Retry, "0 to 1")
		sum += r.Minimum
	}
	v.require(sum <= 0.9, "ranks", fmt.Sprintf("a sum of minimums of %g", sum), "a sum of at most 0.9")
}

func (d Document) validateServices(v *validator) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		p := fmt.Sprintf("services[%d]", i)
		v.name(p+".name", s.Name, seen)
		v.require(d.RankIndex(s.Rank) >= 0, p+".rank", fmt.Sprintf("%q", s.Rank), "the name of a rank")
		v.require(s.Timeout > 0 && s.Timeout <= MaxTimeout, p+".timeout", time.Duration(s.Timeout), "more than 0s, up to 10m")
		v.require(s.Slots >= 1 && s.Slots <= MaxSlots, p+".slots", s.Slots, fmt.Sprintf("1 to %d", MaxSlots))
		v.require(s.Conns >= s.Slots && s.Conns <= MaxConns, p+".conns", s.Conns, fmt.Sprintf("slots to %d", MaxConns))
	}
}

// validateRegions returns the set of region names for the checks that refer to them.
func (d Document) validateRegions(v *validator) map[string]bool {
	regions, domains, seats := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i, r := range d.Regions {
		p := fmt.Sprintf("regions[%d]", i)
		v.name(p+".name", r.Name, regions)
		v.require(r.Capacity >= 1 && r.Capacity <= MaxCapacity, p+".capacity", r.Capacity, fmt.Sprintf("1 to %d", MaxCapacity))
		for j, dom := range r.Domains {
			dp := fmt.Sprintf("%s.domains[%d]", p, j)
			v.name(dp+".name", dom.Name, domains)
			for k, s := range dom.Seats {
				sp := fmt.Sprintf("%s.seats[%d]", dp, k)
				v.name(sp+".name", s.Name, seats)
				v.address(sp+".front", s.Front)
				v.address(sp+".peer", s.Peer)
			}
		}
	}
	return regions
}

func (d Document) validateLinks(v *validator, regions map[string]bool) {
	seen := map[string]bool{}
	for i, l := range d.Links {
		p := fmt.Sprintf("links[%d]", i)
		v.require(regions[l.From], p+".from", fmt.Sprintf("%q", l.From), "the name of a region")
		v.require(regions[l.To] && l.To != l.From, p+".to", fmt.Sprintf("%q", l.To), "the name of another region")
		v.require(!seen[l.From+">"+l.To], p, l.From+">"+l.To, "one link from a region to another")
		v.require(l.Rate >= 1 && l.Rate <= MaxRate, p+".rate", l.Rate, fmt.Sprintf("1 to %d bytes a second", MaxRate))
		v.require(l.Delay >= 0 && l.Delay <= Duration(time.Minute), p+".delay", time.Duration(l.Delay), "0s to 1m")
		seen[l.From+">"+l.To] = true
	}
}

func (d Document) validateDrains(v *validator) {
	seen := map[Drain]bool{}
	for i, dr := range d.Drains {
		p := fmt.Sprintf("drains[%d]", i)
		validKind := dr.Kind == DrainUpstream || dr.Kind == DrainHost || dr.Kind == DrainDomain || dr.Kind == DrainRegion
		v.require(validKind, p+".kind", fmt.Sprintf("%q", dr.Kind), "upstream, host, domain or region")
		v.require(namePattern.MatchString(dr.Name), p+".name", fmt.Sprintf("%q", dr.Name), "a name")
		v.require(!seen[dr], p, fmt.Sprintf("%s %q", dr.Kind, dr.Name), "one drain of the same thing")
		seen[dr] = true
	}
}

func (d Document) validateShifts(v *validator, regions map[string]bool) {
	seen := map[string]bool{}
	for i, s := range d.Shifts {
		p := fmt.Sprintf("shifts[%d]", i)
		v.name(p+".name", s.Name, seen)
		_, ok := d.Service(s.Service)
		v.require(ok, p+".service", fmt.Sprintf("%q", s.Service), "the name of a service")
		v.require(regions[s.From], p+".from", fmt.Sprintf("%q", s.From), "the name of a region")
		v.require(regions[s.To] && s.To != s.From, p+".to", fmt.Sprintf("%q", s.To), "the name of another region")
		v.require(s.Part > 0 && s.Part <= 1, p+".part", s.Part, "more than 0, up to 1")
		v.require(s.Cap > 0, p+".cap", s.Cap, "more than 0 jobs a second")
		v.require(s.Ramp >= 0 && s.Ramp <= Duration(24*time.Hour), p+".ramp", time.Duration(s.Ramp), "0s to 24h")
	}
}

package quota

import (
	"maps"
	"math"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/share"
)

const (
	// partTTL is how long the part of a failure domain without hosts stays reserved for it. A domain that is cut off looks the
	// same as one that died, and uses its part meanwhile; partitions last up to 12 s.
	partTTL = 20 * time.Second
	// holdingTTL is how long the owner counts the reserve of a pool: until its lease has ended by any clock.
	holdingTTL = leaseTTL + share.ClockDriftMargin
	// roundingError is added to the tokens so that a whole one is not missed for the rounding of its parts.
	roundingError = 1e-6
	// sweepInterval is the time between two searches for idle buckets.
	sweepInterval = time.Second
)

// Ledger is the owner's state: a token bucket for each active workspace. It answers pools whose demand moves within two seconds and
// workspaces above their limit (tokens are divided in proportion to what the pools want). The limit accrues in parts, one for each
// failure domain, for the time between two reports of the domain to this ledger; so it accrues once, whichever hosts reach each other.
type Ledger struct {
	Terms Terms // Only the settings and the workspaces are used.

	parts    map[string]time.Time // When a failure domain was last known to have hosts.
	reported map[string]time.Time // When a failure domain last reported.
	accrued  float64              // Seconds of the whole limit.
	buckets  map[string]*bucket
	sweptAt  time.Time
}

// bucket holds the tokens of one workspace that are not on lease.
type bucket struct {
	tokens  float64
	accrued float64 // Ledger.accrued up to which the tokens were added.
	pools   map[[2]string]holding
}

// holding is what a pool holds and wants, by its last request.
type holding struct {
	tokens int // As the pool reported; negative for debt.
	given  int // Granted since.
	want   int
	at     time.Time
}

// NewLedger returns an empty ledger. Its buckets start empty, because another owner may have granted what they held.
func NewLedger() *Ledger {
	return &Ledger{parts: map[string]time.Time{}, reported: map[string]time.Time{}, buckets: map[string]*bucket{}}
}

// KeepPart notes that a failure domain has hosts.
func (l *Ledger) KeepPart(now time.Time, domain string) { l.parts[domain] = now }

// Active reports whether this host is the owner: some failure domain has reported within contactTTL.
func (l *Ledger) Active(now time.Time) bool { return l.contact(now) > 0 }

// contact returns the share of the failure domains that have reported within contactTTL.
func (l *Ledger) contact(now time.Time) float64 {
	n := 0
	for _, at := range l.reported {
		if now.Sub(at) <= contactTTL {
			n++
		}
	}
	return float64(n) / float64(l.partCount(now))
}

// partCount returns the number of parts of the limit.
func (l *Ledger) partCount(now time.Time) int {
	maps.DeleteFunc(l.parts, func(_ string, at time.Time) bool { return now.Sub(at) > partTTL })
	return max(1, len(l.parts))
}

// Draw answers the request of a pool or a failure domain.
func (l *Ledger) Draw(now time.Time, req *Request) Reply {
	if !l.Active(now) && len(l.reported) > 0 {
		clear(l.buckets) // Another owner may have granted the tokens in the meantime.
		clear(l.reported)
		l.accrued = 0
	}
	if req.Part != "" {
		l.report(now, req.Part, req.Fresh)
	}
	if now.Sub(l.sweptAt) > sweepInterval {
		l.sweep(now)
	}
	reply := Reply{Workspaces: make(map[string]Grant, len(req.Workspaces))}
	contact := l.contact(now)
	for name, want := range req.Workspaces {
		ws := l.Terms.limit(name)
		if ws == nil {
			reply.Workspaces[name] = Grant{Give: want.Want} // No limit in this policy, which may be newer.
			continue
		}
		reply.Workspaces[name] = l.draw(now, ws, l.bucket(name), [2]string{req.Pool, req.Service}, want, contact)
	}
	return reply
}

// report adds a failure domain's part of the limit for the time since its last report, unless the domain may have reported to another
// owner since.
func (l *Ledger) report(now time.Time, domain string, fresh bool) {
	l.parts[domain] = now
	if last, ok := l.reported[domain]; ok && !fresh && now.Sub(last) <= contactTTL {
		l.accrued += now.Sub(last).Seconds() / float64(l.partCount(now))
	}
	l.reported[domain] = now
}

// bucket returns the bucket of a workspace, and creates it if necessary.
func (l *Ledger) bucket(workspace string) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{pools: map[[2]string]holding{}}
		l.buckets[workspace] = b
	}
	return b
}

func (l *Ledger) draw(now time.Time, ws *policy.Workspace, b *bucket, pool [2]string, w Want, contact float64) Grant {
	b.pools[pool] = holding{tokens: w.Have - w.Debt, want: w.Want, at: now}
	b.tokens += float64(max(0, w.Back))
	l.accrue(now, b, ws, contact)
	if w.Want <= 0 {
		return Grant{}
	}
	expected := float64(w.Want) + l.expected(now, b, pool)
	give := w.Want
	if available := b.tokens + roundingError; expected > available {
		share := available * float64(w.Want) / expected
		give = min(give, int(available), max(1, int(share)))
	}
	if give > 0 {
		b.tokens = max(0, b.tokens-float64(give))
		b.pools[pool] = holding{tokens: w.Have - w.Debt, given: give, want: w.Want, at: now}
		return Grant{Give: give}
	}
	return Grant{Wait: l.wait(ws, expected-b.tokens, contact)}
}

// expected returns the tokens that the other pools will want before this one does again, weighted by how soon: of two pools that want the same, the
// one that asks first gets no more.
func (l *Ledger) expected(now time.Time, b *bucket, pool [2]string) float64 {
	sum := 0.0
	for name, h := range b.pools {
		if age := now.Sub(h.at); name != pool && age <= contactTTL {
			sum += float64(h.want) * min(1, float64(age)/float64(DrawInterval))
		}
	}
	return sum
}

// accrue adds the tokens since the last call, as far as the tokens in existence don't exceed the bound.
func (l *Ledger) accrue(now time.Time, b *bucket, ws *policy.Workspace, contact float64) {
	b.tokens += ws.Rate * (l.accrued - b.accrued)
	b.accrued = l.accrued
	b.tokens = max(0, min(b.tokens, l.bound(ws, contact)-b.held(now)))
}

// bound returns the number of tokens that may exist in buckets, reserves and queues, less the debts of pools.
func (l *Ledger) bound(ws *policy.Workspace, contact float64) float64 {
	return max(1, contact*(ws.Burst+circulationShare*l.Terms.Tolerance(ws)))
}

// held returns the tokens that the pools are expected to hold: what was granted is used up within an interval. If all of it counted until the
// next report, a workspace with a small burst would get less than its rate.
func (b *bucket) held(now time.Time) float64 {
	sum := 0.0
	for _, h := range b.pools {
		if age := now.Sub(h.at); age <= holdingTTL {
			sum += float64(h.tokens) + float64(h.given)*max(0, 1-float64(age)/float64(DrawInterval))
		}
	}
	return sum
}

// wait returns when a number of tokens will have accrued.
func (l *Ledger) wait(ws *policy.Workspace, tokens, contact float64) time.Duration {
	if contact <= 0 {
		return l.Terms.Window
	}
	seconds := max(1, tokens) / (ws.Rate * contact)
	return time.Duration(math.Min(seconds, l.Terms.Window.Seconds()) * float64(time.Second))
}

// sweep drops the pools that are out of contact and the buckets that are full: an unknown bucket accrues from the start of the ledger,
// so that it is full as well.
func (l *Ledger) sweep(now time.Time) {
	l.sweptAt = now
	contact := l.contact(now)
	for name, b := range l.buckets {
		maps.DeleteFunc(b.pools, func(_ [2]string, h holding) bool { return now.Sub(h.at) > contactTTL })
		ws := l.Terms.limit(name)
		if ws == nil {
			delete(l.buckets, name)
			continue
		}
		l.accrue(now, b, ws, contact)
		full := b.tokens >= l.bound(ws, contact) && ws.Rate*l.accrued >= b.tokens
		if len(b.pools) == 0 && full {
			delete(l.buckets, name)
		}
	}
}

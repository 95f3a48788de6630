package loadg

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// cachedLookup is a lookup answer with its expiry time.
type cachedLookup struct {
	hosts []string
	until time.Time
}

// issueTicket requests an idempotency ticket, and returns "" if the request fails.
func (g *Generator) issueTicket(ctx context.Context, host string) string {
	var out struct{ Ticket string }
	if g.getJSON(ctx, http.MethodPost, "http://"+host+"/v1/ticket", &out) != nil {
		return ""
	}
	return out.Ticket
}

func (g *Generator) getJSON(ctx context.Context, method, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// avoidPeriod is how long callers avoid a host after a failure.
const avoidPeriod = 2 * time.Second

func (g *Generator) markFailed(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failedAt[host] = g.clock()
}

// recordLostConnection counts an attempt whose connection failed.
func (g *Generator) recordLostConnection(host string) {
	g.markFailed(host)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lostByHost[host]++
}

func (g *Generator) recentlyFailed(host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock().Sub(g.failedAt[host]) < avoidPeriod
}

// pickHost returns the host for an attempt, and prefers those without a recent failure.
func (g *Generator) pickHost(ctx context.Context, caller string, attempt int) string {
	hosts := g.lookupHosts(ctx, caller)
	for i := range hosts {
		if host := hosts[(attempt+i)%len(hosts)]; !g.recentlyFailed(host) {
			return host
		}
	}
	return hosts[attempt%len(hosts)]
}

// lookupHosts returns the caller's hosts from the cache or a new lookup. If that fails, it returns the expired answer
// or all front addresses.
func (g *Generator) lookupHosts(ctx context.Context, caller string) []string {
	g.mu.Lock()
	entry, ok := g.lookups[caller]
	g.mu.Unlock()
	if ok && g.clock().Before(entry.until) {
		return entry.hosts
	}
	var out struct {
		Hosts []struct{ Address string }
		Life  int64
	}
	start := int(g.clock().UnixNano()) + len(caller)
	for i := range g.cfg.Fronts {
		host := g.cfg.Fronts[(start/1000+i)%len(g.cfg.Fronts)]
		if g.recentlyFailed(host) {
			continue
		}
		if g.getJSON(ctx, http.MethodGet, "http://"+host+"/v1/lookup?caller="+caller, &out) == nil && len(out.Hosts) > 0 {
			break
		}
		g.markFailed(host)
	}
	if len(out.Hosts) == 0 {
		if ok {
			return entry.hosts
		}
		return g.cfg.Fronts
	}
	entry = cachedLookup{until: g.clock().Add(time.Duration(out.Life) * time.Millisecond)}
	for _, host := range out.Hosts {
		entry.hosts = append(entry.hosts, host.Address)
	}
	g.mu.Lock()
	g.lookups[caller] = entry
	g.mu.Unlock()
	return entry.hosts
}

package consul

import (
	"net/http"
	"regexp"
	"strconv"
	"time"
)

// Upstream is an entry of the list of upstreams.
type Upstream struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Port    int    `json:"port"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// listVersion is a list of upstreams and the time from which readers see it.
type listVersion struct {
	visibleFrom time.Time
	list        []Upstream
}

// SetUpstreams replaces the list of upstreams; readers see the new list after the lag.
func (p *Platform) SetUpstreams(list []Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersions = append(p.listVersions, listVersion{visibleFrom: p.clock().Add(p.faults.ListLag), list: list})
	p.advanceIndex()
}

var domainFilter = regexp.MustCompile(`^ServiceMeta\.domain == "([^"]*)"$`)

// visibleVersion returns the newest list that readers see.
func (p *Platform) visibleVersion() listVersion {
	now := p.clock()
	newest := p.listVersions[0]
	for _, version := range p.listVersions {
		if !version.visibleFrom.After(now) {
			newest = version
		}
	}
	return newest
}

// serveUpstreams lists the upstreams of one failure domain and supports blocking queries.
func (p *Platform) serveUpstreams(w http.ResponseWriter, r *http.Request) {
	match := domainFilter.FindStringSubmatch(r.URL.Query().Get("filter"))
	if match == nil {
		http.Error(w, "this stand-in supports only a filter by ServiceMeta.domain", http.StatusBadRequest)
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if !p.waitForChange(r, func() bool { return p.listIndex() != after }) {
		closeConnection(w)
		return
	}
	p.mu.Lock()
	version, index := p.visibleVersion(), p.listIndex()
	p.mu.Unlock()
	out := []map[string]any{}
	for _, u := range version.list {
		if u.Domain == match[1] {
			out = append(out, map[string]any{
				"ServiceID": u.ID, "ServiceAddress": u.Address, "ServicePort": u.Port,
				"ServiceMeta": map[string]string{"service": u.Service, "domain": u.Domain, "state": u.State},
			})
		}
	}
	w.Header().Set("X-Consul-Index", strconv.FormatInt(index, 10))
	writeJSON(w, out)
}

// listIndex returns the number of list versions that readers have seen so far, at least 1.
func (p *Platform) listIndex() int64 {
	now := p.clock()
	n := int64(0)
	for _, version := range p.listVersions {
		if !version.visibleFrom.After(now) {
			n++
		}
	}
	return n
}

package meter

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// Placer reserves and releases slots of upstreams.
type Placer interface {
	Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal)
	Release(now time.Time, g *place.Grant, r place.Result)
}

// Observer is told of decisions, for logs.
type Observer interface {
	// QuotaRefused is called at most once a second for each workspace.
	QuotaRefused(r *Refused)
	// QuotaContact is called when a service's wallet begins or ceases to use its own share, because it reaches no owner.
	QuotaContact(service string, lost bool)
}

// Refused describes a job above the quota.
type Refused struct {
	Workspace  string
	Service    string
	Host       string // The host that received the job.
	Isolated   bool   // That host, which is this one, reaches no placing host.
	State      quota.State
	RetryAfter time.Duration
	Count      int // Jobs of the workspace that were refused since the last call, with this one.
}

// Meter lets a job pass to the next placer if its workspace has a token for it, and returns the token if the job doesn't run. It answers
// workspaces that send more than their limit, whichever hosts they send it to.
type Meter struct {
	Next     Placer
	Observer Observer

	mu        sync.Mutex
	terms     quota.Terms
	view      *roster.View
	wallets   map[string]*quota.Wallet // By service.
	lost      map[string]bool          // Services whose wallet has been reported as out of contact.
	allowance quota.Allowance
	refusals  map[string]*refusals // By workspace.
	ranking   ranking
	urgent    chan struct{}
}

// refusals counts the refused jobs that have not been reported.
type refusals struct {
	reportedAt time.Time
	count      int
}

// reportInterval is the time between two reports of refused jobs of one workspace.
const reportInterval = time.Second

// New returns a meter without wallets.
func New(next Placer, observer Observer) *Meter {
	return &Meter{
		Next: next, Observer: observer, view: &roster.View{}, wallets: map[string]*quota.Wallet{}, lost: map[string]bool{},
		refusals: map[string]*refusals{}, ranking: ranking{}, urgent: make(chan struct{}, 1),
	}
}

// SetSettings changes the tolerance of quotas.
func (m *Meter) SetSettings(s quota.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.terms.Settings = s
	m.applyTerms()
}

// Update applies the limits and the size of the fleet in a new view.
func (m *Meter) Update(_ time.Time, v *roster.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.view
	m.view = v
	if v.Policy == nil || len(v.Policy.Workspaces) == 0 && len(m.terms.Workspaces) == 0 {
		return
	}
	if v.Policy == old.Policy && sameHosts(v.Hosts, old.Hosts) && maps.Equal(v.DomainPools, old.DomainPools) {
		return // Upstreams change much more often.
	}
	t := fleetTerms(v)
	t.Settings = m.terms.Settings
	m.terms = t
	m.applyTerms()
}

// sameHosts reports whether two views share the hosts.
func sameHosts(a, b []roster.Host) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// fleetTerms returns the limits and the size of the fleet in a view.
func fleetTerms(v *roster.View) quota.Terms {
	pools, domains := map[[2]string]bool{}, map[string]bool{}
	for i := range v.Hosts {
		h := &v.Hosts[i]
		domains[h.Domain] = true
		for service := range v.Policy.Services {
			pools[[2]string{service, roster.PoolName(v.DomainPools[service], h.Region, h.Domain)}] = true
		}
	}
	return quota.Terms{
		Version: v.Policy.Version, Workspaces: v.Policy.Workspaces,
		Pools: len(pools), Domains: len(domains), Services: len(v.Policy.Services), Hosts: len(v.Hosts),
	}
}

func (m *Meter) applyTerms() {
	m.allowance.Terms = m.terms
	for service, w := range m.wallets {
		w.Pool = m.view.OwnPool(service)
		w.SetTerms(&m.terms)
	}
}

// limited reports whether a job counts against a quota.
func (m *Meter) limited(req *place.Request) bool {
	if req.Workspace == "" || req.Counted {
		return false
	}
	ws, ok := m.terms.Workspaces[req.Workspace]
	return ok && quota.Limited(&ws)
}

// wallet returns the wallet of a service, and creates it if necessary.
func (m *Meter) wallet(service string) *quota.Wallet {
	w := m.wallets[service]
	if w == nil {
		w = quota.NewWallet(m.view.OwnPool(service), service, &m.terms, rand.Float64)
		m.wallets[service] = w
	}
	return w
}

// Acquire reserves a slot for a job whose workspace is within its quota, and refuses others. A job that gets no slot costs no token.
func (m *Meter) Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal) {
	charged, refused := m.spend(now, &req)
	if refused != nil {
		if refused.Count > 0 {
			m.Observer.QuotaRefused(refused)
		}
		return nil, place.Refusal{OverQuota: true, RetryAfter: refused.RetryAfter}
	}
	if !charged {
		return m.Next.Acquire(ctx, now, req)
	}
	var g *place.Grant
	defer func() { m.settle(&req, g) }() // Also when the scheduler panics, which ends only this job.
	g, refusal := m.Next.Acquire(ctx, now, req)
	return g, refusal
}

// spend spends a token on a job; refused tells why it could not, or is nil.
func (m *Meter) spend(now time.Time, req *place.Request) (charged bool, refused *Refused) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.limited(req) {
		return false, nil
	}
	var ok bool
	var after time.Duration
	var state quota.State
	if req.Isolated {
		ok, after = m.allowance.Spend(now, req.Workspace)
		m.ranking.count(req.Workspace, ok)
	} else {
		w := m.wallet(req.Service)
		ok, after = w.Spend(now, req.Workspace)
		state = w.State(now, req.Workspace)
		if w.Urgent() {
			m.signalUrgent()
		}
	}
	if ok {
		return true, nil
	}
	return false, &Refused{
		Workspace: req.Workspace, Service: req.Service, Host: req.Host.Name, Isolated: req.Isolated, State: state, RetryAfter: after,
		Count: m.countRefusal(now, req.Workspace),
	}
}

// countRefusal returns the number of refused jobs to report now, or 0.
func (m *Meter) countRefusal(now time.Time, workspace string) int {
	r := m.refusals[workspace]
	if r == nil {
		r = &refusals{}
		m.refusals[workspace] = r
	}
	r.count++
	if now.Sub(r.reportedAt) < reportInterval {
		return 0
	}
	n := r.count
	r.reportedAt, r.count = now, 0
	return n
}

func (m *Meter) signalUrgent() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// settle records that a job left the queue with a grant, or without one, so that its token is returned.
func (m *Meter) settle(req *place.Request, g *place.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if req.Isolated {
		if g == nil {
			m.allowance.Refund(req.Workspace)
		}
		return
	}
	w := m.wallet(req.Service)
	w.Started(req.Workspace)
	if g == nil {
		w.Refund(req.Workspace)
		return
	}
	g.Charged = req.Workspace
}

// Release returns a slot, and the token if the job has not run.
func (m *Meter) Release(now time.Time, g *place.Grant, r place.Result) {
	if g.Charged != "" && r.NotRun {
		m.mu.Lock()
		m.wallet(g.Upstream.Service).Refund(g.Charged)
		m.mu.Unlock()
	}
	m.Next.Release(now, g, r)
}

// QuotaUrgent returns a channel that is signaled when a wallet runs out of tokens.
func (m *Meter) QuotaUrgent() <-chan struct{} { return m.urgent }

// QuotaRequests returns a request for each wallet that has something to say.
func (m *Meter) QuotaRequests(now time.Time) []quota.Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	var requests []quota.Request
	for service, w := range m.wallets {
		if req, ok := w.Request(now); ok {
			requests = append(requests, req)
		}
		m.checkContact(now, service, w)
	}
	return requests
}

// ApplyQuota applies the reply to the last request of a wallet.
func (m *Meter) ApplyQuota(now time.Time, service string, reply quota.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.wallet(service)
	w.Apply(now, reply)
	m.checkContact(now, service, w)
}

// checkContact reports when a wallet has lost or regained contact with the owner.
func (m *Meter) checkContact(now time.Time, service string, w *quota.Wallet) {
	if lost := w.OutOfContact(now); lost != m.lost[service] {
		m.lost[service] = lost
		m.Observer.QuotaContact(service, lost)
	}
}

package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/core/share"
	"github.com/boragelane/boragelane/internal/ctrl/state"
)

// Prefixes of the lease keys in the platform's key-value store; the name of the failure domain follows them.
const (
	// leaseKeyPrefix is the prefix of the key that names the holder of a failure domain's lease.
	leaseKeyPrefix = "boragelane/lead/"
	// reclaimKeyPrefix is the prefix of the key that a host of the failure domain locks when it is refused the
	// domain's lease, so that hosts of other domains neither acquire nor renew it.
	reclaimKeyPrefix = "boragelane/want/"
)

// leaseCallTimeout is the timeout of all calls to the platform for one lease request or release.
const leaseCallTimeout = 2 * time.Second

// leaseManager acquires, renews and releases this host's leases. Each lease has its own session, which is not reused
// after the lease is released, so that a delayed call for it cannot end a newer lease.
type leaseManager struct {
	mu       sync.Mutex
	sessions map[string]*leaseSession
}

// leaseSession is a session on the platform for one failure domain's lease.
type leaseSession struct {
	id         string
	ttl        time.Duration
	held       bool
	reclaiming bool // The reclaim key of this host's own domain is locked.
}

// request opens or renews the session for a failure domain's lease and acquires the lease with it.
func (m *leaseManager) request(ctx context.Context, h *Host, action state.RequestLease) state.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	requestedAt := h.Clock()
	own := action.Domain == h.Self.Domain
	if !own {
		// The failure domain's own hosts take precedence.
		v, err := h.store.Get(ctx, reclaimKeyPrefix+action.Domain, 0, 0)
		if err != nil || v.Locked {
			return state.LeaseResult{Domain: action.Domain, RequestedAt: requestedAt, Err: err}
		}
	}
	s, err := m.openOrRenew(ctx, h, action)
	if err == nil && !s.held {
		err = m.acquire(ctx, h, action.Domain, s, own)
	}
	if err != nil {
		return state.LeaseResult{Domain: action.Domain, RequestedAt: requestedAt, Err: err}
	}
	return state.LeaseResult{Domain: action.Domain, RequestedAt: requestedAt, TTL: s.ttl, Held: s.held}
}

// openOrRenew renews the session for a failure domain's lease, or opens a new one if there is none or it has expired.
func (m *leaseManager) openOrRenew(ctx context.Context, h *Host, action state.RequestLease) (*leaseSession, error) {
	if s := m.sessions[action.Domain]; s != nil {
		if ok, err := h.store.RenewSession(ctx, s.id); err != nil || ok {
			return s, err
		}
	}
	id, err := h.store.CreateSession(ctx, h.Self.Seat, action.TTL)
	if err != nil {
		return nil, err
	}
	if m.sessions == nil {
		m.sessions = map[string]*leaseSession{}
	}
	s := &leaseSession{id: id, ttl: action.TTL}
	m.sessions[action.Domain] = s
	return s, nil
}

// acquire acquires the lease; if this host is refused its own failure domain's lease, it locks the reclaim key.
func (m *leaseManager) acquire(ctx context.Context, h *Host, domain string, s *leaseSession, own bool) error {
	ok, err := h.store.Acquire(ctx, leaseKeyPrefix+domain, s.id, h.Self.Seat)
	if err != nil {
		return err
	}
	s.held = ok
	switch {
	case ok && !own:
		h.Log.Info("lending the pools of a silent failure domain", zap.String("domain", domain))
	case !ok && own && !s.reclaiming:
		s.reclaiming, err = h.store.Acquire(ctx, reclaimKeyPrefix+domain, s.id, h.Self.Seat)
	}
	return err
}

// release releases a lease by ending its session.
func (m *leaseManager) release(ctx context.Context, h *Host, domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endSession(ctx, h, domain)
}

// endSession destroys the session for a failure domain's lease; m.mu must be held.
func (m *leaseManager) endSession(ctx context.Context, h *Host, domain string) {
	s := m.sessions[domain]
	if s == nil {
		return
	}
	delete(m.sessions, domain)
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	if s.held && domain != h.Self.Domain {
		h.Log.Info("giving back the pools of another failure domain", zap.String("domain", domain))
	}
	if err := h.store.DestroySession(ctx, s.id); err != nil {
		h.Log.Debug("cannot destroy a lease session, it will expire", zap.String("domain", domain), errorField(err))
	}
}

// releaseAll releases all leases after the last loan has expired, unless this host has become a relay again.
func (m *leaseManager) releaseAll(ctx context.Context, h *Host) {
	sleep(ctx, h.loanTTL()+share.ClockDriftMargin)
	if ctx.Err() != nil || h.watcher.active() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for domain := range m.sessions {
		m.endSession(ctx, h, domain)
	}
}

// loanTTL returns the maximum time to live of the loans of this failure domain.
func (h *Host) loanTTL() time.Duration {
	doc := h.loop.Plan().Doc
	if doc == nil {
		return share.DefaultLoanTTL
	}
	_, dom, _ := doc.FindDomain(h.Self.Domain)
	return state.LoanTTL(len(dom.Seats))
}

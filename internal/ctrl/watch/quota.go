package watch

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/core/quota"
)

// QuotaRequest is a host's request for tokens of workspaces, or a report of its failure domain.
type QuotaRequest struct {
	Request quota.Request
	Reply   chan quota.Reply
}

// QuotaSettingsChanged carries the tolerance of quotas, and the failure domains that the settings name.
type QuotaSettingsChanged struct {
	Settings quota.Settings
	Domains  []string
}

func (QuotaRequest) event()         {}
func (QuotaSettingsChanged) event() {}

// quotaState holds the ledger of quotas, which is in use while this host is their owner.
type quotaState struct {
	ledger *quota.Ledger
	owner  bool
}

func newQuotaState() quotaState { return quotaState{ledger: quota.NewLedger()} }

// drawQuota answers a request for tokens under the limits of the newest policy.
func (s *State) drawQuota(req *quota.Request, now time.Time) quota.Reply {
	if s.policy != nil {
		s.ledger.Terms.Workspaces = s.policy.Workspaces
	}
	return s.ledger.Draw(now, req)
}

// changeQuotaSettings applies new settings. The failure domains that they name keep their parts of the limits for a while: this host
// may just have started, and not see the hosts of a domain that is cut off from the store.
func (s *State) changeQuotaSettings(ev QuotaSettingsChanged, now time.Time) {
	s.ledger.Terms.Settings = ev.Settings
	for _, domain := range ev.Domains {
		s.ledger.KeepPart(now, domain)
	}
}

// checkQuota notes the failure domains that have hosts, and reports whether this host became or ceased to be the owner.
func (s *State) checkQuota(now time.Time) []StateChange {
	if s.policy == nil || len(s.policy.Workspaces) == 0 && !s.owner {
		return nil
	}
	for name := range s.hosts {
		s.ledger.KeepPart(now, s.hosts[name].Domain)
	}
	active := s.ledger.Active(now)
	if active == s.owner {
		return nil
	}
	s.owner = active
	if active {
		return []StateChange{{Message: "quota owner gained", Name: s.self.Name}}
	}
	return []StateChange{{Message: "quota owner lost", Name: s.self.Name}}
}

// RequestQuota submits a request for tokens and returns the reply; it returns false if the context or the loop ended first.
func (l *Loop) RequestQuota(ctx context.Context, req quota.Request) (quota.Reply, bool) {
	reply := make(chan quota.Reply, 1)
	if !l.Send(ctx, QuotaRequest{Request: req, Reply: reply}) {
		return quota.Reply{}, false
	}
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
	case <-l.Done:
	}
	return quota.Reply{}, false
}

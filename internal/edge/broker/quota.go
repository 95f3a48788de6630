package broker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/quota"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// wireQuotaRequest is the encoding of a quota.Request.
type wireQuotaRequest struct {
	Pool       string              `json:"pool"`
	Service    string              `json:"svc"`
	Part       string              `json:"part,omitempty"`
	Fresh      bool                `json:"fresh,omitempty"`
	Workspaces map[string]wireWant `json:"ws,omitempty"`
}

// wireWant is the encoding of a quota.Want; its fields match, since it is converted from and to one.
type wireWant struct {
	Have int `json:"have,omitempty"`
	Want int `json:"want,omitempty"`
	Debt int `json:"debt,omitempty"`
	Back int `json:"back,omitempty"`
}

// wireQuotaReply is the encoding of a quota.Reply.
type wireQuotaReply struct {
	Workspaces map[string]wireQuotaGrant `json:"ws,omitempty"`
}

// wireQuotaGrant is the encoding of a quota.Grant; its fields match, since it is converted from and to one.
type wireQuotaGrant struct {
	Give int           `json:"give,omitempty"`
	Wait time.Duration `json:"wait,omitempty"`
}

func newWireQuotaRequest(req *quota.Request) wireQuotaRequest {
	w := wireQuotaRequest{Pool: req.Pool, Service: req.Service, Part: req.Part, Fresh: req.Fresh, Workspaces: make(map[string]wireWant, len(req.Workspaces))}
	for name, want := range req.Workspaces {
		w.Workspaces[name] = wireWant(want)
	}
	return w
}

func (w *wireQuotaRequest) request() quota.Request {
	req := quota.Request{Pool: w.Pool, Service: w.Service, Part: w.Part, Fresh: w.Fresh, Workspaces: make(map[string]quota.Want, len(w.Workspaces))}
	for name, want := range w.Workspaces {
		req.Workspaces[name] = quota.Want(want)
	}
	return req
}

func newWireQuotaReply(reply quota.Reply) wireQuotaReply {
	w := wireQuotaReply{Workspaces: make(map[string]wireQuotaGrant, len(reply.Workspaces))}
	for name, g := range reply.Workspaces {
		w.Workspaces[name] = wireQuotaGrant(g)
	}
	return w
}

func (w *wireQuotaReply) reply() quota.Reply {
	reply := quota.Reply{Workspaces: make(map[string]quota.Grant, len(w.Workspaces))}
	for name, g := range w.Workspaces {
		reply.Workspaces[name] = quota.Grant(g)
	}
	return reply
}

// quota replies with the tokens that this host grants as the owner of the quotas.
func (s *session) quota(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, w *wireQuotaRequest) error {
	reply, ok := s.server.Quota.RequestQuota(ctx, w.request())
	if !ok {
		return ErrCall.New("this host is stopping")
	}
	return conn.Reply(ctx, id, newWireQuotaReply(reply))
}

const (
	// quotaDuty is the duty of owning the quotas. It is hashed into the order of the hosts.
	quotaDuty = "quota"
	// quotaRequestTimeout bounds a request; distant regions answer in 110 ms, and a frozen owner is noticed in 500 ms.
	quotaRequestTimeout = 600 * time.Millisecond
)

// QuotaHolder holds the wallets of the pools whose jobs this host places.
type QuotaHolder interface {
	// QuotaRequests returns a request for each wallet that has something to say.
	QuotaRequests(now time.Time) []quota.Request
	// ApplyQuota applies the reply to the last request of a wallet.
	ApplyQuota(now time.Time, service string, reply quota.Reply)
	// QuotaUrgent returns a channel that is signaled when a request should not wait for its turn.
	QuotaUrgent() <-chan struct{}
}

// QuotaPoller periodically requests tokens from the owner of the quotas, the first host in the order of that duty that can be reached. The
// first host of each failure domain also reports for the domain. Without workspaces with a limit, nothing is sent.
type QuotaPoller struct {
	Holder  QuotaHolder
	Local   QuotaOwner // Used when this host is the owner.
	View    func() *roster.View
	OnError func(host string, err error) // Called when a request failed.
	Clock   func() time.Time
	Done    chan struct{}

	peers   *peerPool
	policy  *policy.Policy // The policy that limited refers to.
	limited bool           // Some workspace has a limit.
	version uint64         // The version of the view that order refers to.
	order   []roster.Host
	leads   bool        // This host is the first of its failure domain.
	owner   roster.Host // The host that answered the last poll; empty if it failed.
	late    int         // Polls in a row that timed out.
}

// maxOwnerTries is the number of hosts that are tried at once. When half of the hosts were killed, the first two may be among them; a
// host that doesn't answer at all takes 300 ms.
const maxOwnerTries = 3

// Run requests tokens until the context ends.
func (q *QuotaPoller) Run(ctx context.Context) {
	defer close(q.Done)
	q.peers = newPeerPool(q.Clock)
	defer q.peers.close()
	t := time.NewTicker(quota.DrawInterval)
	defer t.Stop()
	for {
		last := q.Clock()
		for tries := 0; tries < maxOwnerTries && !q.poll(ctx); tries++ {
			// The next host owns the quotas. Those that don't answer are skipped, so that the next try reaches one.
			q.peers.firstSound(ctx, q.View().Self.Name, q.order)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			continue
		case <-q.Holder.QuotaUrgent():
		}
		pause := time.NewTimer(last.Add(quota.MinDrawInterval).Sub(q.Clock()))
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
		t.Reset(quota.DrawInterval)
	}
}

// poll sends the requests that are due to the first host in the order that is not skipped. It returns false if that host is skipped from now
// on. The requests are lost then, since the host may have handled them; the next poll makes new ones.
func (q *QuotaPoller) poll(ctx context.Context) bool {
	v := q.View()
	if !q.refresh(v) {
		return true
	}
	now := q.Clock()
	requests := q.Holder.QuotaRequests(now)
	if q.leads && len(requests) == 0 {
		requests = []quota.Request{{}}
	}
	if len(requests) == 0 {
		return true
	}
	for _, h := range q.order {
		if q.peers.skipped(h) {
			continue
		}
		if q.leads {
			requests[0].Part, requests[0].Fresh = v.Self.Domain, h != q.owner
		}
		q.sendAll(ctx, v, h, requests)
		return ctx.Err() != nil || !q.peers.skipped(h)
	}
	return true
}

// refresh updates what is derived from the view, and reports whether some workspace has a limit.
func (q *QuotaPoller) refresh(v *roster.View) bool {
	if v.Policy == nil {
		return false
	}
	if v.Policy != q.policy {
		q.policy, q.limited = v.Policy, false
		for name := range v.Policy.Workspaces {
			ws := v.Policy.Workspaces[name]
			q.limited = q.limited || quota.Limited(&ws)
		}
	}
	if q.limited && (q.version != v.Version || q.order == nil) {
		q.version, q.order, q.leads = v.Version, v.FleetOrder(quotaDuty), false
		for _, h := range q.order {
			if h.Domain == v.Self.Domain {
				q.leads = h.Name == v.Self.Name
				break
			}
		}
	}
	return q.limited
}

// sendAll sends requests to one host at the same time, and returns when all are answered or have failed.
func (q *QuotaPoller) sendAll(ctx context.Context, v *roster.View, h roster.Host, requests []quota.Request) {
	ctx, cancel := context.WithTimeout(ctx, quotaRequestTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(requests))
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := &requests[i]
			reply, err := q.send(ctx, v, h, req)
			errs[i] = err
			if err == nil && req.Service != "" {
				q.Holder.ApplyQuota(q.Clock(), req.Service, reply)
			}
		}()
	}
	wg.Wait()
	q.checkReplies(h, errs)
}

// maxLatePolls is the number of polls in a row that may time out before the next host is tried. A change of the owner costs the tokens in its
// buckets, so a host that is only slow stays the owner; one that is frozen loses its connections within a poll.
const maxLatePolls = 2

// checkReplies skips a host that can't be reached or is late repeatedly.
func (q *QuotaPoller) checkReplies(h roster.Host, errs []error) {
	failed := errors.Join(errs...)
	q.owner = roster.Host{}
	if failed == nil {
		q.owner, q.late = h, 0
		return
	}
	q.OnError(h.Name, failed)
	q.late++
	if !errors.Is(failed, context.DeadlineExceeded) || q.late >= maxLatePolls {
		q.peers.markFailed(h)
		q.late = 0
	}
}

// send sends one request to a host, or to this host's own ledger.
func (q *QuotaPoller) send(ctx context.Context, v *roster.View, h roster.Host, req *quota.Request) (quota.Reply, error) {
	if h.Name == v.Self.Name {
		reply, ok := q.Local.RequestQuota(ctx, *req)
		if !ok {
			return quota.Reply{}, ErrCall.New("this host is stopping")
		}
		return reply, nil
	}
	p, err := q.peers.get(ctx, h)
	if err != nil {
		return quota.Reply{}, err
	}
	var w wireQuotaReply
	if err := p.call(ctx, methodQuota, newWireQuotaRequest(req), &w); ctx.Err() != nil {
		return quota.Reply{}, ctx.Err() // Unwrapped, since errorx hides the cause.
	} else if err != nil {
		return quota.Reply{}, ErrCall.Wrap(err, "requesting quota from host %s", h.Name)
	}
	return w.reply(), nil
}

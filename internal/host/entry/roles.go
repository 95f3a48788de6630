package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/commit"
	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/poison"
	"github.com/boragelane/boragelane/internal/flow/remote"
	"github.com/boragelane/boragelane/internal/flow/route"
	"github.com/boragelane/boragelane/internal/host/trace"
)

// Send sends a job to its upstream and records a span for it.
func (s tracingSender) Send(ctx context.Context, job *pipe.Job) pipe.Reply {
	ctx, end := trace.StartJob(ctx, s.tracer, "upstream", job)
	defer end()
	return s.next.Send(ctx, job)
}

// Plan returns the latest published plan.
func (h *Host) Plan() *plan.Plan { return h.loop.Plan() }

// RunReceived runs a caller's job through the pipeline of the first hop.
func (h *Host) RunReceived(ctx context.Context, job *pipe.Job) {
	job.Plan = h.loop.Plan()
	h.intake.Run(ctx, job)
	h.Stats.CountJob(job)
}

// IssueTicket returns a new ticket that this host owns.
func (h *Host) IssueTicket(now time.Time) dedup.Ticket {
	return h.once.Issue(now, h.Self.Seat, h.Self.Incarnation)
}

// Status returns the control state; it reports false if the control loop did not answer.
func (h *Host) Status(ctx context.Context) (state.Status, bool) { return h.loop.Status(ctx) }

// Explain selects the targets of a job without running it.
func (h *Host) Explain(job *pipe.Job) {
	job.Plan = h.loop.Plan()
	h.explain.Run(context.Background(), job)
	if !job.Ended() {
		route.New(h.admit).AddTargets(h.Clock(), job)
	}
}

// Commit commits an operator's change to the platform and adopts the new document on this host at once.
func (h *Host) Commit(ctx context.Context, ch spec.Change, expect *uint64) (spec.Document, error) {
	doc, err := commit.Commit(ctx, h.store, ch, expect, newID())
	if err == nil {
		h.Log.Info("accepted a change", zap.Uint64("revision", doc.Revision))
		h.loop.Send(ctx, state.DocumentReceived{Doc: doc, Local: true})
	}
	return doc, err
}

// revisionLogger logs each configuration revision that comes into force on this host.
type revisionLogger struct {
	log      *zap.Logger
	revision uint64
}

// Update logs the revision of a plan if it is new.
func (r *revisionLogger) Update(_ time.Time, p *plan.Plan) {
	if p.Doc != nil && p.Doc.Revision != r.revision {
		r.revision = p.Doc.Revision
		r.log.Info("configuration in force", zap.Uint64("revision", r.revision))
	}
}

// ReportUnreachable reports an unreachable host to the control loop, without waiting.
func (h *Host) ReportUnreachable(_ time.Time, seat string) {
	h.loop.TrySend(state.HostUnreachable{Seat: seat})
}

// peerHandler handles the requests of other hosts.
type peerHandler struct{ *Host }

// RunForwarded runs a job that another host forwarded through the pipeline of the second hop.
func (p *peerHandler) RunForwarded(ctx context.Context, job *pipe.Job) {
	job.Plan = p.loop.Plan()
	p.serve.Run(ctx, job)
}

// RunOwned runs a job whose ticket this host owns through the pipeline of the first hop.
func (p *peerHandler) RunOwned(ctx context.Context, job *pipe.Job) {
	p.RunReceived(ctx, job)
}

// ownerForwarder forwards jobs to the owners of their tickets, within this host's share of the link.
type ownerForwarder struct{ *Host }

// Forward forwards a job to a host; it reports false if nothing was sent.
func (o ownerForwarder) Forward(ctx context.Context, now time.Time, seat spec.Seat, job *pipe.Job) bool {
	region, _, _, _ := job.Plan.Doc.FindSeat(seat.Name) //nolint:dogsled // Only the region is needed.
	if region.Name != o.Self.Region && !o.pacer.Wait(ctx, now, region.Name, job.Level, remote.MessageSize(len(job.Body)), job.QueueDeadline(now)) {
		return false
	}
	return o.peerClient.Forward(ctx, now, seat, job)
}

// HandleHeartbeat passes a heartbeat to the control loop and returns its reply.
func (p *peerHandler) HandleHeartbeat(ctx context.Context, b state.Heartbeat) (state.HeartbeatReply, bool) {
	return p.loop.HandleHeartbeat(ctx, b)
}

// HandleExchange passes an exchange to the control loop and returns its reply.
func (p *peerHandler) HandleExchange(ctx context.Context, s state.Exchange) (state.ExchangeReply, bool) {
	return p.loop.HandleExchange(ctx, s)
}

// Notice passes another host's notice to the control loop, without waiting.
func (p *peerHandler) Notice(n state.NoticeReceived) { p.loop.TrySend(n) }

// Document returns the document in force, or nil if there is none yet.
func (p *peerHandler) Document() *spec.Document { return p.loop.Plan().Doc }

// HandleCrash records a crash and, if propagate is set, notifies the other hosts of this failure domain.
func (p *peerHandler) HandleCrash(c poison.Crash, propagate bool) {
	p.crashes.Add(c)
	if propagate {
		(&crashNotifier{host: p.Host}).notifyDomain(c)
	}
}

// AdoptRecords takes over the ticket records of a stopped host.
func (p *peerHandler) AdoptRecords(incarnation string, until time.Time, last bool, records []dedup.Record) {
	p.once.Table.Adopt(incarnation, until, last, records)
}

// crashNotifier notifies other hosts of crashes.
type crashNotifier struct{ host *Host }

// notifyTimeout limits how long a caller's answer is delayed while other hosts are notified of a crash.
const notifyTimeout = 200 * time.Millisecond

// NotifyCrash notifies the hosts of this failure domain, and one host of each other domain, which notifies the rest of
// its domain.
func (n *crashNotifier) NotifyCrash(_ time.Time, c poison.Crash) {
	var wg sync.WaitGroup
	wg.Go(func() { n.notifyDomain(c) })
	for _, d := range n.host.loop.Plan().Domains {
		if d.Name == n.host.Self.Domain || len(d.Hosts) == 0 {
			continue
		}
		wg.Go(func() { n.notifyHost(d.Hosts[0], c, true) })
	}
	wg.Wait()
}

// notifyDomain notifies the other hosts of this failure domain.
func (n *crashNotifier) notifyDomain(c poison.Crash) {
	var wg sync.WaitGroup
	for _, d := range n.host.loop.Plan().Domains {
		if d.Name != n.host.Self.Domain || d.Self {
			continue
		}
		for _, seat := range d.Hosts {
			wg.Go(func() { n.notifyHost(seat, c, false) })
		}
	}
	wg.Wait()
}

// notifyHost notifies one host; errors are ignored.
func (n *crashNotifier) notifyHost(seat spec.Seat, c poison.Crash, propagate bool) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_ = n.host.peerClient.ReportCrash(ctx, seat.Peer, c, propagate)
}

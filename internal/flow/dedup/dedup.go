package dedup

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/core/rendez"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// TicketLifetime is how long a ticket is valid.
const TicketLifetime = 10 * time.Minute

// Forwarder sends a job to the entry host that owns its ticket; it reports false if the job provably did not
// reach that host.
type Forwarder interface {
	Forward(ctx context.Context, now time.Time, seat spec.Seat, job *pipe.Job) bool
}

// Filter runs the job of each ticket at most once: only the process that the ticket names, or the successor that
// took over its tickets, runs it.
type Filter struct {
	Table     *Table
	Forwarder Forwarder
	NewID     func() string
}

// String returns the filter's name.
func (Filter) String() string { return "once" }

// Issue returns a new ticket that this host owns.
func (f Filter) Issue(now time.Time, seat, incarnation string) Ticket {
	return Ticket{Seat: seat, Incarnation: incarnation, Expiry: now.Add(TicketLifetime).Truncate(time.Second), Nonce: f.NewID()}
}

// Run passes on the first try of a job and answers later tries with the recorded outcome; it forwards jobs whose
// ticket another host owns.
func (f Filter) Run(ctx context.Context, now time.Time, job *pipe.Job) {
	if !job.Once {
		return
	}
	if job.Ticket == "" {
		job.Refuse(pipe.NoTicket, "this service runs jobs at most once; look up a host or post to /v1/ticket to get a ticket, and send it as Idempotency-Key with each try")
		return
	}
	tk, err := ParseTicket(job.Ticket)
	if err != nil {
		job.Refuse(pipe.BadTicket, err.Error())
		return
	}
	self := job.Plan.Self
	if tk.Incarnation != self.Incarnation && !f.Table.Adopted(tk.Incarnation) {
		f.forward(ctx, now, tk, job)
		return
	}
	if !now.Before(tk.Expiry) {
		job.EndUnknown(pipe.BadTicket, "the ticket has expired; it will not be run by this try, an earlier try may have run")
		return
	}
	f.claim(ctx, tk, job)
}

func (f Filter) claim(ctx context.Context, tk Ticket, job *pipe.Job) {
	e, st := f.Table.claim(job.Ticket, tk, job.Digest)
	switch st {
	case claimNew:
		job.Claimed = true
		return
	case claimTableFull:
		job.EndUnknown(pipe.QueueFull, "this host remembers too many jobs; this try was not run")
		return
	case claimTableClosed:
		job.EndUnknown(pipe.Stopping, "this host is stopping; try again: the ticket goes to its successor")
		return
	case claimKnown:
	}
	if e.Digest != job.Digest {
		job.EndUnknown(pipe.BadTicket, "the ticket was used for a job with other content")
		return
	}
	select {
	case <-e.done:
		replay(e, job)
	case <-ctx.Done():
		job.EndUnknown(pipe.Expired, "an earlier try still runs")
	}
}

func replay(e *entry, job *pipe.Job) {
	switch {
	case e.Outcome.Kind != pipe.Answered:
		job.Outcome = e.Outcome
	case e.AnswerKept:
		job.EndAnswered(e.Answer)
	default:
		job.EndUnknown(pipe.AnswerGone, "the job ran, its answer is no longer kept")
	}
}

// Finish records the outcome of the first try.
func (f Filter) Finish(_ time.Time, job *pipe.Job) {
	if job.Claimed {
		f.Table.complete(job.Ticket, job.Outcome, job.Answer)
	}
}

// forward sends the job to the owner of its ticket, or to the hosts that take over tickets from the owner.
func (f Filter) forward(ctx context.Context, now time.Time, tk Ticket, job *pipe.Job) {
	if job.Hop > 0 {
		job.EndUnknown(pipe.OwnerGone, "the ticket's owner is gone; it will not be run by this try, an earlier try may have run")
		return
	}
	for _, seat := range Successors(job.Plan.Doc, tk.Seat) {
		if seat.Name == job.Plan.Self.Seat {
			continue
		}
		if !f.Forwarder.Forward(ctx, now, seat, job) {
			continue
		}
		if job.Outcome.Reason == pipe.OwnerGone || job.Outcome.Reason == pipe.Stopping {
			continue
		}
		return
	}
	if !job.Ended() || job.Outcome.Kind == pipe.NotRun {
		job.EndUnknown(pipe.OwnerGone, "the ticket's owner can't be reached; it will not be run by this try, an earlier try may have run")
	}
}

// Successors returns a seat and the seats that take over its tickets, in order of preference.
func Successors(doc *spec.Document, seat string) []spec.Seat {
	_, d, s, ok := doc.FindSeat(seat)
	if !ok {
		return nil
	}
	return successorOrder(d.Seats, s)
}

// maxSuccessors is the maximum number of other hosts that are asked about a ticket whose owner is gone.
const maxSuccessors = 3

func successorOrder(seats []spec.Seat, owner spec.Seat) []spec.Seat {
	sites := make([]rendez.Site, len(seats))
	for i, s := range seats {
		sites[i] = rendez.NewSite(s.Name, 1)
		if s.Name == owner.Name {
			sites[i].Weight = 0
		}
	}
	out := []spec.Seat{owner}
	for _, i := range rendez.Order(rendez.Hash(owner.Name), sites) {
		out = append(out, seats[i])
	}
	return out[:min(len(out), 1+maxSuccessors)]
}

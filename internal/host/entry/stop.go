package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/edge/peer"
	"github.com/boragelane/boragelane/internal/flow/dedup"
)

// shutdownPropagation is the time within which all other hosts learn that this one is shutting down.
const shutdownPropagation = 2 * time.Second

// handOverTime is kept free for handing over the tickets: one successor may not answer before another one does.
const handOverTime = 2 * (peer.DialTimeout + peer.FetchTimeout)

// shutdown performs the graceful shutdown: it removes this host from lookup answers, serves until the answers that callers
// have cached expire, finishes all jobs and hands over the tickets.
func (h *Host) shutdown(ctx context.Context) {
	h.Log.Info("stopping", zap.String("seat", h.Self.Seat))
	end := h.Clock().Add(h.Settings.StopTimeout)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	h.loop.Send(ctx, state.ShutdownRequested{})
	sleep(ctx, state.LookupTTL+shutdownPropagation)
	h.once.Table.StopClaims()
	jobsCtx, cancelJobs := context.WithDeadline(ctx, jobsEnd(h.Clock(), end))
	defer cancelJobs()
	if err := h.finishJobs(jobsCtx); err != nil {
		h.Log.Warn("jobs were still running when the tickets had to be handed over", errorField(err))
	}
	h.handOverTickets(ctx)
	if err := h.finishJobs(ctx); err != nil {
		h.Log.Warn("jobs were still running at the end of the planned stop", errorField(err))
	}
	_ = h.listeners[1].Close()
	<-h.peerServer.Done
	for _, ln := range h.listeners {
		if err := ln.Wait(ctx); err != nil {
			h.Log.Warn("responses were not delivered by the end of the planned stop", errorField(err))
		}
	}
	if err := h.Trace.Shutdown(ctx); err != nil {
		h.Log.Warn("spans were lost", errorField(err))
	}
}

// jobsEnd returns the time at which the tickets are handed over although jobs still run, since a caller that doesn't read its
// answer would otherwise keep them from the successor.
func jobsEnd(now, end time.Time) time.Time { return end.Add(-min(handOverTime, end.Sub(now)/2)) }

// finishJobs accepts no more requests and waits until the running ones are answered; it fails if the context ends first.
func (h *Host) finishJobs(ctx context.Context) error {
	var errs []error
	for _, s := range h.httpServers {
		errs = append(errs, s.Shutdown(ctx))
	}
	return errors.Join(append(errs, h.peerServer.WaitForJobs(ctx))...)
}

// handOverTickets sends the ticket records to the first successor that accepts them.
func (h *Host) handOverTickets(ctx context.Context) {
	records := h.once.Table.Close()
	until := h.Clock().Add(dedup.TicketLifetime)
	current := h.loop.Plan()
	if current.Doc == nil {
		return
	}
	for _, seat := range dedup.Successors(current.Doc, h.Self.Seat) {
		if seat.Name == h.Self.Seat {
			continue
		}
		if err := h.peerClient.HandOver(ctx, seat.Peer, h.Self.Incarnation, until, records); err != nil {
			h.Log.Warn("a successor did not take the tickets", zap.String("successor", seat.Name), errorField(err))
			continue
		}
		h.Log.Info("handed over the tickets", zap.String("successor", seat.Name), zap.Int("records", len(records)))
		return
	}
}

// errorField returns a log field with the error's text, which has the whole chain of causes but no stack traces.
func errorField(err error) zap.Field { return zap.String("error", err.Error()) }

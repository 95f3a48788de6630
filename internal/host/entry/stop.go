package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/flow/dedup"
)

// shutdownPropagation is the time within which all other hosts learn that this one is shutting down.
const shutdownPropagation = 2 * time.Second

// shutdown performs the graceful shutdown: it removes this host from lookup answers, serves until the answers that callers
// have cached expire, finishes all jobs and hands over the tickets.
func (h *Host) shutdown(ctx context.Context) {
	h.Log.Info("stopping", zap.String("seat", h.Self.Seat))
	ctx, cancel := context.WithTimeout(ctx, h.Settings.StopTimeout)
	defer cancel()
	h.loop.Send(ctx, state.ShutdownRequested{})
	sleep(ctx, state.LookupTTL+shutdownPropagation)
	h.once.Table.StopClaims()
	for _, s := range h.httpServers {
		if err := s.Shutdown(ctx); err != nil {
			h.Log.Warn("jobs were still running at the end of the planned stop", errorField(err))
		}
	}
	if err := h.peerServer.WaitForJobs(ctx); err != nil {
		h.Log.Warn("jobs of other hosts were still running at the end of the planned stop", errorField(err))
	}
	h.handOverTickets(ctx)
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

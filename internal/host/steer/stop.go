package steer

import (
	"context"
	"net"
	"time"

	"github.com/boragelane/boragelane/internal/ctrl/watch"
)

const (
	// takePart is the part of the grace in which a stopping host still takes requests: callers keep what the
	// directory told them for a while.
	takePart = 0.5
	// endMargin is what is left of the grace when the process ends by itself.
	endMargin = 150 * time.Millisecond
)

// leave stops the host: it leaves the directory at once, takes requests for a part of the grace, and ends when
// the last one is answered.
func (h *Host) leave(ctx context.Context, front net.Listener, quit func()) {
	start := h.Clock()
	h.stop.Store(true)
	h.Log.Info("stopping")
	h.loop.Send(ctx, watch.Leave{})
	quit()
	h.server.Drain()
	grace := time.Duration(h.grace.Load())
	end := time.NewTimer(grace - endMargin)
	defer end.Stop()
	take := time.NewTimer(time.Duration(takePart * float64(grace)))
	defer take.Stop()
	<-take.C
	_ = front.Close()
	h.server.CloseIdle()
	select {
	case <-h.server.Done:
	case <-end.C:
	}
	<-h.keeper.Done
	h.Log.Info("drained", took(h.Clock().Sub(start)))
}

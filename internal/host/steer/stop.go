package steer

import (
	"context"
	"net"
	"time"

	"github.com/boragelane/boragelane/internal/ctrl/watch"
)

const (
	// acceptFraction is the fraction of the grace period in which a stopping host still accepts connections, since
	// callers cache the answer of the directory.
	acceptFraction = 0.5
	// exitMargin is the time between the exit of the process and the end of the grace period.
	exitMargin = 150 * time.Millisecond
)

// shutdown stops the host: it leaves the directory at once, accepts requests for a fraction of the grace period, and
// returns when the last one is answered or the grace period is about to end.
func (h *Host) shutdown(ctx context.Context, front net.Listener, cancelRegistration func()) {
	start := h.Clock()
	h.stopping.Store(true)
	h.Log.Info("stopping")
	h.loop.Send(ctx, watch.ShutdownRequested{})
	cancelRegistration()
	h.server.Drain()
	grace := time.Duration(h.stopGrace.Load())
	exitTimer := time.NewTimer(grace - exitMargin)
	defer exitTimer.Stop()
	acceptTimer := time.NewTimer(time.Duration(acceptFraction * float64(grace)))
	defer acceptTimer.Stop()
	<-acceptTimer.C
	_ = front.Close()
	h.server.CloseIdle()
	select {
	case <-h.server.Done:
	case <-exitTimer.C:
	}
	<-h.keeper.Done
	h.Log.Info("drained", millisField(h.Clock().Sub(start)))
}

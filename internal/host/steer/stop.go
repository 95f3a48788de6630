package steer

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/flow/halt"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// shutdown stops the host: it leaves the directory at once, accepts requests for a while, and returns when the last one is
// answered or the grace period is about to end. Before that it cancels the jobs that hold back ready answers, so that these can
// be written and read, and shortly before the end it calls giveUp to cancel all that are still running.
func (h *Host) shutdown(ctx context.Context, front net.Listener, cancelRegistration, giveUp func()) {
	start := h.Clock()
	plan := halt.NewPlan(start, time.Duration(h.stopGrace.Load()))
	h.stopping.Store(true)
	h.halt.Begin(plan)
	h.Log.Info("stopping")
	cancelRegistration()
	h.server.Drain()
	closeGate := time.AfterFunc(plan.Start.Sub(start), h.gate.Close)
	defer closeGate.Stop()
	yieldTimer := time.AfterFunc(plan.Yield.Sub(start), func() { h.server.Yield(pipe.ErrStopping) })
	defer yieldTimer.Stop()
	giveUpTimer := time.AfterFunc(plan.Answer.Sub(start), giveUp)
	defer giveUpTimer.Stop()
	exitCtx, cancelExit := context.WithTimeout(ctx, plan.Exit.Sub(start))
	defer cancelExit()
	acceptTimer := time.NewTimer(plan.Accept.Sub(start))
	defer acceptTimer.Stop()
	sendCtx, cancelSend := context.WithTimeout(ctx, plan.Accept.Sub(start))
	defer cancelSend()
	h.loop.Send(sendCtx, watch.ShutdownRequested{}) // Control that hangs must not keep the host from stopping.
	<-acceptTimer.C
	_ = front.Close()
	h.server.CloseIdle()
	for _, done := range []<-chan struct{}{h.server.Done, h.keeper.Done} {
		select {
		case <-done:
		case <-exitCtx.Done():
		}
	}
	if n := h.server.Pending(); n > 0 {
		h.Log.Warn("exiting with unanswered requests", zap.Int("count", n))
	}
	h.server.Close()
	h.Log.Info("drained", millisField(h.Clock().Sub(start)))
}

package steer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
	"github.com/boragelane/boragelane/internal/edge/dialer"
	"github.com/boragelane/boragelane/internal/edge/httpd"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/host/metric"
)

// noFrontend is a Frontend that gets no request.
type noFrontend struct{}

func (noFrontend) Job(*httpd.Request) *pipe.Job                      { return &pipe.Job{} }
func (noFrontend) Answer(*pipe.Job) httpd.Response                   { return httpd.Response{} }
func (noFrontend) DirectoryHandler(func() *roster.View) http.Handler { return http.NotFoundHandler() }

// Guards against a host that goes on accepting requests, and is killed with them, because its control loop hangs.
func TestAStopDoesNotWaitForTheControlLoop(t *testing.T) {
	const grace = time.Second
	h := New(Settings{Grace: grace}, nil, noFrontend{}, dialer.HeaderNames{}, time.Now, zap.NewNop(), metric.New())
	close(h.keeper.Done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fill, stopFilling := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stopFilling()
	for h.loop.Send(fill, watch.Tick{}) {
		continue // The loop doesn't run, so that its events fill up.
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go h.server.Serve(ctx, ln)
	stopped := make(chan struct{})
	go func() {
		h.shutdown(ctx, ln, func() {}, func() {})
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(grace):
		t.Fatal("the stop outlasts its grace period")
	}
}

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
	h := New(Settings{Grace: testGrace}, nil, noFrontend{}, dialer.HeaderNames{}, time.Now, zap.NewNop(), metric.New())
	close(h.keeper.Done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fill, stopFilling := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stopFilling()
	for h.loop.Send(fill, watch.Tick{}) {
		continue // The loop doesn't run, so that its events fill up.
	}
	assertStopsInTime(ctx, t, h)
}

// Guards against a host that is killed, without a report on its last connections, because its entry can't be removed in time.
func TestAStopDoesNotWaitForTheStoreAfterItsExit(t *testing.T) {
	h := New(Settings{Grace: testGrace}, nil, noFrontend{}, dialer.HeaderNames{}, time.Now, zap.NewNop(), metric.New())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.loop.Run(ctx)
	assertStopsInTime(ctx, t, h) // The keeper doesn't run, as if the store didn't answer.
}

// testGrace is the grace period of a host under test.
const testGrace = time.Second

// assertStopsInTime checks that a host without callers stops within its grace period.
func assertStopsInTime(ctx context.Context, t *testing.T, h *Host) {
	t.Helper()
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
	case <-time.After(testGrace):
		t.Fatal("the stop outlasts its grace period")
	}
}

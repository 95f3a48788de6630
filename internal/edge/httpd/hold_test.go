package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/boragelane/boragelane/internal/core/held"
)

// smallBuffers is the size of the kernel's buffers of connections under test, so that the server holds what callers don't read.
const smallBuffers = 16 << 10

// narrowListener hands over connections with small buffers, whose deadlines are times of hastyClock.
type narrowListener struct{ net.Listener }

func (l narrowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	_ = c.(*net.TCPConn).SetWriteBuffer(smallBuffers)
	return hastyConn{c}, nil
}

// answering responds with a body of the given size, for which it takes memory as the sender of a repeatable job does.
type answering struct {
	size   int64
	served atomic.Int64
}

func (h *answering) Serve(_ context.Context, r *Request) Response {
	h.served.Add(1)
	if !r.Held.GrowAnswer(h.size, true) {
		return Response{Status: http.StatusBadGateway}
	}
	return Response{Status: http.StatusOK, Body: make([]byte, h.size)}
}

// startLimited starts a server with a limit on what it holds.
func startLimited(t *testing.T, h Handler, limit int64) (*Server, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := New(h, hastyLimits, time.Now)
	s.Held = held.NewBudget(limit)
	go s.Serve(context.Background(), ln)
	return s, ln.Addr().String()
}

// startNarrow starts such a server whose time passes haste times as fast, with small buffers in the kernel.
func startNarrow(t *testing.T, h Handler, limit int64) (*Server, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := New(h, hastyLimits, hastyClock)
	s.Held = held.NewBudget(limit)
	go s.Serve(context.Background(), narrowListener{ln})
	return s, ln.Addr().String()
}

func dialNarrow(t *testing.T, addr string) *client {
	c := dial(t, addr)
	assert.NilError(t, c.Conn.(*net.TCPConn).SetReadBuffer(smallBuffers))
	return c
}

// waitReturned waits until nothing is held any more.
func waitReturned(t *testing.T, s *Server) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := s.Held.Used(); n != 0 {
			return poll.Continue("%d bytes are held", n)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// readSlowly reads a response with the given rate in bytes a second of hastyClock, and returns the length of the body.
func (c *client) readSlowly(rate int) (int, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	n := 0
	const pause = 20 * time.Millisecond
	for part := make([]byte, max(1, rate*haste*int(pause)/int(time.Second))); err == nil; time.Sleep(pause) {
		var m int
		m, err = io.ReadFull(resp.Body, part)
		n += m
	}
	return n, err
}

// Replays 200 callers that read 5 KB a second. Guards against their responses taking the memory of the host, or that of all
// other callers for as long as they read.
func TestSlowCallersHoldABoundedPart(t *testing.T) {
	const limit, size = 40 << 20, 540 << 10
	s, addr := startNarrow(t, &answering{size: size}, limit)
	var peak atomic.Int64
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				peak.Store(max(peak.Load(), s.Held.Used()))
			}
		}
	})
	var callers sync.WaitGroup
	var complete atomic.Int64
	for range 200 {
		c := dialNarrow(t, addr)
		c.get("/")
		callers.Go(func() {
			if n, _ := c.readSlowly(5 << 10); n == size {
				complete.Add(1)
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result { // Others are served again long before the slow callers could have read everything.
		c := dialNarrow(t, addr)
		c.get("/")
		resp, err := http.ReadResponse(c.r, nil)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		_ = c.Close()
		if resp.StatusCode != http.StatusOK || err != nil || n != size {
			return poll.Continue("status %d, %d bytes, %v", resp.StatusCode, n, err)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(5*time.Second))
	callers.Wait()
	close(stop)
	watching.Wait()
	assert.Equal(t, complete.Load(), int64(0))
	assert.Assert(t, peak.Load() > limit/2 && peak.Load() <= limit, "%d bytes at the peak", peak.Load())
	waitReturned(t, s)
}

// Guards against a caller that is given up although there is memory and it makes progress, and one that is waited for without any.
func TestACallerIsWaitedForWhileItMakesProgress(t *testing.T) {
	const size = 540 << 10
	for name, c := range map[string]struct {
		rate     int
		limit    int64
		complete bool
	}{
		"steady":              {60 << 10, 64 << 20, true},
		"steady, but crowded": {60 << 10, 1 << 20, false},
		"stalled":             {0, 64 << 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := startNarrow(t, &answering{size: size}, c.limit)
			caller := dialNarrow(t, addr)
			caller.get("/")
			if c.rate == 0 {
				time.Sleep(2 * writeTimeout / haste)
				assert.Equal(t, s.Held.Used(), int64(0))
				return
			}
			n, _ := caller.readSlowly(c.rate)
			assert.Equal(t, n == size, c.complete, "%d bytes", n)
			waitReturned(t, s)
		})
	}
}

// Replays ten large responses at the same time to callers that read at once: each must be delivered in full.
func TestLargeResponsesAtTheSameTimeAreDelivered(t *testing.T) {
	const size = 4 << 20
	s, addr := startLimited(t, &answering{size: size}, 64<<20)
	var callers sync.WaitGroup
	for range 10 {
		c := dial(t, addr)
		c.get("/")
		callers.Go(func() {
			_, body := c.readResponse()
			assert.Check(t, len(body) == size, "%d bytes", len(body))
		})
	}
	callers.Wait()
	waitReturned(t, s)
}

// Guards against a caller that makes the host hold ever more by sending requests without reading the responses.
func TestACallerThatDoesNotReadGetsNoFurtherRequestServed(t *testing.T) {
	const limit, size = 16 << 20, 300 << 10
	h := &answering{size: size}
	s, addr := startNarrow(t, h, limit)
	c := dialNarrow(t, addr)
	for range 100 {
		c.get("/")
	}
	waitReturned(t, s) // The write times out, which ends the connection.
	atMost := int64(limit/connShare/size + maxPipelined + 2)
	assert.Assert(t, h.served.Load() <= atMost, "%d requests served", h.served.Load())
}

// Guards against a connection that stays stuck after its caller has read what waited.
func TestRequestsAreServedAgainOnceTheirResponsesAreRead(t *testing.T) {
	const size = 300 << 10
	s, addr := startLimited(t, &answering{size: size}, 8<<20)
	c := dial(t, addr)
	go func() {
		for range 40 {
			c.get("/")
		}
	}()
	for range 40 {
		_, body := c.readResponse()
		assert.Equal(t, len(body), size)
	}
	waitReturned(t, s)
}

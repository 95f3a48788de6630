package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failWrites makes the server's only connection fail to write, as if the time for it was over.
func failWrites(t *testing.T, s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.conns), 1)
	for c := range s.conns {
		_ = c.net.SetWriteDeadline(time.Unix(1, 0))
	}
}

// Guards against a connection that never ends, because the failed write of its response counts as still going on.
func TestAConnectionThatSeemsIdleEndsWhenItsResponseCannotBeWritten(t *testing.T) {
	s, ln := startDrainable(t, &largeHandler{})
	c := dial(t, ln.Addr().String())
	c.get("/large")
	time.Sleep(200 * time.Millisecond)
	_ = ln.Close()
	s.CloseIdle()
	time.Sleep(2 * idleCloseDelay)
	failWrites(t, s)
	waitDone(t, s)
}

// Guards against requests that go on running, on a connection that stays open, though their responses can't be written.
func TestAFailedWriteCancelsTheRequestsBehindIt(t *testing.T) {
	waiting := &handler{release: make(chan struct{}), started: make(chan string, 1)}
	s, ln := startDrainable(t, &largeOrWaiting{large: largeHandler{}, waiting: waiting})
	c := dial(t, ln.Addr().String())
	c.get("/large")
	c.get("/wait")
	<-waiting.started
	time.Sleep(200 * time.Millisecond)
	_ = ln.Close()
	failWrites(t, s)
	waitDone(t, s)
	assert.Equal(t, waiting.canceled.Load(), int64(1))
}

// largeOrWaiting responds to /large with a large body, and passes other requests on.
type largeOrWaiting struct {
	large   largeHandler
	waiting *handler
}

func (h *largeOrWaiting) Serve(ctx context.Context, r *Request) Response {
	if r.Target == "/large" {
		return h.large.Serve(ctx, r)
	}
	return h.waiting.Serve(ctx, r)
}

// Guards against an interim response that is written in front of the response to an earlier request, or into it.
func TestAnInterimResponseIsNotWrittenIntoAnotherResponse(t *testing.T) {
	_, ln := startDrainable(t, &handler{})
	path := "/" + strings.Repeat("x", 1000)
	for range 2000 { // Each time the second request may be read while the response to the first is about to be written.
		c := dial(t, ln.Addr().String())
		c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		_, body := c.readResponse()
		assert.Equal(t, body, path)
		_ = c.Close()
	}
}

// haste is how many times as fast as usual time passes for a server under test and its connections.
const haste = 20

var hasteStart = time.Now()

// hastyClock is the clock of such a server.
func hastyClock() time.Time { return hasteStart.Add(haste * time.Since(hasteStart)) }

// hastyLimits leaves enough time to a caller on a busy machine.
func hastyLimits() Limits {
	return Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
}

// hastyListener hands over connections whose deadlines are times of hastyClock.
type hastyListener struct{ net.Listener }

func (l hastyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return hastyConn{c}, err
}

type hastyConn struct{ net.Conn }

func (c hastyConn) SetWriteDeadline(t time.Time) error {
	return c.Conn.SetWriteDeadline(hasteStart.Add(t.Sub(hasteStart) / haste))
}

func (c hastyConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		t = hasteStart.Add(t.Sub(hasteStart) / haste)
	}
	return c.Conn.SetReadDeadline(t)
}

// Guards against a large response that is cut although its caller reads it steadily, because the time for it is constant.
func TestALargeResponseIsDeliveredToACallerThatReadsSteadily(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := New(&largeHandler{}, hastyLimits, hastyClock)
	go s.Serve(context.Background(), hastyListener{ln})
	c := dial(t, ln.Addr().String())
	c.get("/large")
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	n := 0
	begin := time.Now()
	for piece := make([]byte, 128<<10); err == nil; time.Sleep(20 * time.Millisecond) {
		var m int
		m, err = resp.Body.Read(piece)
		n += m
	}
	assert.ErrorIs(t, err, io.EOF, "after %d bytes", n)
	assert.Equal(t, n, largeBody)
	assert.Assert(t, time.Since(begin) > writeTimeout/haste)
}

// Guards against a request that is dropped, with its connection, because the time for writing the response before it is over.
func TestAnInterimResponseIsWrittenLongAfterTheLastResponse(t *testing.T) {
	s, ln := startDrainable(t, &handler{})
	c := dial(t, ln.Addr().String())
	c.get("/a")
	_, body := c.readResponse()
	assert.Equal(t, body, "/a")
	time.Sleep(50 * time.Millisecond)
	failWrites(t, s)
	c.send("POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusContinue)
	c.send("b")
	_, body = c.readResponse()
	assert.Equal(t, body, "/b")
}

package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// handler responds with the request's path; requests for paths that begin with /wait block until release is closed or
// their context ends.
type handler struct {
	release  chan struct{}
	started  chan string
	canceled atomic.Int64
}

func (h *handler) Serve(ctx context.Context, r *Request) Response {
	if h.started != nil {
		h.started <- r.Target
	}
	if strings.HasPrefix(r.Target, "/wait") {
		select {
		case <-h.release:
		case <-ctx.Done():
			h.canceled.Add(1)
		}
	}
	return Response{Status: 200, Header: http.Header{"X-Body": {string(r.Body)}}, Body: []byte(r.Target)}
}

var testLimits = Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 100, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}

func startServer(t *testing.T, h *handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(h, func() Limits { return testLimits }, time.Now)
	go s.Serve(context.Background(), ln)
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

type client struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

func dial(t *testing.T, addr string) *client {
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, r: bufio.NewReader(c), t: t}
}

func (c *client) send(text string) {
	_, err := c.Write([]byte(text))
	assert.NilError(c.t, err)
}

func (c *client) get(path string) { c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n") }

func (c *client) readResponse() (*http.Response, string) {
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp, string(body)
}

func (c *client) assertClosed() {
	_, err := c.r.ReadByte()
	assert.Assert(c.t, err != nil)
}

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	h := &handler{release: make(chan struct{}), started: make(chan string, 9)}
	addr := startServer(t, h)
	c := dial(t, addr)
	c.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n")
	for range 3 {
		<-h.started
	}
	close(h.release)
	for _, want := range []string{"/wait", "/b", "/c"} {
		_, body := c.readResponse()
		assert.Equal(t, body, want)
	}
}

func TestBodiesWithALengthAndInChunks(t *testing.T) {
	addr := startServer(t, &handler{})
	c := dial(t, addr)
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	resp, _ := c.readResponse()
	assert.Equal(t, resp.Header.Get("X-Body"), "abc")
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	resp, _ = c.readResponse()
	assert.Equal(t, resp.Header.Get("X-Body"), "abc")
}

func TestInvalidOrOversizedRequestsAreRefusedAndCloseTheConnection(t *testing.T) {
	for _, c := range []struct {
		name, send string
		status     int
	}{
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", 431},
		{"long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413},
		{"long chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", 413},
		{"not HTTP", "nonsense\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		{"slow header", "GET / HT", 408},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := startServer(t, &handler{})
			cl := dial(t, addr)
			cl.send(c.send)
			resp, _ := cl.readResponse()
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, resp.Close)
			cl.assertClosed()
		})
	}
}

func TestAnIdleConnectionIsClosedButNotOneThatWaitsForItsAnswer(t *testing.T) {
	h := &handler{release: make(chan struct{})}
	addr := startServer(t, h)
	idle, busy := dial(t, addr), dial(t, addr)
	busy.get("/wait")
	idle.assertClosed()
	time.Sleep(2 * testLimits.IdleTimeout)
	close(h.release)
	_, body := busy.readResponse()
	assert.Equal(t, body, "/wait")
}

func TestACallerThatDisconnectsCancelsItsRequests(t *testing.T) {
	h := &handler{release: make(chan struct{}), started: make(chan string, 9)}
	addr := startServer(t, h)
	c := dial(t, addr)
	c.send("GET /wait1 HTTP/1.1\r\nHost: h\r\n\r\nGET /wait2 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-h.started
	<-h.started
	_ = c.Close()
	for i := 0; h.canceled.Load() < 2; i++ {
		assert.Assert(t, i < 500, "the requests were not canceled")
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a graceful shutdown that drops requests: pending requests are answered, the last response announces the
// close, and CloseIdle closes idle connections.
func TestDrainingAnswersAllPendingRequests(t *testing.T) {
	h := &handler{release: make(chan struct{}), started: make(chan string, 9)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(h, func() Limits {
		return Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}, time.Now)
	go s.Serve(context.Background(), ln)
	busy, idle, later := dial(t, ln.Addr().String()), dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	busy.get("/wait")
	<-h.started
	idle.get("/x")
	<-h.started
	_, _ = idle.readResponse()
	s.Drain()
	later.get("/late") // A connection that was open before the stop still serves a request.
	resp, body := later.readResponse()
	assert.Equal(t, body, "/late")
	assert.Assert(t, resp.Close)
	_ = ln.Close()
	s.CloseIdle()
	idle.assertClosed()
	close(h.release)
	resp, body = busy.readResponse()
	assert.Equal(t, body, "/wait")
	assert.Assert(t, resp.Close)
	select {
	case <-s.Done:
	case <-time.After(5 * time.Second):
		t.Fatal("the server did not stop")
	}
}

// A request of which a part was read when a stop closes idle connections must be answered.
func TestAStopAnswersARequestThatIsHalfRead(t *testing.T) {
	for name, parts := range map[string][2]string{
		"in its header": {"GET /half HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
		"in its body":   {"POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "cd"},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := New(&handler{}, func() Limits {
				return Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			}, time.Now)
			go s.Serve(context.Background(), ln)
			c := dial(t, ln.Addr().String())
			c.send(parts[0])
			time.Sleep(50 * time.Millisecond)
			s.Drain()
			_ = ln.Close()
			s.CloseIdle()
			time.Sleep(50 * time.Millisecond)
			c.send(parts[1])
			resp, body := c.readResponse()
			assert.Equal(t, body, "/half")
			assert.Assert(t, resp.Close)
			<-s.Done
		})
	}
}

// panickingHandler panics on each request.
type panickingHandler struct{}

func (panickingHandler) Serve(context.Context, *Request) Response { panic("unexpected") }

func TestAPanicInARequestIsAnsweredAndCounted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := New(panickingHandler{}, func() Limits { return testLimits }, time.Now)
	var panics atomic.Int64
	s.OnPanic = func(string, any) { panics.Add(1) }
	go s.Serve(context.Background(), ln)
	c := dial(t, ln.Addr().String())
	for range 2 {
		c.get("/x")
		resp, _ := c.readResponse()
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	}
	assert.Equal(t, panics.Load(), int64(2))
}

func FuzzConn(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "\r\n\r\n", "GET / HTTP/1.0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := net.Pipe()
		s := New(&handler{release: make(chan struct{})}, func() Limits {
			return Limits{MaxHeaderBytes: 512, MaxBodyBytes: 64, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
		}, time.Now)
		done := make(chan struct{})
		go func() {
			defer close(done)
			newConn(s, b).run(context.Background())
		}()
		go func() { _, _ = io.Copy(io.Discard, a) }()
		_, _ = a.Write(data)
		_ = a.Close()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection was not closed")
		}
	})
}

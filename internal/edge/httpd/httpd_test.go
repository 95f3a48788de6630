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

// handler answers with the request's path; paths that begin with /wait end when the channel closes.
type handler struct {
	release chan struct{}
	begun   chan string
	left    atomic.Int64
}

func (h *handler) Serve(ctx context.Context, r *Request) Answer {
	if h.begun != nil {
		h.begun <- r.Target
	}
	if strings.HasPrefix(r.Target, "/wait") {
		select {
		case <-h.release:
		case <-ctx.Done():
			h.left.Add(1)
		}
	}
	return Answer{Status: 200, Header: http.Header{"X-Body": {string(r.Body)}}, Body: []byte(r.Target)}
}

var bounds = Bounds{Header: 2048, Body: 100, HeaderLife: 300 * time.Millisecond, IdleLife: 400 * time.Millisecond}

func serve(t *testing.T, h *handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(h, func() Bounds { return bounds }, time.Now)
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

func (c *client) answer() (*http.Response, string) {
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp, string(body)
}

func (c *client) ended() {
	_, err := c.r.ReadByte()
	assert.Assert(c.t, err != nil)
}

func TestPipelinedRequestsAreWorkedOnTogetherAndAnsweredInOrder(t *testing.T) {
	h := &handler{release: make(chan struct{}), begun: make(chan string, 9)}
	addr := serve(t, h)
	c := dial(t, addr)
	c.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n")
	for range 3 {
		<-h.begun
	}
	close(h.release)
	for _, want := range []string{"/wait", "/b", "/c"} {
		_, body := c.answer()
		assert.Equal(t, body, want)
	}
}

func TestBodiesWithALengthAndInChunks(t *testing.T) {
	addr := serve(t, &handler{})
	c := dial(t, addr)
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	resp, _ := c.answer()
	assert.Equal(t, resp.Header.Get("X-Body"), "abc")
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	resp, _ = c.answer()
	assert.Equal(t, resp.Header.Get("X-Body"), "abc")
}

func TestWhatIsTooMuchOrWrongIsRefusedAndEndsTheConnection(t *testing.T) {
	for _, c := range []struct {
		name, send string
		status     int
	}{
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", 431},
		{"long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413},
		{"long chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", 413},
		{"no HTTP", "nonsense\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		{"slow header", "GET / HT", 408},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := serve(t, &handler{})
			cl := dial(t, addr)
			cl.send(c.send)
			resp, _ := cl.answer()
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, resp.Close)
			cl.ended()
		})
	}
}

func TestAnIdleConnectionIsClosedButNotOneThatWaitsForItsAnswer(t *testing.T) {
	h := &handler{release: make(chan struct{})}
	addr := serve(t, h)
	idle, busy := dial(t, addr), dial(t, addr)
	busy.get("/wait")
	idle.ended()
	time.Sleep(2 * bounds.IdleLife)
	close(h.release)
	_, body := busy.answer()
	assert.Equal(t, body, "/wait")
}

func TestACallerThatLeavesEndsItsRequests(t *testing.T) {
	h := &handler{release: make(chan struct{}), begun: make(chan string, 9)}
	addr := serve(t, h)
	c := dial(t, addr)
	c.send("GET /wait1 HTTP/1.1\r\nHost: h\r\n\r\nGET /wait2 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-h.begun
	<-h.begun
	_ = c.Close()
	for i := 0; h.left.Load() < 2; i++ {
		assert.Assert(t, i < 500, "the work goes on")
		time.Sleep(10 * time.Millisecond)
	}
}

// A planned stop: requests under way are answered, the last answer says that the connection ends, and idle
// connections are closed when told.
func TestAStopCutsOffNothing(t *testing.T) {
	h := &handler{release: make(chan struct{}), begun: make(chan string, 9)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(h, func() Bounds { return Bounds{Header: 2048, Body: 100, HeaderLife: time.Minute, IdleLife: time.Minute} }, time.Now)
	go s.Serve(context.Background(), ln)
	busy, idle, later := dial(t, ln.Addr().String()), dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	busy.get("/wait")
	<-h.begun
	idle.get("/x")
	<-h.begun
	_, _ = idle.answer()
	s.Drain()
	later.get("/late") // Callers that have not heard of the stop are served.
	resp, body := later.answer()
	assert.Equal(t, body, "/late")
	assert.Assert(t, resp.Close)
	_ = ln.Close()
	s.CloseIdle()
	idle.ended()
	close(h.release)
	resp, body = busy.answer()
	assert.Equal(t, body, "/wait")
	assert.Assert(t, resp.Close)
	select {
	case <-s.Done:
	case <-time.After(5 * time.Second):
		t.Fatal("the server does not end")
	}
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
		s := New(&handler{release: make(chan struct{})}, func() Bounds {
			return Bounds{Header: 512, Body: 64, HeaderLife: 50 * time.Millisecond, IdleLife: 50 * time.Millisecond}
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
			t.Fatal("the connection does not end")
		}
	})
}

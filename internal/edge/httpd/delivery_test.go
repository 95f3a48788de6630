package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/edge/linger"
)

const (
	// largeBody is larger than what the buffers of both kernels hold for a caller that doesn't read.
	largeBody = 8 << 20
	// bufferedBody fits into the send buffer, but not into the receive buffer of a caller that doesn't read.
	bufferedBody = 2 << 20
)

// largeHandler responds with a large body to /large, with one that fits into the send buffer to /buffered, after a wait to /wait.
type largeHandler struct{ wait time.Duration }

func (h *largeHandler) Serve(_ context.Context, r *Request) Response {
	body := []byte(r.Target)
	switch r.Target {
	case "/wait":
		time.Sleep(h.wait)
	case "/large":
		body = make([]byte, largeBody)
	case "/buffered":
		body = make([]byte, bufferedBody)
	}
	return Response{Status: 200, Body: body}
}

// startWithIdleTimeout starts a server with an idle timeout.
func startWithIdleTimeout(t *testing.T, h Handler, idleTimeout time.Duration) (*Server, net.Listener) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(h, func() Limits {
		return Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: idleTimeout}
	}, time.Now)
	go s.Serve(context.Background(), ln)
	t.Cleanup(func() { _ = ln.Close() })
	return s, ln
}

// readLate sends requests for some time before it reads, as a caller does that pipelines and is slow to read, and returns the
// length of the body.
func readLate(c *client, delay time.Duration) (int, error) {
	for end := time.Now().Add(delay); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err := io.WriteString(c, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			break
		}
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return int(n), err
}

// Guards against a last response that is cut because its caller reads late and has sent more: the close reset the connection.
func TestALastResponseIsDeliveredToACallerThatReadsLate(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			_, ln := startDrainable(t, &largeHandler{})
			c := dial(t, ln.Addr().String())
			c.send("GET /buffered HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			n, err := readLate(c, delay)
			assert.NilError(t, err)
			assert.Equal(t, n, bufferedBody)
		})
	}
}

// Guards against a last response that is cut because its caller reads slowly and has sent more.
func TestALastResponseIsDeliveredToACallerThatReadsSlowly(t *testing.T) {
	_, ln := startDrainable(t, &largeHandler{})
	c := dial(t, ln.Addr().String())
	c.send("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	n := 0
	for piece := make([]byte, 128<<10); ; time.Sleep(20 * time.Millisecond) {
		m, err := resp.Body.Read(piece)
		n += m
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		if n%(1<<20) < m {
			_, _ = io.WriteString(c, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n") // Fails once the host has closed the connection.
		}
	}
	assert.Equal(t, n, largeBody)
}

// Guards against a response that is cut because its connection counts as idle while its caller still reads.
func TestAnIdleTimeoutDoesNotCutAResponse(t *testing.T) {
	_, ln := startWithIdleTimeout(t, &largeHandler{}, 300*time.Millisecond)
	c := dial(t, ln.Addr().String())
	c.get("/large")
	time.Sleep(time.Second)
	c.get("/next")
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, int(n), largeBody)
	_, body := c.readResponse()
	assert.Equal(t, body, "/next")
}

// Guards against a response that is cut because a stop closes its connection as idle while its caller still reads.
func TestAStopDoesNotCutAResponseOnAConnectionThatSeemsIdle(t *testing.T) {
	s, ln := startDrainable(t, &largeHandler{})
	c := dial(t, ln.Addr().String())
	c.get("/large")
	time.Sleep(300 * time.Millisecond)
	s.Drain()
	_ = ln.Close()
	s.CloseIdle()
	time.Sleep(300 * time.Millisecond)
	c.get("/next")
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, int(n), largeBody)
	resp, body := c.readResponse()
	assert.Equal(t, body, "/next")
	assert.Assert(t, resp.Close)
	waitDone(t, s)
}

// Guards against an idle timeout that counts from the start of a long request: its caller lost the connection at once when it
// sent the next one.
func TestTheIdleTimeoutCountsFromTheLastResponse(t *testing.T) {
	const idleTimeout = 500 * time.Millisecond
	_, ln := startWithIdleTimeout(t, &largeHandler{wait: 400 * time.Millisecond}, idleTimeout)
	c := dial(t, ln.Addr().String())
	c.get("/wait")
	_, body := c.readResponse()
	assert.Equal(t, body, "/wait")
	time.Sleep(idleTimeout * 4 / 5) // Callers may use a connection again that has been idle for so long.
	c.get("/next")
	_, body = c.readResponse()
	assert.Equal(t, body, "/next")
}

// Guards against a caller that holds a connection open for good after its last response.
func TestAConnectionWhoseCallerDoesNotCloseItEnds(t *testing.T) {
	s, ln := startWithIdleTimeout(t, &largeHandler{}, 300*time.Millisecond)
	c := dial(t, ln.Addr().String())
	c.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	_, body := c.readResponse()
	assert.Equal(t, body, "/x")
	_ = ln.Close()
	for end := time.Now().Add(linger.CloseTimeout + 3*time.Second); time.Now().Before(end); {
		select {
		case <-s.Done:
			return
		case <-time.After(10 * time.Millisecond):
			_, _ = io.WriteString(c, "x") // What a caller sends after the end doesn't keep the connection.
		}
	}
	t.Fatal("the connection is kept though its caller has received everything")
}

// slowWrites is a connection whose caller takes a second to receive 256 KiB, by the clock of the test.
type slowWrites struct {
	net.Conn
	now      time.Time
	deadline time.Time
	written  int
}

func (c *slowWrites) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *slowWrites) Write(b []byte) (int, error) {
	for n := range b {
		if c.written++; c.written%(256<<10) == 0 {
			c.now = c.now.Add(time.Second)
		}
		if c.now.After(c.deadline) {
			return n, os.ErrDeadlineExceeded
		}
	}
	return len(b), nil
}

// Guards against a response that is cut because its caller, which receives it all the while, takes longer than one timeout.
func TestASlowCallerGetsALongResponse(t *testing.T) {
	slow := &slowWrites{now: time.Unix(1000, 0)}
	s := New(nil, nil, func() time.Time { return slow.now })
	c := newConn(s, slow)
	body := make([]byte, largeBody)
	assert.NilError(t, c.writeResponse(&Request{Method: "GET"}, Response{Status: 200, Body: body}, false))
	assert.Assert(t, slow.written > len(body))
}

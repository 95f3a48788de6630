package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startDrainable starts a server without timeouts whose shutdown the test controls.
func startDrainable(t *testing.T, h Handler) (*Server, net.Listener) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(h, func() Limits {
		return Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}, time.Now)
	go s.Serve(context.Background(), ln)
	t.Cleanup(func() { _ = ln.Close() })
	return s, ln
}

func waitDone(t *testing.T, s *Server) {
	t.Helper()
	select {
	case <-s.Done:
	case <-time.After(5 * time.Second):
		t.Fatal("the server did not stop")
	}
}

// Guards against a connection that never closes during a stop because its caller always has a request outstanding.
func TestAPipelinedConnectionTakesNoRequestAfterAStop(t *testing.T) {
	h := &handler{release: make(chan struct{}), started: make(chan string, 9)}
	s, ln := startDrainable(t, h)
	c := dial(t, ln.Addr().String())
	c.get("/wait1")
	c.get("/wait2")
	<-h.started
	<-h.started
	s.Drain()
	c.get("/late1")
	c.get("/late2")
	select {
	case path := <-h.started:
		t.Fatalf("%s was started during the stop", path)
	case <-time.After(100 * time.Millisecond):
	}
	close(h.release)
	resp, body := c.readResponse()
	assert.Equal(t, body, "/wait1")
	assert.Assert(t, !resp.Close)
	resp, body = c.readResponse()
	assert.Equal(t, body, "/wait2")
	assert.Assert(t, resp.Close)
	c.assertClosed()
	assert.Equal(t, len(h.started), 0)
	_ = ln.Close()
	waitDone(t, s)
}

// A request that has begun to arrive when a stop begins is the last one of its connection, also behind others.
func TestAStopAnswersAPipelinedRequestThatIsHalfRead(t *testing.T) {
	h := &handler{release: make(chan struct{}), started: make(chan string, 9)}
	s, ln := startDrainable(t, h)
	c := dial(t, ln.Addr().String())
	c.get("/wait")
	<-h.started
	c.send("GET /half HTTP/1.1\r\nHo")
	time.Sleep(50 * time.Millisecond)
	s.Drain()
	close(h.release)
	resp, body := c.readResponse()
	assert.Equal(t, body, "/wait")
	assert.Assert(t, !resp.Close)
	c.send("st: h\r\n\r\nGET /late HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, body = c.readResponse()
	assert.Equal(t, body, "/half")
	assert.Assert(t, resp.Close)
	c.assertClosed()
	_ = ln.Close()
	waitDone(t, s)
}

// Callers that keep pipelining through a stop get an answer to each request that was started.
func TestEachStartedRequestIsAnsweredThroughAStop(t *testing.T) {
	h := &handler{started: make(chan string, 10_000)}
	s, ln := startDrainable(t, h)
	answered := make(chan int)
	const callers = 20
	for range callers {
		c := dial(t, ln.Addr().String())
		go func() {
			for {
				if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		go func() {
			n := 0
			for {
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				n++
			}
			answered <- n
		}()
	}
	time.Sleep(100 * time.Millisecond)
	s.Drain()
	time.Sleep(50 * time.Millisecond)
	_ = ln.Close()
	s.CloseIdle()
	total := 0
	for range callers {
		total += <-answered
	}
	waitDone(t, s)
	assert.Equal(t, len(h.started), total)
}

// Guards against a connection that stays open after its last response, when the caller waits for its end.
func TestAConnectionEndsAfterItsLastResponse(t *testing.T) {
	_, ln := startDrainable(t, &handler{})
	for range 300 {
		c := dial(t, ln.Addr().String())
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		c.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		_, body := c.readResponse()
		assert.Equal(t, body, "/x")
		_, err := c.r.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		_ = c.Close()
	}
}

// slowListener hands over its connection only when the test allows it, as if accepting had been delayed.
type slowListener struct {
	net.Listener
	accepted chan net.Conn
	handOver chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
		<-l.handOver
	}
	return c, err
}

// Guards against a connection that is accepted while a stop closes idle ones: it stayed open until the process exited, and
// requests on it were cut off.
func TestAConnectionAcceptedDuringTheCloseOfIdleOnesIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	slow := &slowListener{Listener: ln, accepted: make(chan net.Conn), handOver: make(chan struct{})}
	s := New(&handler{}, func() Limits {
		return Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}, time.Now)
	go s.Serve(context.Background(), slow)
	c := dial(t, ln.Addr().String())
	<-slow.accepted
	s.Drain()
	_ = ln.Close()
	s.CloseIdle()
	close(slow.handOver)
	c.assertClosed()
	waitDone(t, s)
}

// A request that has arrived but isn't read yet when a stop closes idle connections is answered; afterwards the connection is
// closed without reading, so that callers may send what crosses the close again.
func TestARequestThatArrivesBeforeIdleConnectionsCloseIsAnswered(t *testing.T) {
	s, ln := startDrainable(t, &handler{})
	var callers []*client
	for range 50 {
		callers = append(callers, dial(t, ln.Addr().String()))
	}
	time.Sleep(20 * time.Millisecond)
	s.Drain()
	for _, c := range callers {
		c.get("/x")
	}
	s.CloseIdle()
	_ = ln.Close()
	for _, c := range callers {
		resp, body := c.readResponse()
		assert.Equal(t, body, "/x")
		assert.Assert(t, resp.Close)
	}
	waitDone(t, s)
}

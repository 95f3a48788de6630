package httpd

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOnlyRequestsInFrontOfAReadyResponseHoldItBack(t *testing.T) {
	for _, c := range []struct{ name, line, holding string }{
		{"none", "", ""},
		{"one that runs", "r", "-"},
		{"all run", "rrr", "---"},
		{"all are ready", "...", "---"},
		{"one holds back", "r.", "x-"},
		{"some hold back, the last doesn't", "r.r.r", "x-x--"},
		{"some hold back one", ".rr.rr", "-xx---"},
		{"ready ones in front", "..r", "---"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var line []*exchange
			for _, state := range c.line {
				line = append(line, &exchange{ready: state == '.'})
			}
			marks := []byte(strings.Repeat("-", len(line)))
			for _, ex := range holdingBack(line) {
				for i := range line {
					if line[i] == ex {
						marks[i] = 'x'
					}
				}
			}
			assert.Equal(t, string(marks), c.holding)
		})
	}
}

var errYield = errors.New("the server yields")

// gateHandler responds to a request when the gate of its path opens, or when its context ends, then with the cause.
type gateHandler struct {
	started chan string
	gates   map[string]chan struct{}
}

func (h *gateHandler) Serve(ctx context.Context, r *Request) Response {
	h.started <- r.Target
	select {
	case <-h.gates[r.Target]:
		return Response{Status: http.StatusOK, Body: []byte(r.Target)}
	case <-ctx.Done():
		return Response{Status: http.StatusBadGateway, Body: []byte(r.Target + ": " + context.Cause(ctx).Error())}
	}
}

// newGateHandler returns a handler whose gates are closed.
func newGateHandler(paths ...string) *gateHandler {
	h := &gateHandler{started: make(chan string, len(paths)), gates: map[string]chan struct{}{}}
	for _, path := range paths {
		h.gates[path] = make(chan struct{})
	}
	return h
}

// send sends the requests in their order and returns when all have been started.
func (h *gateHandler) send(c *client, paths ...string) {
	for _, path := range paths {
		c.get(path)
	}
	for range paths {
		<-h.started
	}
}

func (c *client) assertResponse(status int, want string) {
	c.t.Helper()
	resp, body := c.readResponse()
	assert.Equal(c.t, resp.StatusCode, status)
	assert.Equal(c.t, body, want)
}

// assertSilence checks that no response is written.
func (c *client) assertSilence() {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := c.r.Peek(1)
	assert.ErrorType(c.t, err, isNetError)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
}

// Guards against ready responses that wait, until hardly any time is left to write them, for a request that is given up.
func TestAServerThatYieldsGivesUpWhatHoldsBackAReadyResponse(t *testing.T) {
	h := newGateHandler("/a", "/b", "/c", "/d", "/e")
	s, ln := startDrainable(t, h)
	c := dial(t, ln.Addr().String())
	h.send(c, "/a", "/b", "/c", "/d", "/e")
	s.Drain()
	close(h.gates["/b"])
	c.assertSilence()
	s.Yield(errYield)
	c.assertResponse(http.StatusBadGateway, "/a: the server yields")
	c.assertResponse(http.StatusOK, "/b")
	c.assertSilence() // The others run on, since they hold back nothing.
	close(h.gates["/d"])
	c.assertResponse(http.StatusBadGateway, "/c: the server yields")
	c.assertResponse(http.StatusOK, "/d")
	c.assertSilence()
	close(h.gates["/e"])
	c.assertResponse(http.StatusOK, "/e")
	c.assertClosed()
	_ = ln.Close()
	waitDone(t, s)
}

// Requests of another connection, and a lone request, hold back nothing.
func TestAServerThatYieldsLetsOtherConnectionsRun(t *testing.T) {
	h := newGateHandler("/a", "/b", "/lone")
	s, ln := startDrainable(t, h)
	c, lone := dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	h.send(c, "/a", "/b")
	h.send(lone, "/lone")
	s.Yield(errYield)
	close(h.gates["/b"])
	c.assertResponse(http.StatusBadGateway, "/a: the server yields")
	c.assertResponse(http.StatusOK, "/b")
	lone.assertSilence()
	close(h.gates["/lone"])
	lone.assertResponse(http.StatusOK, "/lone")
}

// A refusal is a response too: the caller learns of it although a request in front of it runs on.
func TestAServerThatYieldsDeliversARefusalBehindARunningRequest(t *testing.T) {
	h := newGateHandler("/a")
	s, ln := startDrainable(t, h)
	c := dial(t, ln.Addr().String())
	h.send(c, "/a")
	s.Yield(errYield)
	c.send("nonsense\r\n\r\n")
	c.assertResponse(http.StatusBadGateway, "/a: the server yields")
	resp, _ := c.readResponse()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

// Guards against a connection that was accepted last and doesn't know that the server yields.
func TestAConnectionThatIsAcceptedLateYieldsToo(t *testing.T) {
	h := newGateHandler("/a", "/b")
	s, ln := startDrainable(t, h)
	s.Yield(errYield)
	c := dial(t, ln.Addr().String())
	h.send(c, "/a", "/b")
	close(h.gates["/b"])
	c.assertResponse(http.StatusBadGateway, "/a: the server yields")
	c.assertResponse(http.StatusOK, "/b")
}

// Guards against a connection whose line grows with each request that it serves.
func TestALineKeepsNoRequestThatWasAnswered(t *testing.T) {
	c := &conn{server: &Server{}}
	exchanges := []*exchange{{}, {}, {}}
	for _, ex := range exchanges {
		c.enter(context.Background(), ex)
	}
	c.settle(exchanges[1])
	assert.Equal(t, len(c.line), 3)
	c.settle(exchanges[0])
	assert.Equal(t, len(c.line), 1)
	c.settle(exchanges[2])
	assert.Equal(t, len(c.line), 0)
}

package httpd

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an exit that resets a connection, and so drops an answer that the kernel holds for a caller that reads late,
// because later requests of that caller are unread.
func TestAnExitDoesNotResetAConnectionForRequestsThatItDoesNotRead(t *testing.T) {
	s, ln := startDrainable(t, &largeHandler{wait: time.Second})
	c := dial(t, ln.Addr().String())
	c.get("/buffered")
	time.Sleep(200 * time.Millisecond)
	c.get("/wait")
	time.Sleep(200 * time.Millisecond)
	s.Drain()
	c.send(strings.Repeat("GET /next HTTP/1.1\r\nHost: h\r\n\r\n", 2*readBufferSize/30))
	time.Sleep(200 * time.Millisecond)
	_ = ln.Close()
	s.Close()
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err, "after %d bytes", n)
	assert.Equal(t, int(n), bufferedBody)
}

// Guards against requests that run on after their caller has left, because a request that isn't read hides its leaving.
func TestACallerThatLeavesDuringAStopCancelsItsRequests(t *testing.T) {
	h := &handler{release: make(chan struct{}), started: make(chan string, 1)}
	s, ln := startDrainable(t, h)
	c := dial(t, ln.Addr().String())
	c.get("/wait")
	<-h.started
	s.Drain()
	c.get("/next")
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	_ = ln.Close()
	waitDone(t, s)
	assert.Equal(t, h.canceled.Load(), int64(1))
}

// The report of a close says which requests are unanswered, what is undelivered, and who closed first.
func TestACloseReportsWhatItsCallerDidNotGet(t *testing.T) {
	type report struct {
		last, unanswered string
		undelivered      bool
		byCaller         bool
	}
	for name, c := range map[string]struct {
		path  string
		leave bool
		want  report
	}{
		"unanswered":  {path: "/wait", want: report{unanswered: "/wait"}},
		"undelivered": {path: "/buffered", want: report{last: "/buffered", undelivered: true}},
		"delivered":   {path: "/x", want: report{last: "/x"}},
		"by caller":   {path: "/x", leave: true, want: report{last: "/x", byCaller: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s, ln := startDrainable(t, &largeHandler{wait: 2 * time.Second})
			reports := make(chan report, 1)
			s.OnClosed = func(c Closed) {
				r := report{undelivered: c.Unacknowledged > 0, byCaller: c.ByCaller}
				if c.Last != nil {
					r.last = c.Last.Target
				}
				for _, req := range c.Unanswered {
					r.unanswered += req.Target
				}
				reports <- r
			}
			caller := dial(t, ln.Addr().String())
			caller.get(c.path)
			time.Sleep(300 * time.Millisecond)
			_ = ln.Close()
			if c.leave {
				_ = caller.Close()
			} else {
				s.Close()
			}
			assert.Equal(t, <-reports, c.want)
			waitDone(t, s)
		})
	}
}

package dialer

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Guards against a job that reaches an upstream which left while the connection to it was opened: that may take over a second, on top of the age
// of the news by which the upstream was chosen.
func TestAnUpstreamThatLeftDuringTheDialGetsNothing(t *testing.T) {
	got := make(chan int, 2)
	u := serveConns(t, func(c *net.TCPConn) {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		b, _ := io.ReadAll(c)
		got <- len(b)
	})
	s := New(testNames, time.Now)
	s.Usable = func(asked *roster.Upstream) bool { return asked != u }
	r := send(s, u, "a")
	assert.Assert(t, !r.Sent && r.Left && !r.Late, "%+v", r)
	assert.Equal(t, <-got, 0)
}

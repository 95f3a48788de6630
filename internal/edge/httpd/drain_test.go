package httpd

import (
	"context"
	"io"
	"net"
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

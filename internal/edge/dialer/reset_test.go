package dialer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// startEarly starts an upstream that answers each upload once it has read its header, with a body that ends with the connection, and
// that ends the connection in the given way without reading on.
func startEarly(t *testing.T, body string, end func(c *net.TCPConn)) *roster.Upstream {
	return serveConns(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\n\r\n%s", r.Header.Get("X-Id"), body)
		end(c)
	})
}

// upload sends a job with a body of the given size.
func upload(s *Sender, u *roster.Upstream, size int) pipe.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	job := &pipe.Job{
		ID: "7", Method: http.MethodPost, Host: "h.example", Path: "/", Deadline: time.Now().Add(10 * time.Second),
		Header: http.Header{"X-Id": {"7"}}, Body: bytes.Repeat([]byte("u"), size),
	}
	return s.Send(ctx, time.Now(), job, u)
}

// Guards against a part of a body that passes for the whole one because the reset was reported to the side that writes the upload.
func TestABodyThatEndsWithAResetDuringAnUploadIsNotComplete(t *testing.T) {
	const tries = 30
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, size := range []int{0, 64 << 10, 8 << 20} {
			t.Run(fmt.Sprintf("%d bytes, after %s", size, pause), func(t *testing.T) {
				u := startEarly(t, "part", func(c *net.TCPConn) {
					time.Sleep(pause)
					_ = c.SetLinger(0)
				})
				s := New(testNames, time.Now)
				taken := 0
				for range tries {
					if r := upload(s, u, size); r.Complete {
						taken++
					}
				}
				assert.Equal(t, taken, 0, "of %d parts of a body taken for the whole one", tries)
			})
		}
	}
}

// Guards against refusing the whole answer of an upstream that closes its side before it has read a long upload.
func TestABodyThatEndsInOrderDuringAnUploadIsComplete(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"half closed": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(300 * time.Millisecond)
		},
		"closed after a half close": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		},
		"reads on": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = c.WriteTo(discard{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := startEarly(t, "whole", end)
			s := New(testNames, time.Now)
			for range 5 {
				r := upload(s, u, 8<<20)
				assert.Assert(t, r.Complete, "%v", r.Err)
				assert.Equal(t, string(r.Answer.Body), "whole")
			}
		})
	}
}

// discard drops what is written to it, slowly.
type discard struct{}

// Write drops b.
func (discard) Write(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(b), nil
}

package httpd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/held"
)

func post(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
}

// Guards against large bodies that together take more memory than the process may use, so that it is killed with all its
// requests.
func TestBodiesTogetherTakeNoMoreMemoryThanAllowed(t *testing.T) {
	h := &handler{release: make(chan struct{}), started: make(chan string, 9)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := New(h, func() Limits {
		return Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 4 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}, time.Now)
	s.Held = held.NewBudget(5 << 20) // Bodies may take 3.25 MB of it.
	refused := make(chan string, 9)
	s.OnRefused = func(r *Request, status int) { refused <- fmt.Sprint(r.Target, " ", status) }
	go s.Serve(context.Background(), ln)

	first, second, small, chunked := dial(t, ln.Addr().String()), dial(t, ln.Addr().String()), dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	first.send(post("/wait", 2<<20))
	<-h.started
	second.send(post("/large", 2<<20))
	resp, _ := second.readResponse()
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, <-refused, "/large 503")
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Assert(t, resp.Close)
	chunked.send(fmt.Sprintf("POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", 2<<20, strings.Repeat("x", 2<<20)))
	resp, _ = chunked.readResponse()
	assert.Equal(t, resp.StatusCode, 503)
	small.send(post("/small", held.FreeBytes-1))
	_, body := small.readResponse()
	assert.Equal(t, body, "/small")
	close(h.release)
	_, body = first.readResponse()
	assert.Equal(t, body, "/wait")
	first.send(post("/alone", 4<<20)) // More than all may take together, but within the limit of a body.
	_, body = first.readResponse()
	assert.Equal(t, body, "/alone")
	for range 5 { // Memory is returned when a request has ended.
		first.send(post("/again", 2<<20))
		_, body = first.readResponse()
		assert.Equal(t, body, "/again")
	}
	for range 500 {
		if s.Held.Used() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are still counted", s.Held.Used())
}

// A caller that declares a long body but sends little of it takes little memory.
func TestADeclaredLengthTakesNoMemoryUntilBytesArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := rapid.Int64Range(-1, 64<<20).Draw(t, "declared")
		size := int64(0)
		for size <= declared || declared < 0 && size < 64<<20 {
			next := nextSize(size, declared)
			if next <= size {
				t.Fatalf("a buffer of %d bytes doesn't grow: %d", size, next)
			}
			if size < trustedBody && next > max(2*size, 2*held.FreeBytes) {
				t.Fatalf("%d bytes for %d that have arrived", next, size)
			}
			size = next
		}
	})
}

package dialer

import (
	"context"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/held"
	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/edge/strict"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// endlessResponses are responses that never end: the first part, and what is repeated after it.
var endlessResponses = map[string][2]string{
	"noise":              {"", "\x00\xff\x7f#"},
	"status line":        {"HTTP/1.1 200 ", "OK"},
	"header lines":       {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	"one header line":    {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
	"informational":      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"other ids":          {"", "HTTP/1.1 200 OK\r\nX-Id: z\r\nX-Sig: s\r\nContent-Length: 2\r\n\r\nok"},
	"body to the end":    {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sig: s\r\n\r\n", "0123456789"},
	"body with length":   {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sig: s\r\nContent-Length: 9000000000\r\n\r\n", "0123456789"},
	"chunks":             {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n"},
	"chunk extension":    {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x"},
	"trailers":           {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	"empty header lines": {"HTTP/1.1 200 OK\r\n", " \r\n"},
}

// startEndless starts an upstream that answers each connection without end: fast, or a byte at a time.
func startEndless(t *testing.T, response [2]string, slow bool) *roster.Upstream {
	return serveConns(t, func(c *net.TCPConn) {
		rest := strings.Repeat(response[1], 4096)
		if slow {
			rest = response[1]
		}
		_, err := c.Write([]byte(response[0]))
		for err == nil {
			_, err = c.Write([]byte(rest))
			if slow {
				time.Sleep(time.Millisecond)
			}
		}
	})
}

// sendFor sends a job that runs at most once, whose answers may take the whole budget; the job has ended when it returns.
func sendFor(s *Sender, b *held.Budget, u *roster.Upstream, limit time.Duration) pipe.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	job := &pipe.Job{ID: "a", Method: "GET", Host: "h", Path: "/", Deadline: time.Now().Add(limit), Once: true, Held: b.NewAccount()}
	return s.Send(ctx, time.Now(), job, u)
}

// Whatever an upstream sends without end, the job must end by its deadline without an answer, and the connection must not
// be used again.
func TestAResponseWithoutEndEndsInTime(t *testing.T) {
	for name, response := range endlessResponses {
		for _, slow := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				u := startEndless(t, response, slow)
				s := New(testNames, time.Now)
				budget := held.NewBudget(64 << 20)
				begin := time.Now()
				r := sendFor(s, budget, u, time.Second)
				assert.Assert(t, time.Since(begin) < 3*time.Second)
				assert.Assert(t, !r.Complete && r.Sent && r.Err != nil)
				assert.Assert(t, s.pool.get(time.Now(), poolKey(u)) == nil)
				assert.Equal(t, budget.Used(), int64(0))
			})
		}
	}
}

// liveBytes returns the bytes of the objects that a garbage collection finds in use. What is allocated between the collection and a
// later look at the heap doesn't count, since it is mostly garbage again.
func liveBytes() uint64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}

// 400 responses without end at the same time must not take more memory than the host allows for responses.
func TestResponsesWithoutEndTakeBoundedMemory(t *testing.T) {
	const concurrent, allowed = 400, 16 << 20
	s := New(testNames, time.Now)
	budget := held.NewBudget(allowed)
	var wg sync.WaitGroup
	before := liveBytes()
	for _, name := range []string{"body to the end", "header lines", "chunks", "one header line"} {
		u := startEndless(t, endlessResponses[name], false)
		for range concurrent / 4 {
			wg.Go(func() { sendFor(s, budget, u, 2*time.Second) })
		}
	}
	peak := uint64(0)
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, budget.Used() <= allowed)
		peak = max(peak, liveBytes())
	}
	wg.Wait()
	// Growing a body keeps its old and new buffer for a moment; each connection has its buffers, and each header its limit.
	limit := before + 2*allowed + concurrent*(4*strict.MaxHead+held.FreeBytes)
	t.Logf("%d MB at the peak, %d MB before", peak>>20, before>>20)
	assert.Assert(t, peak < limit, "%d MB at the peak", peak>>20)
}

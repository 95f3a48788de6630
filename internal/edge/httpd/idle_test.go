package httpd

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"
)

// idleRequest has the header of a usual caller.
const idleRequest = "GET /idle/path HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 0923624584a8f285\r\nX-Deadline: 1500\r\nCookie: k=some-object-17\r\n" +
	"User-Agent: caller/1.0\r\nAccept: */*\r\nAccept-Encoding: gzip\r\n\r\n"

// inUse returns the bytes of the heap and of stacks that are in use.
func inUse() (heap, stacks float64) {
	var m runtime.MemStats
	for range 3 { // Pools drop what they hold after two cycles, and stacks shrink.
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// BenchmarkIdleConnections measures what connections take that have served a request and wait for the next one; what the callers'
// side takes, a socket without buffers, is included.
func BenchmarkIdleConnections(b *testing.B) {
	const conns = 2000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	s := New(&handler{}, hastyLimits, time.Now)
	go s.Serve(context.Background(), ln)
	for b.Loop() {
		heapBefore, stacksBefore := inUse()
		callers := make([]net.Conn, conns)
		var response [512]byte
		for i := range callers {
			if callers[i], err = net.Dial("tcp", ln.Addr().String()); err != nil {
				b.Fatal(err)
			}
			_, _ = io.WriteString(callers[i], idleRequest)
			if _, err := callers[i].Read(response[:]); err != nil {
				b.Fatal(err)
			}
		}
		heap, stacks := inUse()
		b.ReportMetric((heap-heapBefore)/conns, "heap-bytes/conn")
		b.ReportMetric((stacks-stacksBefore)/conns, "stack-bytes/conn")
		for _, c := range callers {
			_ = c.Close()
		}
		for len(s.connections()) > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// BenchmarkRequest measures a request on an open connection.
func BenchmarkRequest(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	s := New(&handler{}, hastyLimits, time.Now)
	go s.Serve(context.Background(), ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	var response [512]byte
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(c, idleRequest)
		if _, err := c.Read(response[:]); err != nil {
			b.Fatal(err)
		}
	}
}

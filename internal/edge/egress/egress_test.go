package egress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/reply"
)

// writeRawAndClose writes raw bytes to the connection and closes it.
func writeRawAndClose(w http.ResponseWriter, raw string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, raw)
	_ = c.Close()
}

func job(addr string) *pipe.Job {
	return &pipe.Job{
		ID: "job-1", Method: http.MethodGet, Path: "/x", Once: true,
		Upstream: pipe.UpstreamRef{ID: "u", Address: strings.TrimPrefix(addr, "http://"), Conns: 2},
		Started:  time.Now(), Deadline: time.Now().Add(2 * time.Second),
	}
}

func TestOutcomesOfAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		want   string
	}{
		"complete":    {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, "answered "},
		"matching id": {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderID, "job-1") }, "answered "},
		"wrong id":    {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderID, "job-2") }, "unknown answer-mismatch"},
		"no length":   {func(w http.ResponseWriter, _ *http.Request) { writeRawAndClose(w, "HTTP/1.1 200 OK\r\n\r\nhalf") }, "unknown answer-mismatch"},
		"truncated body": {func(w http.ResponseWriter, _ *http.Request) {
			writeRawAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		}, "unknown connection-lost"},
		"truncated chunk": {func(w http.ResponseWriter, _ *http.Request) {
			writeRawAndClose(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf")
		}, "unknown connection-lost"},
		"wrong digest": {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderDigest, "sha-256=:AAAA:") }, "unknown answer-mismatch"},
		"matching digest": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderDigest, "sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:")
		}, "answered "},
		"too large":               {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, MaxResponseBody+1)) }, "unknown answer-mismatch"},
		"shed":                    {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "1"); w.WriteHeader(503) }, "not-run shed"},
		"503 without Retry-After": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, "answered "},
		"status 000": {func(w http.ResponseWriter, _ *http.Request) {
			writeRawAndClose(w, "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n")
		}, "unknown answer-mismatch"},
		"status 600": {func(w http.ResponseWriter, _ *http.Request) {
			writeRawAndClose(w, "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n")
		}, "unknown answer-mismatch"},
		"blank in a field's name": {func(w http.ResponseWriter, _ *http.Request) {
			writeRawAndClose(w, "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n")
		}, "unknown answer-mismatch"},
		"malformed 503": {func(w http.ResponseWriter, _ *http.Request) {
			writeRawAndClose(w, "HTTP/1.1 503 Busy\r\nX Odd: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n")
		}, "unknown answer-mismatch"},
		"no response":         {func(w http.ResponseWriter, _ *http.Request) { writeRawAndClose(w, "") }, "unknown connection-lost"},
		"no response in time": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "unknown expired"},
	} {
		t.Run(name, func(t *testing.T) {
			up := httptest.NewServer(c.answer)
			defer up.Close()
			j := job(up.URL)
			life := 30 * time.Second
			if name == "no response in time" {
				life = 300 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), life)
			defer cancel()
			j.Reply = New().Send(ctx, j)
			reply.Filter{}.Run(ctx, time.Now(), j)
			assert.Equal(t, fmt.Sprint(j.Outcome.Kind, " ", j.Outcome.Reason), c.want)
		})
	}
}

func TestNothingWasSentIfNoConnectionWasMade(t *testing.T) {
	up := httptest.NewServer(http.NotFoundHandler())
	up.Close()
	j := job(up.URL)
	j.Reply = New().Send(context.Background(), j)
	reply.Filter{}.Run(context.Background(), time.Now(), j)
	assert.Equal(t, j.Outcome.Kind, pipe.NotRun)
}

// TestTheTransportNeverSendsAgain guards against net/http's own retry: it resends a GET if a reused connection breaks
// before the response.
func TestTheTransportNeverSendsAgain(t *testing.T) {
	var requests atomic.Int64
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			writeRawAndClose(w, "")
		}
	}))
	defer up.Close()
	s := New()
	for range 2 {
		j := job(up.URL)
		j.Reply = s.Send(context.Background(), j)
	}
	assert.Equal(t, requests.Load(), int64(2))
}

func TestALateJobReturnsAfterTheCancellationGrace(t *testing.T) {
	canceled := make(chan time.Time, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled <- time.Now()
	}))
	defer srv.Close()
	j := job(srv.Listener.Addr().String())
	deadline := time.Now().Add(50 * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	r := New().Send(ctx, j)
	assert.Assert(t, r.Late && r.Sent, "%+v", r)
	assert.Assert(t, !time.Now().Before(deadline.Add(cancelGrace)), "the slot would be released too early")
	t.Logf("the upstream saw the cancellation %s after the deadline", (<-canceled).Sub(deadline))
}

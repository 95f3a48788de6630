package dialer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

var testNames = HeaderNames{RequestID: "X-Id", Deadline: "X-Left", UpstreamID: "X-Target", Signature: "X-Sig", NotExecuted: "X-Not", Load: "X-Load", Leaving: "X-Leaving"}

// startUpstream starts an upstream that writes the bytes returned by respond as its response to each request; a trailing "!"
// is left out and makes it close the connection.
func startUpstream(t *testing.T, respond func(n int, r *http.Request) string) *roster.Upstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					break
				}
				text := respond(n, r)
				n++
				end := strings.HasSuffix(text, "!")
				_, _ = c.Write([]byte(strings.TrimSuffix(text, "!")))
				if end {
					break
				}
			}
			_ = c.Close()
		}
	}()
	return &roster.Upstream{ID: "u1", Address: ln.Addr().String(), Slots: 2}
}

// serveConns starts an upstream that handles each connection in a goroutine of its own.
func serveConns(t *testing.T, handle func(c *net.TCPConn)) *roster.Upstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return &roster.Upstream{ID: "u1", Address: ln.Addr().String(), Slots: 2}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(s *Sender, u *roster.Upstream, id string) pipe.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	job := &pipe.Job{
		ID: id, Method: http.MethodGet, Host: "h.example", Path: "/a/b?c=%20d", Deadline: time.Now().Add(5 * time.Second),
		Header: http.Header{"X-Id": {id}},
	}
	return s.Send(ctx, time.Now(), job, u)
}

func TestSendMapsTheRequestAndTheResponse(t *testing.T) {
	var got *http.Request
	u := startUpstream(t, func(_ int, r *http.Request) string {
		got = r
		return strings.Replace(okResponse("7", "whole"), "X-Sig", "X-Load: 1, 2,3\r\nX-Sig", 1)
	})
	s := New(testNames, time.Now)
	r := send(s, u, "7")
	assert.Assert(t, r.Complete && r.Sent)
	assert.Equal(t, string(r.Answer.Body), "whole")
	assert.DeepEqual(t, *r.Report, pipe.LoadReport{Running: 1, Waiting: 2, Slots: 3})
	assert.Equal(t, got.RequestURI, "/a/b?c=%20d")
	assert.Equal(t, got.Header.Get("X-Target"), "u1")
	assert.Equal(t, got.Header.Get("User-Agent"), "")
	assert.Equal(t, got.Host, "h.example")
}

func TestOnlyCompleteSignedResponsesToTheJobAreAccepted(t *testing.T) {
	for _, c := range []struct {
		name, answer             string
		whole, shed, moved, sent bool
	}{
		{name: "complete", answer: okResponse("7", "body"), whole: true, sent: true},
		{name: "truncated body", answer: "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 9\r\n\r\nbod!", sent: true},
		{name: "truncated chunk", answer: "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbod!", sent: true},
		{name: "no length, delimited by close", answer: "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\n\r\nbody!", whole: true, sent: true},
		{name: "no signature", answer: "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 1\r\n\r\nx", sent: true},
		{name: "no id", answer: "HTTP/1.1 200 OK\r\nX-Sig: s\r\nContent-Length: 1\r\n\r\nx", sent: true},
		{name: "response to another request, then to the job", answer: okResponse("6", "late") + okResponse("7", "body"), whole: true, sent: true},
		{name: "response to another request only", answer: okResponse("6", "late") + "!", sent: true},
		{name: "not HTTP", answer: "\x00\x01garbage\r\n\r\n!", sent: true},
		{name: "empty response", answer: "!", sent: true},
		{name: "server error", answer: "HTTP/1.1 500 Oops\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n", whole: true, sent: true},
		{name: "shed", answer: "HTTP/1.1 503 Busy\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n", shed: true, sent: true},
		{name: "503 without the not-executed header", answer: "HTTP/1.1 503 Busy\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n", whole: true, sent: true},
		{name: "misdirected to another upstream", answer: "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", moved: true, sent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, func(int, *http.Request) string { return c.answer })
			r := send(New(testNames, time.Now), u, "7")
			assert.Equal(t, r.Complete, c.whole, "%v", r.Err)
			assert.Equal(t, r.Shed, c.shed)
			assert.Equal(t, r.AddressReused, c.moved)
			assert.Equal(t, r.Sent, c.sent)
			assert.Assert(t, !r.Crashed)
		})
	}
}

func TestBytesAfterAResponseAreDiscarded(t *testing.T) {
	u := startUpstream(t, func(n int, r *http.Request) string {
		if n == 0 {
			return okResponse("1", "first") + okResponse("1", "extra")
		}
		return okResponse(r.Header.Get("X-Id"), "own")
	})
	s := New(testNames, time.Now)
	assert.Equal(t, string(send(s, u, "1").Answer.Body), "first")
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, string(send(s, u, "2").Answer.Body), "own")
}

func TestAClosedIdleConnectionFailsNoJob(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request) string { return okResponse(r.Header.Get("X-Id"), "b") + "!" })
	s := New(testNames, time.Now)
	for _, id := range []string{"1", "2", "3"} {
		r := send(s, u, id)
		assert.Assert(t, r.Complete, "%s: %v", id, r.Err)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestAConnectionIsNotReusedForAnotherIncarnation(t *testing.T) {
	opened := 0
	u := startUpstream(t, func(_ int, r *http.Request) string { return okResponse(r.Header.Get("X-Id"), "b") })
	s := New(testNames, time.Now)
	for _, born := range []int64{1, 1, 2} {
		v := *u
		v.Born = born
		if r := send(s, &v, "1"); r.DialTime > 0 {
			opened++
		}
	}
	assert.Equal(t, opened, 2)
}

func TestACrashWhileRunningDiffersFromAnUnreachableUpstream(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_ = ln.Close()
		_ = c.Close()
	}()
	s := New(testNames, time.Now)
	r := send(s, &roster.Upstream{ID: "u", Address: addr}, "1")
	assert.Assert(t, r.Sent && r.Crashed, "%v", r.Err)
	r = send(s, &roster.Upstream{ID: "u", Address: addr}, "2")
	assert.Assert(t, !r.Sent && !r.Crashed)
}

func TestACallerThatDisconnectsCancelsItsRequest(t *testing.T) {
	connClosed := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		_, _ = http.ReadRequest(br)
		_, _ = br.ReadByte()
		close(connClosed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	job := &pipe.Job{ID: "1", Method: http.MethodGet, Host: "h", Path: "/", Deadline: time.Now().Add(time.Minute)}
	r := New(testNames, time.Now).Send(ctx, time.Now(), job, &roster.Upstream{ID: "u", Address: ln.Addr().String()})
	assert.Assert(t, r.Sent && r.Late)
	select {
	case <-connClosed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the upstream was not closed")
	}
}

// What an upstream asks of its callers counts in each response, also in one that rejects the job.
func TestLeavingAndRetryAfterAreReadFromAnyResponse(t *testing.T) {
	for _, c := range []struct {
		name, head string
		leaving    bool
		retryAfter time.Duration
	}{
		{"none", "200 OK\r\nX-Id: 7\r\nX-Sig: s", false, 0},
		{"leaving", "200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-Leaving: 1", true, 0},
		{"leaving in a rejection", "503 Busy\r\nX-Id: 7\r\nX-Not: 1\r\nX-Leaving: 1\r\nRetry-After: 2", true, 2 * time.Second},
		{"leaving at a reused address", "421 Other\r\nX-Leaving: 1", true, 0},
		{"a fraction of a second", "503 Busy\r\nX-Id: 7\r\nX-Not: 1\r\nRetry-After: 0.25", false, 250 * time.Millisecond},
		{"an endless time", "503 Busy\r\nX-Id: 7\r\nX-Not: 1\r\nRetry-After: 1e300", false, maxRetryAfter},
		{"a malformed time", "503 Busy\r\nX-Id: 7\r\nX-Not: 1\r\nRetry-After: NaN", false, 0},
		{"a negative time", "503 Busy\r\nX-Id: 7\r\nX-Not: 1\r\nRetry-After: -3", false, 0},
		{"only a 503 asks to wait", "500 Failed\r\nX-Id: 7\r\nRetry-After: 2", false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, func(int, *http.Request) string { return "HTTP/1.1 " + c.head + "\r\nContent-Length: 0\r\n\r\n" })
			r := send(New(testNames, time.Now), u, "7")
			assert.Equal(t, r.Leaving, c.leaving)
			assert.Equal(t, r.RetryAfter, c.retryAfter)
		})
	}
}

// startRepeater starts an upstream that sends a second copy of its first response: after a pause, or when it reads the next
// request on the same connection.
func startRepeater(t *testing.T, pause time.Duration, copyOf func(id string) string) *roster.Upstream {
	return serveConns(t, func(c *net.TCPConn) {
		br := bufio.NewReader(c)
		second := ""
		for n := 0; ; n++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			if n == 1 && pause == 0 {
				_, _ = c.Write([]byte(second[:len(second)/2]))
				time.Sleep(10 * time.Millisecond)
				_, _ = c.Write([]byte(second[len(second)/2:]))
			}
			_, _ = c.Write([]byte(okResponse(id, "answer to "+id)))
			if second = copyOf(id); n == 0 && pause > 0 {
				time.Sleep(pause)
				_, _ = c.Write([]byte(second))
			}
		}
	})
}

// A second copy of an answer must never become the answer to the next request, nor say that it did not run.
func TestASecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for name, copyOf := range map[string]func(id string) string{
		"with its id": func(id string) string { return okResponse(id, "answer to "+id) },
		"without an id": func(id string) string {
			return strings.Replace(okResponse(id, "answer to "+id), "X-Id: "+id+"\r\n", "", 1)
		},
		"a failure without an id":   func(string) string { return "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n" },
		"a rejection without an id": func(string) string { return "HTTP/1.1 503 Busy\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n" },
	} {
		for _, pause := range []time.Duration{0, time.Microsecond, 5 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", pause), func(t *testing.T) {
				u := startRepeater(t, pause, copyOf)
				s := New(testNames, time.Now)
				r := send(s, u, "1")
				assert.Equal(t, string(r.Answer.Body), "answer to 1")
				for _, id := range []string{"2", "3", "4"} {
					r = send(s, u, id)
					assert.Assert(t, !r.Shed, "a request that may have run is taken for rejected")
					assert.Assert(t, !r.Complete || string(r.Answer.Body) == "answer to "+id, "%d %q", r.Answer.Status, r.Answer.Body)
					time.Sleep(2 * pause)
				}
			})
		}
	}
}

// Guards against an upstream that gets a caller's key, or a workspace that the caller chose.
func TestTheKeyNeverReachesAnUpstream(t *testing.T) {
	for _, c := range []struct {
		name       string
		workspaces bool
		workspace  string
		caller     http.Header
		want       []string // The values of the workspace header.
	}{
		{"key", true, "acme", http.Header{"X-Key": {"secret"}}, []string{"acme"}},
		{"repeated key", true, "acme", http.Header{"X-Key": {"secret", "secret"}}, []string{"acme"}},
		{"caller's own workspace header", true, "acme", http.Header{"X-Key": {"secret"}, "X-Space": {"other", "another"}}, []string{"acme"}},
		{"a name with a space before the colon", true, "acme", http.Header{"X-Key ": {"secret"}, "X-Space ": {"other"}}, []string{"acme"}},
		{"public route", true, "", http.Header{"X-Key": {"secret"}, "X-Space": {"other"}}, nil},
		{"policy without workspaces", false, "", http.Header{"X-Space": {"other"}}, []string{"other"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got *http.Request
			u := startUpstream(t, func(_ int, r *http.Request) string {
				got = r
				return okResponse("7", "whole")
			})
			names := testNames
			names.Key, names.Workspace = "X-Key", "X-Space"
			c.caller.Set("X-Id", "7")
			job := &pipe.Job{
				ID: "7", Method: http.MethodGet, Host: "h.example", Path: "/", Deadline: time.Now().Add(5 * time.Second), Header: c.caller,
				Credentials: []string{"secret"}, Workspaces: c.workspaces, Workspace: c.workspace,
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			r := New(names, time.Now).Send(ctx, time.Now(), job, u)
			assert.Assert(t, r.Complete, "%v", r.Err)
			assert.DeepEqual(t, got.Header.Values("X-Space"), c.want)
			for name, values := range got.Header {
				assert.Assert(t, !strings.Contains(strings.Join(values, " "), "secret"), "header %q: %q", name, values)
			}
		})
	}
}

package dialer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// startReader starts an upstream that answers each request with its own head as the body.
func startReader(t *testing.T) *roster.Upstream {
	return serveConns(t, func(c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			var head strings.Builder
			for line := ""; line != "\r\n"; {
				var err error
				if line, err = br.ReadString('\n'); err != nil {
					return
				}
				head.WriteString(line)
			}
			_, _ = c.Write([]byte(okResponse("7", head.String())))
		}
	})
}

// sentHead returns the head that an upstream reads of a job.
func sentHead(s *Sender, u *roster.Upstream, method, target string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	job := &pipe.Job{
		ID: "7", Method: method, Host: "h.example:81", Path: target, Deadline: time.Now().Add(5 * time.Second),
		Header: http.Header{"X-Id": {"7"}, "Accept": {"a", "b"}},
	}
	r := s.Send(ctx, time.Now(), job, u)
	return string(r.Answer.Body), r.Err
}

// Guards against a target that reaches the upstream as another one: "//x/y" as the path "/y" of a host "x".
func TestTheTargetReachesTheUpstreamUnchanged(t *testing.T) {
	u := startReader(t)
	s := New(testNames, time.Now)
	for _, target := range []string{
		"/", "//", "///", "//patterns/crane-0", "//user@host:80/x?y", "/a//b", "/a/../b", "/./a", "/%zz", "/%", "/%2f%2F%41", "/a?", "/?", "?a=b",
		"/a?b?c", "/a#b", "/a b", "/a|b\"<>\\^`{}", "/a:b", "a:b", "*", "http://other.example/a", "//?x", "/a;b=c,d", "/\xc3\xa9\xff",
	} {
		head, err := sentHead(s, u, http.MethodGet, target)
		if strings.ContainsAny(target, " ") {
			assert.ErrorContains(t, err, "can't be written", target)
			continue
		}
		assert.NilError(t, err, "%q", target)
		assert.Equal(t, strings.Split(head, "\r\n")[0], "GET "+target+" HTTP/1.1")
		assert.Assert(t, strings.Contains(head, "\r\nHost: h.example:81\r\n"))
	}
	rapid.Check(t, func(t *rapid.T) {
		target := rapid.StringOfN(rapid.RuneFrom([]rune("/:.%?#*@a0é|[]~\"")), 1, 30, -1).Draw(t, "target")
		head, err := sentHead(s, u, rapid.SampledFrom([]string{"GET", "POST", "PURGE"}).Draw(t, "method"), target)
		if _, rest, _ := strings.Cut(head, " "); err != nil || !strings.HasPrefix(rest, target+" HTTP/1.1\r\n") {
			t.Fatalf("%q was read as %q (%v)", target, strings.Split(head, "\r\n")[0], err)
		}
	})
}

// Guards against a head that holds more than its parts.
func TestARequestThatWouldBeReadAsAnotherIsNotSent(t *testing.T) {
	u := startReader(t)
	s := New(testNames, time.Now)
	for _, c := range [][2]string{{"GET", "/a\r\nX: y"}, {"GET", "/a HTTP/1.1\r\n\r\n"}, {"GET", ""}, {"G T", "/"}, {"", "/"}, {"GET", "/\x00"}, {"GET", "/\x7f"}} {
		_, err := sentHead(s, u, c[0], c[1])
		assert.ErrorContains(t, err, "can't be written", "%q", c)
	}
}

// Guards against a request whose length the upstream must guess.
func TestTheHeadTellsTheLengthOfTheBody(t *testing.T) {
	u := startReader(t)
	s := New(testNames, time.Now)
	for method, want := range map[string]bool{"GET": false, "DELETE": false, "POST": true, "PUT": true, "PATCH": true} {
		head, err := sentHead(s, u, method, "/")
		assert.NilError(t, err)
		assert.Equal(t, strings.Contains(head, "\r\nContent-Length: 0\r\n"), want, method)
		assert.Assert(t, strings.Contains(head, "\r\nAccept: a\r\nAccept: b\r\n"))
		assert.Assert(t, !strings.Contains(head, "User-Agent"))
	}
}

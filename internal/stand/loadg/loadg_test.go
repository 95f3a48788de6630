package loadg

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startHost starts a host that gives each request the same response and closes the connection.
func startHost(t *testing.T, response string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(response))
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against a generator that takes a part of an answer for the whole one, or a malformed response for an answer, and so finds no fault.
func TestOnlyWholeAndValidResponsesCount(t *testing.T) {
	const outcome = "Boragelane-Outcome: answered\r\n"
	for name, c := range map[string]struct {
		response string
		reason   string
		answered bool
	}{
		"whole":                   {"HTTP/1.1 200 OK\r\n" + outcome + "Content-Length: 5\r\n\r\nkey\n.", "", true},
		"chunks":                  {"HTTP/1.1 200 OK\r\n" + outcome + "Transfer-Encoding: chunked\r\n\r\n5\r\nkey\n.\r\n0\r\n\r\n", "", true},
		"truncated":               {"HTTP/1.1 200 OK\r\n" + outcome + "Content-Length: 6\r\n\r\nkey\n.", "cut", false},
		"without a length":        {"HTTP/1.1 200 OK\r\n" + outcome + "\r\nkey\n.", "cut", false},
		"status 000":              {"HTTP/1.1 000 Odd\r\n" + outcome + "Content-Length: 5\r\n\r\nkey\n.", "malformed", false},
		"blank in a field's name": {"HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + outcome + "Content-Length: 5\r\n\r\nkey\n.", "malformed", false},
	} {
		t.Run(name, func(t *testing.T) {
			host := startHost(t, c.response)
			g := New(Config{Fronts: []string{host}}, time.Now)
			run := &classRun{Class: Class{Name: "c", Service: "s", Timeout: time.Second, AnswerSize: 5}}
			got := g.sendOnce(context.Background(), run, host, "caller", "key", "")
			assert.Equal(t, got.reason, c.reason)
			assert.Equal(t, got.err == nil && got.outcome == "answered", c.answered, "%v", got.err)
		})
	}
}

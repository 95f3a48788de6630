package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/internal/stand/layout"
)

// normalizations replaces the parts of an answer that differ from run to run.
var normalizations = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`[a-z-]+-[ab]-\d~[0-9a-f]{16}~\d+~[0-9a-f]{16}`), "TICKET"},
	{regexp.MustCompile(`\b[0-9a-f]{16}\b`), "ID"},
	{regexp.MustCompile(`"(age|latency)":"[^"]*"`), `"$1":"TIME"`},
	{regexp.MustCompile(`"id":"[\w-]{8}"`), `"id":"ID"`},
	{regexp.MustCompile(`\.{20,}`), "…"},
	{regexp.MustCompile(`(price|orders)-dar-[ab]-1`), "$1-UPSTREAM"},
	{regexp.MustCompile(`"seat":"dar-[ab]-\d","domain":"dar-[ab]","region":"dar"`), `"seat":"SEAT","domain":"DOMAIN","region":"dar"`},
}

// transcript records requests and their responses for comparison with a golden file.
type transcript struct {
	t   *testing.T
	out strings.Builder
}

// record sends a request and appends it and its response to the transcript.
func (s *transcript) record(name, method, url, body string, head ...string) {
	s.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	assert.NilError(s.t, err)
	for i := 0; i+1 < len(head); i += 2 {
		req.Header.Set(head[i], head[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(s.t, err)
	fmt.Fprintf(&s.out, "== %s\n%s %s\n", name, method, req.URL.RequestURI())
	for i := 0; i+1 < len(head); i += 2 {
		fmt.Fprintf(&s.out, "%s: %.60s\n", head[i], head[i+1])
	}
	fmt.Fprintf(&s.out, "-> %d %s %s\n", resp.StatusCode, resp.Header.Get("Boragelane-Outcome"), resp.Header.Get("Boragelane-Reason"))
	if len(data) > 3000 {
		data = []byte(fmt.Sprintf("(%d bytes)", len(data)/1000*1000))
	}
	fmt.Fprintf(&s.out, "%s\n\n", bytes.TrimSpace(data))
}

// TestSession compares the answers to a caller's and an operator's requests with testdata/session.golden.
func TestSession(t *testing.T) {
	t.Parallel()
	sys := startSystem(t, testOptions(120), trace.Noop())
	host := sys.hosts["dar-a-1"]
	call, admin := "http://"+host.Settings.Front, "http://"+host.Settings.Admin
	ticket := sys.ticket("dar-a-1")
	s := &transcript{t: t}

	s.record("a look-up", "GET", call+"/v1/lookup?caller=grace", "")
	s.record("a price", "POST", call+"/v1/run/price/pegboard/hooks?page=1", "hooks\n", "X-Request-Id", "job-1")
	s.record("an order without a ticket", "POST", call+"/v1/run/orders/pick", "pick 7\n", "X-Request-Id", "job-2")
	s.record("the order with a ticket", "POST", call+"/v1/run/orders/pick", "pick 7\n", "X-Request-Id", "job-3", "Idempotency-Key", ticket)
	s.record("the order again", "POST", call+"/v1/run/orders/pick", "pick 7\n", "X-Request-Id", "job-4", "Idempotency-Key", ticket)
	s.record("another order with that ticket", "POST", call+"/v1/run/orders/pick", "pick 8\n", "X-Request-Id", "job-5", "Idempotency-Key", ticket)
	s.record("a ticket that is none", "POST", call+"/v1/run/orders/pick", "pick 9\n", "X-Request-Id", "job-6", "Idempotency-Key", "nonsense")
	s.record("an unknown service", "POST", call+"/v1/run/prices/x", "x\n", "X-Request-Id", "job-7")
	s.record("an unknown rank", "POST", call+"/v1/run/price/x", "x\n", "X-Request-Id", "job-8", "Boragelane-Rank", "vip")
	s.record("a negative time", "POST", call+"/v1/run/price/x", "x\n", "X-Request-Id", "job-9", "Boragelane-Timeout", "-1s")
	s.record("a time that is none", "POST", call+"/v1/run/price/x", "x\n", "X-Request-Id", "job-10", "Boragelane-Timeout", "soon")
	s.record("no time left", "POST", call+"/v1/run/price/x", "x\n", "X-Request-Id", "job-11", "Boragelane-Timeout", "1ns")
	s.record("a long id", "POST", call+"/v1/run/price/x", "x\n", "X-Request-Id", strings.Repeat("i", 129))
	s.record("a large body", "POST", call+"/v1/run/price/x", strings.Repeat("b", 1<<20+1), "X-Request-Id", "job-12")
	s.record("a large header", "POST", call+"/v1/run/price/x", "x\n", "X-Long", strings.Repeat("h", 64<<10))

	json := []string{"Content-Type", "application/json"}
	s.record("an explanation", "GET", admin+"/v1/admin/explain?service=price&caller=grace", "")
	s.record("a drain", "POST", admin+"/v1/admin/drains", `{"kind":"upstream","name":"price-dar-b-1","expect":1}`, json...)
	s.record("a lost race", "POST", admin+"/v1/admin/drains", `{"kind":"upstream","name":"price-dar-a-1","expect":1}`, json...)
	s.record("a drain of nothing known", "POST", admin+"/v1/admin/drains", `{"kind":"rack","name":"x"}`, json...)
	s.record("the end of a drain", "DELETE", admin+"/v1/admin/drains/upstream/price-dar-b-1?expect=2", "")
	s.record("the end of a drain that is none", "DELETE", admin+"/v1/admin/drains/upstream/price-dar-b-1", "")
	s.record("a change that breaks rules", "POST", admin+"/v1/admin/document",
		`{"expect":3,"services":[{"name":"stock","rank":"vip","timeout":"2s","once":false,"slots":9,"conns":3}]}`, json...)
	s.record("a change that is not JSON", "POST", admin+"/v1/admin/document", `{"expect":`, json...)
	s.record("the configuration", "GET", admin+"/v1/admin/document", "")

	text := s.out.String()
	for _, u := range normalizations {
		text = u.pattern.ReplaceAllString(text, u.text)
	}
	golden.Assert(t, text, "session.golden")
}

func TestACallerThatStopsMidBodyIsRefusedAndCounted(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(121), trace.Noop())
	front := s.hosts["dar-a-1"].Settings.Front
	c, err := net.Dial("tcp", front)
	assert.NilError(t, err)
	_, err = fmt.Fprint(c, "POST /v1/run/price/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	data, _ := io.ReadAll(c)
	_ = c.Close()
	assert.Assert(t, strings.Contains(string(data), "bad-request"), "%s", data)
	counted := s.hosts["dar-a-1"].Stats.Reasons.Get("front/bad-request")
	assert.Equal(t, counted.String(), "1")
	assert.Equal(t, s.countRuns("half"), 0)
}

func TestASlowSenderIsRefused(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(123), trace.Noop())
	c, err := net.Dial("tcp", s.hosts["dar-a-1"].Settings.Front)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST /v1/run/price/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nslow")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	data := make([]byte, 4096)
	n, _ := c.Read(data)
	assert.Assert(t, strings.Contains(string(data[:n]), "bad-request"), "%s", data[:n])
	assert.Equal(t, s.countRuns("slow"), 0)
}

// frame prefixes a message with its length.
func frame(message string) string {
	return string([]byte{0, 0, 0, byte(len(message))}) + message
}

func TestAPeerThatBreaksTheProtocolIsDisconnected(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(122), trace.Noop())
	for name, bytes := range map[string]string{
		"text":                "GET / HTTP/1.1\r\n\r\n",
		"a huge frame":        "\xff\xff\xff\xff",
		"no JSON":             "\x00\x00\x00\x03abc",
		"a call before hello": frame(`{"jsonrpc":"2.0","id":1,"method":"fetch","params":{"have":0}}`),
		"another version":     frame(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":99}}`),
	} {
		c, err := net.Dial("tcp", s.hosts["dar-a-1"].Settings.Peer)
		assert.NilError(t, err)
		_, _ = fmt.Fprint(c, bytes)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(8*time.Second)))
		data, err := io.ReadAll(c)
		assert.Assert(t, name != "a call before hello" || len(data) == 0, "%q", data)
		assert.Assert(t, err == nil || !strings.Contains(err.Error(), "timeout"), "%s: %v", name, err)
		_ = c.Close()
	}
	assert.Equal(t, s.call(call{host: "dar-a-1", service: layout.Price, key: "alive"}).outcome, "answered")
}

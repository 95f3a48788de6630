package strict

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// validHead is the grammar of a response's head in RFC 9112, without obsolete line folding, which a gateway may refuse, and with the status codes
// of RFC 9110.
var validHead = regexp.MustCompile(`^HTTP/1\.[01] ([1-5][0-9][0-9]) [\t\x20-\x7e\x80-\xff]*\r\n` +
	`((?:[-!#$%&'*+.^_` + "`" + `|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*)\r\n`)

// latin1 returns a string with a rune for each byte, so that a regular expression can match bytes.
func latin1(b []byte) string {
	r := make([]rune, len(b))
	for i, c := range b {
		r[i] = rune(c)
	}
	return string(r)
}

// read reads a response to a GET request whose connection ends after the data. It returns what the body's reader left.
func read(data []byte) (head Head, body, rest []byte, err error) {
	r := bufio.NewReaderSize(bytes.NewReader(data), 64)
	if head, err = ReadHead(r, http.MethodGet); err != nil {
		return Head{}, nil, nil, err
	}
	if body, err = io.ReadAll(head.Body(r)); err != nil {
		return Head{}, nil, nil, err
	}
	rest, err = io.ReadAll(r)
	return head, body, rest, err
}

// checkRead fails if what was read of the data is not what the grammar and net/http say.
func checkRead(t interface{ Fatalf(string, ...any) }, data []byte) {
	head, body, rest, err := read(data)
	if err != nil {
		return
	}
	m := validHead.FindStringSubmatch(latin1(data))
	switch {
	case m == nil:
		t.Fatalf("a head that the grammar doesn't allow was accepted: %q", data)
	case m[1] == "101":
		t.Fatalf("an answer to no upgrade was accepted: %q", data)
	}
	fields := strings.ToLower(m[2])
	chunked, sized := strings.Contains("\n"+fields, "\ntransfer-encoding:"), strings.Contains("\n"+fields, "\ncontent-length:")
	if chunked && sized {
		t.Fatalf("two framings were accepted: %q", data)
	}
	bodiless := head.Status < 200 || head.Status == 204 || head.Status == 304
	switch {
	case bodiless && len(body) > 0:
		t.Fatalf("a body of %q with status %d", body, head.Status)
	case !bodiless && !chunked && !sized && (!head.UntilClose() || !head.Close || len(rest) > 0):
		t.Fatalf("a body without framing did not last until the end: %q", data)
	case !bodiless && sized && int64(len(body)) != head.Length:
		t.Fatalf("%d bytes of %d: %q", len(body), head.Length, data)
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
	if err != nil {
		return // Such as an obsolete name of a trailer field.
	}
	if other, err := io.ReadAll(resp.Body); err == nil && !bytes.Equal(body, other) {
		t.Fatalf("body %q, and %q with net/http: %q", body, other, data)
	}
}

// Guards against a head that HTTP/1.1 doesn't allow, and against a body with other bounds than the sender's.
func TestOnlyValidHeadsAreAccepted(t *testing.T) {
	versions := []string{"HTTP/1.1", "HTTP/1.0", "HTTP/1.2", "HTTP/2.0", "http/1.1", "ICY", ""}
	codes := []string{"200", "204", "304", "103", "500", "000", "099", "600", "101", "20", "+20", "2000", "0200"}
	reasons := []string{" OK", " ", "", " O\x00K", " d\xe9j\xe0", "\tOK"}
	names := []string{"X-A", "Content-Length", "Transfer-Encoding", "content-length", "X A", "X-A ", " X-A", "\tX-A", "X\x01A", "X\x00A", "X\rA", "", "X\xe9", "Connection"}
	values := []string{"4", " 4", "4 ", "+4", "4, 4", "4, 5", "-1", "0x4", "99999999999999999999", "4\r", "chunked", "Chunked", "gzip, chunked", "chunked, chunked", "a\rb", "a\x00b", "close", ""}
	ends := []string{"\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r\r\n"}
	bodies := []string{"", "body", "body and more", "4\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n0\r\nX-T: 1\r\n\r\nrest", "4\r\nbody\r\n0\r\nX T: 1\r\n\r\n", "4\nbody\n0\n\n", "4\r\nbody", "-4\r\nbody\r\n0\r\n\r\n"}
	rapid.Check(t, func(t *rapid.T) {
		pick := func(what string, from []string) string {
			if rapid.IntRange(0, 2).Draw(t, "usual "+what) > 0 {
				return from[0]
			}
			return rapid.SampledFrom(from).Draw(t, what)
		}
		var b strings.Builder
		b.WriteString(pick("version", versions) + " " + pick("code", codes) + pick("reason", reasons) + pick("end", ends))
		for range rapid.IntRange(0, 3).Draw(t, "fields") {
			b.WriteString(rapid.SampledFrom(names).Draw(t, "name") + ":" + rapid.SampledFrom(values).Draw(t, "value") + pick("end", ends))
		}
		b.WriteString(pick("end", ends) + rapid.SampledFrom(bodies).Draw(t, "body"))
		checkRead(t, []byte(b.String()))
	})
}

// Guards against refusing a head that the grammar allows, for other reasons than its framing.
func TestValidHeadsAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune("\t ~aZ0:\u0080\u00ff")), 0, 20, -1)
		token := rapid.StringMatching("[-!#$%&'*+.^_`|~0-9A-Za-z]{1,12}")
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 " + text.Draw(t, "reason") + "\r\n")
		fields := rapid.IntRange(0, 5).Draw(t, "fields")
		want := 0
		for range fields {
			name := token.Draw(t, "name")
			if strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") || strings.EqualFold(name, "Trailer") {
				continue
			}
			want++
			b.WriteString(name + ":" + text.Draw(t, "value") + "\r\n")
		}
		b.WriteString("\r\nbody")
		head, body, _, err := read([]byte(b.String()))
		if err != nil || string(body) != "body" {
			t.Fatalf("%q: %q, %v", b.String(), body, err)
		}
		got := 0
		for _, values := range head.Header {
			got += len(values)
		}
		if got != want {
			t.Fatalf("%q: %d fields of %d", b.String(), got, want)
		}
	})
}

func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nbody", "HTTP/1.1 204 \r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 000 Odd\r\nX A: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 4\r\n\r\nbody",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkRead(t, data) })
}

// Guards against heads and trailer sections without bounds.
func TestLongHeadsAreRefused(t *testing.T) {
	for name, data := range map[string]string{
		"status line": "HTTP/1.1 200 " + strings.Repeat("k", MaxHead),
		"fields":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", MaxHead/8),
		"trailers":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X-A: b\r\n", MaxHead/8+1),
	} {
		_, _, _, err := read([]byte(data))
		assert.ErrorContains(t, err, "exceeds 65536 bytes", name)
	}
}

// Guards against a part of a body that ends like a whole one.
func TestAPartOfABodyIsNotComplete(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n",
	} {
		_, body, _, err := read([]byte(whole))
		assert.NilError(t, err)
		assert.Equal(t, string(body), "body")
		for n := range len(whole) {
			_, body, _, err := read([]byte(whole[:n]))
			assert.Assert(t, err != nil, "%d bytes gave %q", n, body)
		}
	}
}

package dialer

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// malformedResponses are complete responses to job 7 that HTTP/1.1 doesn't allow, but that a lenient reader accepts.
var malformedResponses = map[string]string{
	"blank in a name":                   "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank after a name":                "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-Odd : 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank after the name of a length":  "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length : 4\r\n\r\nbodybeyond!",
	"blank after the name of a coding":  "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n!",
	"blank before the name of a length": "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\n Content-Length: 4\r\n\r\nbodybeyond!",
	"tab after a name":                  "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-Odd\t: 1\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in a name":            "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-\x01Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
	"NUL in a name":                     "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-\x00Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
	"empty name":                        "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\n: 1\r\nContent-Length: 4\r\n\r\nbody",
	"line without a colon":              "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nodd\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in a value":           "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-Odd: \x01\r\nContent-Length: 4\r\n\r\nbody",
	"CR in a value":                     "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-Odd: a\rb\r\nContent-Length: 4\r\n\r\nbody",
	"CR at the end of a value":          "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-Odd: a\r\r\nContent-Length: 4\r\n\r\nbody",
	"continued line":                    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nX-Odd: a\r\n\tb\r\nContent-Length: 4\r\n\r\nbody",
	"line that ends without CR":         "HTTP/1.1 200 OK\r\nX-Id: 7\nX-Sig: s\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in the reason":        "HTTP/1.1 200 O\x02K\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 4\r\n\r\nbody",
	"two blanks before the status":      "HTTP/1.1  200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 4\r\n\r\nbody",
	"another version":                   "HTTP/2.0 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 4\r\n\r\nbody",
	"length and coding":                 "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"coding in HTTP/1.0":                "HTTP/1.0 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n!",
	"two lengths":                       "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nbody",
	"signed length":                     "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: +4\r\n\r\nbody",
	"blank in a trailer's name":         "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Odd: 1\r\n\r\n",
	"control byte in a trailer":         "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Odd: \x01\r\n\r\n",
	"an informational head with blanks": "HTTP/1.1 103 Hints\r\nX Odd: 1\r\n\r\n" + "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 4\r\n\r\nbody",
}

// Guards against an answer whose head or framing isn't valid: a line of it is lost or passed on, or the body is not the upstream's.
func TestAResponseThatIsNotValidHTTPIsNoAnswer(t *testing.T) {
	for name, response := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(n int, r *http.Request) string {
				if n > 0 {
					return okResponse(r.Header.Get("X-Id"), "sound")
				}
				return response
			})
			s := New(testNames, time.Now)
			begin := time.Now()
			r := send(s, u, "7")
			assert.Assert(t, !r.Complete && !r.Shed && r.Sent && !r.Crashed && r.Err != nil, "%d %q", r.Answer.Status, r.Answer.Body)
			assert.Assert(t, time.Since(begin) < time.Second)
			r = send(s, u, "8") // On a connection of its own.
			assert.Equal(t, string(r.Answer.Body), "sound")
		})
	}
}

// Guards against refusing what HTTP/1.1 allows.
func TestUnusualButValidResponsesAreAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Sig: s\r\n"
	for name, response := range map[string]string{
		"no reason":               strings.Replace(head, "OK", "", 1) + "Content-Length: 4\r\n\r\nbody",
		"reason with bytes":       strings.Replace(head, "OK", "tr\xe8s bien\t", 1) + "Content-Length: 4\r\n\r\nbody",
		"HTTP/1.0":                strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 4\r\n\r\nbody",
		"HTTP/1.0 to the end":     strings.Replace(head, "1.1", "1.0", 1) + "\r\nbody!",
		"odd name":                head + "!#$%&'*+-.^_`|~1a: b\r\nContent-Length: 4\r\n\r\nbody",
		"no blank after a colon":  head + "Content-Length:4\r\n\r\nbody",
		"blanks around a value":   head + "Content-Length: \t 4\t \r\n\r\nbody",
		"empty value":             head + "X-Odd:\r\nContent-Length: 4\r\n\r\nbody",
		"bytes in a value":        head + "X-Odd: \xff\xfe\r\nContent-Length: 4\r\n\r\nbody",
		"equal lengths":           head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
		"a list of equal lengths": head + "Content-Length: 4, 4\r\n\r\nbody",
		"chunks":                  head + "Transfer-Encoding: Chunked\r\n\r\n3;x=\"y\"\r\nbod\r\n01\r\ny\r\n0\r\n\r\n",
		"trailers":                head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",
		"long head":               head + strings.Repeat("X-Odd: "+strings.Repeat("v", 1000)+"\r\n", 50) + "Content-Length: 4\r\n\r\nbody",
		"one long line":           head + "X-Odd: " + strings.Repeat("v", 50_000) + "\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(int, *http.Request) string { return response })
			r := send(New(testNames, time.Now), u, "7")
			assert.Assert(t, r.Complete, "%v", r.Err)
			assert.Equal(t, string(r.Answer.Body), "body")
			for _, name := range []string{"Transfer-Encoding", "Trailer", "X-Sum"} {
				assert.Assert(t, r.Answer.Header[name] == nil)
			}
		})
	}
}

package dialer

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrRequest is returned for a request that an upstream would read as another one; nothing of it is written.
var ErrRequest = Errors.NewType("request")

// request is a request as it is written to an upstream. net/http would write some targets as others: "//a/b" as "http://a/b".
type request struct {
	Method string
	Target string // Path and query as the caller sent them.
	Host   string
	Header http.Header
	Body   []byte
}

// framing lists the fields that are written for each request and not taken from its header.
var framing = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// check returns ErrRequest if the upstream would read another request than this one.
func (q *request) check() error {
	isUnsafe := func(r rune) bool { return r <= ' ' || r == 0x7f }
	switch {
	case !httpguts.ValidHeaderFieldName(q.Method): // A method is a token, too.
		return ErrRequest.New("method %q can't be written", q.Method)
	case q.Target == "" || strings.ContainsFunc(q.Target, isUnsafe):
		return ErrRequest.New("target %q can't be written", q.Target)
	case !httpguts.ValidHostHeader(q.Host):
		return ErrRequest.New("host %q can't be written", q.Host)
	}
	return nil
}

// writeTo writes the request; an error is the connection's.
func (q *request) writeTo(to io.Writer) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(to)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	_, _ = w.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	if err := q.Header.WriteSubset(w, framing); err != nil {
		return err
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(q.Body)
	return w.Flush() // Returns the first error of the writes too.
}

package httpd

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/boragelane/boragelane/internal/core/held"
)

const (
	// bodyTimeout bounds reading a body, which callers send without pauses.
	bodyTimeout = 15 * time.Second
	// trustedBody is the number of bytes that must have arrived before memory for a body's whole declared length is taken.
	trustedBody = 1 << 20
	// firstBody is the size in bytes of the first buffer of a body whose length is unknown or large.
	firstBody = held.FreeBytes
	// bodyRetryAfter is the Retry-After of a body for which there is no memory, in seconds.
	bodyRetryAfter = "1"
)

// errBodyRefused means that the host holds too much for its callers to accept the body.
var errBodyRefused = errors.New("no memory for the body")

// readBody reads the body of a request; a status other than 0 refuses the request and closes the connection.
func (c *conn) readBody(hr *http.Request, req *Request, maxSize int64) (int, error) {
	if hr.Body == nil || hr.Body == http.NoBody {
		return 0, nil
	}
	if hr.ContentLength > maxSize {
		c.bodyRefused = true
		return http.StatusRequestEntityTooLarge, nil
	}
	if hr.Header.Get("Expect") != "" && !c.isResponding() {
		_ = c.net.SetWriteDeadline(c.server.Clock().Add(writeTimeout))
		if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	_ = c.net.SetReadDeadline(c.server.Clock().Add(bodyTimeout))
	c.limiter.remaining = maxSize + maxSize/2 + readBufferSize // Room for the framing of chunks.
	body, err := readAll(hr, req.Held, maxSize)
	if err == nil {
		req.Body = body
		return 0, nil
	}
	req.Held.Settle(0)
	switch {
	case errors.Is(err, errBodyRefused):
		c.bodyRefused = true
		return http.StatusServiceUnavailable, nil
	case errors.Is(err, errReadLimit):
		c.bodyRefused = true
		return http.StatusRequestEntityTooLarge, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		return 0, err
	}
	return http.StatusBadRequest, nil
}

// readAll reads a body of at most maxSize bytes, and returns it also if it fails.
func readAll(hr *http.Request, account *held.Account, maxSize int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := nextSize(int64(len(body)), hr.ContentLength)
			if !account.GrowBody(size - int64(cap(body))) {
				return body, errBodyRefused
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := hr.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxSize:
			return body, errReadLimit
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// nextSize returns the size of the next buffer of a body of which n bytes have arrived; declared is its length, or -1.
func nextSize(n, declared int64) int64 {
	if declared >= 0 && (n >= trustedBody || declared < 2*max(firstBody, n)) {
		return declared + 1 // Room for the read that finds the end.
	}
	return 2 * max(firstBody/2, n)
}

// refusal returns the response to a request that was not read in full or is malformed.
func refusal(status int) Response {
	r := Response{Status: status}
	if status == http.StatusServiceUnavailable {
		r.Header = http.Header{"Retry-After": {bodyRetryAfter}}
	}
	return r
}

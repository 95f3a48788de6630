package httpd

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// bodyTimeout bounds reading a body, which callers send without pauses.
	bodyTimeout = 15 * time.Second
	// freeBody is the size in bytes of a body that is accepted however much memory other bodies take, so that large ones don't
	// keep out the rest.
	freeBody = 8 << 10
	// trustedBody is the number of bytes that must have arrived before memory for a body's whole declared length is taken.
	trustedBody = 1 << 20
	// defaultMaxBodies is the default of Server.MaxBodies in bytes.
	defaultMaxBodies = 64 << 20
	// bodyRetryAfter is the Retry-After of a body for which there is no memory, in seconds.
	bodyRetryAfter = "1"
)

// errBodiesFull means that the bodies of all requests take as much memory as they may.
var errBodiesFull = errors.New("no memory for the body")

// bodyBudget counts the memory of the bodies that are being read or whose requests run.
type bodyBudget struct{ used atomic.Int64 }

// counted returns the part of a buffer of n bytes that counts.
func counted(n int64) int64 { return max(0, n-freeBody) }

// grow takes the memory for a buffer that grows from one size to another; it returns false if that exceeds the limit. A body that
// is the only one may exceed it, since it would be refused each time it is sent again.
func (b *bodyBudget) grow(from, to, limit int64) bool {
	n := counted(to) - counted(from)
	if total := b.used.Add(n); n > 0 && total > limit && total > counted(to) {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns the memory of a buffer of n bytes.
func (b *bodyBudget) release(n int64) { b.used.Add(-counted(n)) }

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
	body, err := c.readAll(hr, maxSize)
	if err == nil {
		req.Body = body
		return 0, nil
	}
	c.server.bodies.release(int64(cap(body)))
	switch {
	case errors.Is(err, errBodiesFull):
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
func (c *conn) readAll(hr *http.Request, maxSize int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := nextSize(int64(len(body)), hr.ContentLength)
			if !c.server.bodies.grow(int64(cap(body)), size, c.server.MaxBodies) {
				return body, errBodiesFull
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
	if declared >= 0 && (n >= trustedBody || declared < 2*max(freeBody, n)) {
		return declared + 1 // Room for the read that finds the end.
	}
	return 2 * max(freeBody/2, n)
}

// refusal returns the response to a request that was not read in full or is malformed.
func refusal(status int) Response {
	r := Response{Status: status}
	if status == http.StatusServiceUnavailable {
		r.Header = http.Header{"Retry-After": {bodyRetryAfter}}
	}
	return r
}

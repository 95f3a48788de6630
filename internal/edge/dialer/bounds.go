package dialer

import (
	"io"
	"math"
	"net/http"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

const (
	// maxResponseHead bounds the bytes of a response's status line and header.
	maxResponseHead = 64 << 10
	// trustedLength is the declared length up to which a body's whole buffer is taken at once. Growing it step by step copies
	// it, and takes three times its size for a moment.
	trustedLength = 1 << 20
	// bodyChunk is the number of bytes by which a body's buffer grows at least.
	bodyChunk = 8 << 10
)

// headLimiter bounds the bytes read while a response header is parsed, since net/http doesn't.
type headLimiter struct {
	io.Reader
	remaining int64
	exceeded  bool
}

// limit allows the given number of bytes beyond those that a full read buffer may hold.
func (l *headLimiter) limit(n int64) { l.remaining, l.exceeded = n+readBufferSize, false }

// unlimit allows any number of bytes.
func (l *headLimiter) unlimit() { l.remaining = math.MaxInt64 }

// Read reads from the connection until the limit is reached.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, io.ErrUnexpectedEOF
	}
	n, err := l.Reader.Read(b)
	l.remaining -= int64(n)
	return n, err
}

// readBody reads a body. It fails when the body is too large, or when the host holds too much for its callers to take it.
func readBody(resp *http.Response, job *pipe.Job) ([]byte, error) {
	if n := resp.ContentLength; n > maxResponseBody {
		return nil, ErrResponse.New("response body of %d bytes exceeds %d", n, maxResponseBody)
	}
	body, err := readAll(resp, job)
	if err != nil {
		job.Held.ShrinkAnswer(int64(cap(body)))
		return nil, err
	}
	return body, nil
}

// readAll reads a body, and returns it also if it fails. It takes the memory for it from the job's account.
func readAll(resp *http.Response, job *pipe.Job) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grow := nextGrowth(int64(len(body)), resp.ContentLength)
			if !job.Held.GrowAnswer(grow, !job.Once) {
				return body, ErrNoMemory.New("no memory for the response body")
			}
			body = append(make([]byte, 0, int64(len(body))+grow), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBody:
			return body, ErrResponse.New("response body exceeds %d bytes", maxResponseBody)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// nextGrowth returns the number of bytes by which the full buffer of n bytes grows; declared is the body's length, or -1.
func nextGrowth(n, declared int64) int64 {
	if declared >= n && declared <= max(trustedLength, 2*n) {
		return declared + 1 - n // Room for the read that finds the end.
	}
	return min(max(bodyChunk, n), maxResponseBody+1-n) // A byte too many shows that the body is too large.
}

package dialer

import (
	"io"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

const (
	// trustedLength is the declared length up to which a body's whole buffer is taken at once. Growing it step by step copies
	// it, and takes three times its size for a moment.
	trustedLength = 1 << 20
	// bodyChunk is the number of bytes by which a body's buffer grows at least.
	bodyChunk = 8 << 10
)

// readBody reads a body of a declared length, or of any length if that is -1. It fails when the body is too large, or when the host holds
// too much for its callers to take it.
func readBody(from io.Reader, declared int64, job *pipe.Job) ([]byte, error) {
	if declared > maxResponseBody {
		return nil, ErrResponse.New("response body of %d bytes exceeds %d", declared, maxResponseBody)
	}
	body, err := readAll(from, declared, job)
	if err != nil {
		job.Held.ShrinkAnswer(int64(cap(body)))
		return nil, err
	}
	return body, nil
}

// readAll reads a body, and returns it also if it fails. It takes the memory for it from the job's account.
func readAll(from io.Reader, declared int64, job *pipe.Job) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grow := nextGrowth(int64(len(body)), declared)
			if !job.Held.GrowAnswer(grow, !job.Once) {
				return body, ErrNoMemory.New("no memory for the response body")
			}
			body = append(make([]byte, 0, int64(len(body))+grow), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
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

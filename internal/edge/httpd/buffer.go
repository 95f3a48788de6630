package httpd

import (
	"bufio"
	"io"
	"sync"
)

// Buffers are shared by all connections, since most of them are idle and would each keep theirs.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// writeBufferSize is the size of the buffer in bytes with which a response is written; most headers fit.
const writeBufferSize = 4096

// byteLimiter bounds the bytes read for one header or body.
type byteLimiter struct {
	io.Reader
	remaining int64
	lastErr   error // The last read error; http.ReadRequest hides errors in the middle of a line.
	first     [1]byte
	hasFirst  bool // first has been read from the connection, but not from here.
}

// Read reads from the connection until the limit is reached, beginning with the byte that awaitByte has read.
func (l *byteLimiter) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		l.lastErr = errReadLimit
		return 0, l.lastErr
	}
	at := 0
	if l.hasFirst && len(b) > 0 {
		b[0], l.hasFirst, at = l.first[0], false, 1
		if len(b) == 1 {
			l.remaining--
			return 1, nil
		}
	}
	n, err := l.Reader.Read(b[at:])
	n += at
	l.remaining -= int64(n)
	l.lastErr = err
	return n, err
}

// awaitByte waits for the first byte of a request, without a buffer.
func (c *conn) awaitByte() error {
	if c.reader != nil {
		if c.reader.Buffered() > 0 {
			return nil
		}
		c.reader.Reset(nil)
		readers.Put(c.reader)
		c.reader = nil
	}
	n, err := c.net.Read(c.limiter.first[:])
	if n == 0 {
		return err
	}
	c.limiter.hasFirst = true
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(&c.limiter)
	return nil
}

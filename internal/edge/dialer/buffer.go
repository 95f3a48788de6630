package dialer

import (
	"bufio"
	"io"
	"net/http"
	"sync"
)

// Buffers are shared by all connections, most of which are idle. Without a buffer of its own, net/http would allocate one for
// each request that it writes.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// writeBufferSize is the size of the buffer in bytes with which a request is written; most headers fit.
const writeBufferSize = 4096

// takeReader gives a connection its read buffer.
func (c *upstreamConn) takeReader() {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.Conn)
}

// returnReader takes the empty read buffer of a connection that becomes idle.
func (c *upstreamConn) returnReader() {
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// connWriter writes to a connection and keeps its error, which net/http wraps so that its cause is lost.
type connWriter struct {
	conn io.Writer
	err  error
}

// Write writes b to the connection.
func (w *connWriter) Write(b []byte) (int, error) {
	n, err := w.conn.Write(b)
	if err != nil {
		w.err = err
	}
	return n, err
}

// writeRequest writes a request. If the connection fails, it returns the connection's error.
func writeRequest(conn io.Writer, req *http.Request) error {
	to := &connWriter{conn: conn}
	w := writers.Get().(*bufio.Writer)
	w.Reset(to)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if to.err != nil {
		return to.err
	}
	return err
}

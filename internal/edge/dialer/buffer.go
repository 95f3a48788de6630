package dialer

import (
	"bufio"
	"sync"
)

// Buffers are shared by all connections, most of which are idle.
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

package httpd

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"
)

// writeResponses writes the responses in the order of the requests. If a write fails, it closes the connection and cancels the
// requests that are still running, since their responses can't be written.
func (c *conn) writeResponses(cancel context.CancelFunc) {
	ok := true
	for ex := range c.pipeline {
		resp := <-ex.response
		if !ok {
			c.release(ex.req, resp)
			continue
		}
		closeAfter := c.startWriting(ex)
		err := c.writeResponse(ex.req, resp, closeAfter)
		c.release(ex.req, resp)
		if err != nil {
			ok = false
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.noteCallerLeft()
			}
			cancel()
			c.close()
			continue
		}
		c.endWriting()
		if closeAfter {
			c.endReading()
		}
	}
}

// pieceWriter writes in pieces, each of which the caller must take before a timeout.
type pieceWriter struct {
	net     net.Conn
	clock   func() time.Time
	crowded func() bool // Whether the host holds too much to wait for slow callers.
}

// Write writes all pieces of b.
func (w pieceWriter) Write(b []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(b, writePiece) {
		n, err := w.writePiece(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writePiece writes a piece. It gives up after the shorter timeout if the host holds too much by then.
func (w pieceWriter) writePiece(piece []byte) (int, error) {
	written := 0
	start := w.clock()
	for {
		deadline := w.clock().Add(crowdedWriteTimeout)
		if err := w.net.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := w.net.Write(piece[written:])
		written += n
		now := w.clock()
		// A timeout before the deadline was set by something else, which ends the connection.
		if !errors.Is(err, os.ErrDeadlineExceeded) || now.Before(deadline) || now.Sub(start) >= writeTimeout || w.crowded() {
			return written, err
		}
	}
}

// hopByHop lists the header fields that are not forwarded, because they concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// EndToEnd reports whether a header field is end-to-end and therefore forwarded.
func EndToEnd(name string) bool { return !hopByHop[http.CanonicalHeaderKey(name)] }

func (c *conn) writeResponse(req *Request, resp Response, closeAfter bool) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(pieceWriter{net: c.net, clock: c.server.Clock, crowded: c.server.Held.Crowded})
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(resp.Status) + " " + http.StatusText(resp.Status) + "\r\n")
	header := resp.Header
	if header == nil {
		header = http.Header{}
	}
	if err := header.WriteSubset(w, hopByHop); err != nil {
		return err
	}
	if resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(resp.Body)) + "\r\n")
	}
	if closeAfter {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if req.Method != http.MethodHead {
		_, _ = w.Write(resp.Body)
	}
	return w.Flush()
}

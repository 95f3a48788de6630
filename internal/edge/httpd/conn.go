package httpd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// pipelineMost is how many requests of one connection are worked on at the same time.
	pipelineMost = 16
	// readBuffer is the buffer of a connection, in bytes.
	readBuffer = 4096
	// bodyLife is how long a body may take; callers send theirs at once.
	bodyLife = 15 * time.Second
	// writeLife is how long a caller may take to read an answer.
	writeLife = 10 * time.Second
	// lingerLife is how long a closed connection is read on, so that its last answer is not lost to a reset.
	lingerLife = 500 * time.Millisecond
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	net    net.Conn
	meter  *meter
	reader *bufio.Reader
	writer *bufio.Writer
	order  chan *exchange

	mu      sync.Mutex
	pending int
	closing bool // No further request is taken.
}

// exchange is a request under way, and its answer.
type exchange struct {
	req    *Request
	answer chan Answer
	last   bool // The connection ends with it.
}

// meter bounds the bytes that are read for one header.
type meter struct {
	io.Reader
	left int64
	err  error // The last error; the library's parser hides those in the middle of a line.
}

var errHeaderSize = errors.New("header too large")

// Read reads from the connection within the bound.
func (m *meter) Read(b []byte) (int, error) {
	if m.left <= 0 {
		m.err = errHeaderSize
		return 0, m.err
	}
	n, err := m.Reader.Read(b)
	m.left -= int64(n)
	m.err = err
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	m := &meter{Reader: nc}
	return &conn{
		server: s, net: nc, meter: m, reader: bufio.NewReaderSize(m, readBuffer), writer: bufio.NewWriter(nc),
		order: make(chan *exchange, pipelineMost),
	}
}

// run reads requests and writes their answers until the connection ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		if !c.write() {
			cancel()
			_ = c.net.Close()
		}
	}()
	gone := c.read(ctx)
	close(c.order)
	if gone {
		cancel()
	}
	<-wrote
	c.linger()
	_ = c.net.Close()
}

// linger lets the caller read the last answer: closing a socket with unread bytes would reset it.
func (c *conn) linger() {
	if tcp, ok := c.net.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = c.net.SetReadDeadline(c.server.Clock().Add(lingerLife))
		_, _ = io.Copy(io.Discard, c.net)
	}
}

// read takes requests until the connection ends; it reports whether the caller has gone.
func (c *conn) read(ctx context.Context) bool {
	for {
		req, status, err := c.next()
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
		ex := &exchange{req: req, answer: make(chan Answer, 1)}
		if !c.begin(ex, status != 0) {
			return false
		}
		c.order <- ex
		if status != 0 {
			ex.answer <- Answer{Status: status}
			return false
		}
		go func() { ex.answer <- c.server.Handler.Serve(ctx, req) }()
		if ex.last {
			// The caller may still leave before its answer.
			_ = c.net.SetReadDeadline(time.Time{})
			c.meter.left = 1
			_, err := c.reader.Peek(1)
			return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errHeaderSize)
		}
	}
}

// begin books a request; it reports false if the connection takes none any more.
func (c *conn) begin(ex *exchange, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	ex.last = last || ex.req.Header.Get("Connection") == "close"
	c.closing = ex.last
	return true
}

// next reads a request. A status other than 0 refuses it and ends the connection.
func (c *conn) next() (*Request, int, error) {
	b := c.server.Bounds()
	c.meter.left = b.Header + readBuffer
	if err := c.await(b.IdleLife); err != nil {
		return nil, 0, err
	}
	arrived := c.server.Clock()
	_ = c.net.SetReadDeadline(arrived.Add(b.HeaderLife))
	hr, err := http.ReadRequest(c.reader)
	if err != nil && c.meter.err != nil {
		err = c.meter.err
	}
	switch {
	case errors.Is(err, errHeaderSize):
		return &Request{}, http.StatusRequestHeaderFieldsTooLarge, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Request{}, http.StatusRequestTimeout, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNet(err):
		return nil, 0, err
	case err != nil:
		return &Request{}, http.StatusBadRequest, nil
	}
	req := &Request{Method: hr.Method, Target: hr.RequestURI, Host: hr.Host, Header: hr.Header, Arrived: arrived}
	if hr.Close || !hr.ProtoAtLeast(1, 1) && hr.Header.Get("Connection") != "keep-alive" {
		req.Header.Set("Connection", "close")
	}
	status, err := c.body(hr, req, b.Body)
	return req, status, err
}

// await waits for the first byte of a request. The idle time starts anew with each answer.
func (c *conn) await(idle time.Duration) error {
	for {
		_ = c.net.SetReadDeadline(c.server.Clock().Add(idle))
		_, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.mu.Lock()
		busy := c.pending > 0 && !c.closing
		if !busy {
			c.closing = true
		}
		c.mu.Unlock()
		if !busy {
			return err
		}
	}
}

func (c *conn) body(hr *http.Request, req *Request, most int64) (int, error) {
	if hr.Body == nil || hr.Body == http.NoBody {
		return 0, nil
	}
	if hr.ContentLength > most {
		return http.StatusRequestEntityTooLarge, nil
	}
	if hr.Header.Get("Expect") != "" && c.idle() {
		if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	_ = c.net.SetReadDeadline(c.server.Clock().Add(bodyLife))
	c.meter.left = most + most/2 + readBuffer // Chunks have lines of their own.
	data, err := io.ReadAll(io.LimitReader(hr.Body, most+1))
	switch {
	case int64(len(data)) > most || errors.Is(err, errHeaderSize):
		return http.StatusRequestEntityTooLarge, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNet(err):
		return 0, err
	case err != nil:
		return http.StatusBadRequest, nil
	}
	req.Body = data
	return 0, nil
}

func isNet(err error) bool {
	var ne net.Error
	return errors.As(err, &ne)
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// closeIdle ends the connection if nothing is under way.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		c.closing = true
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// end books an answer and tells whether the connection ends with it.
func (c *conn) end(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.server.draining.Load() && c.pending == 0 {
		c.closing = true
	}
	return ex.last || c.closing && c.pending == 0
}

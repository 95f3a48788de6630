package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Call is one client attempt and what came of it.
type Call struct {
	At       time.Time
	Host     string // Address of the system's host.
	ID       string
	Method   string
	Name     string // The Host header.
	Target   string
	Body     []byte
	Object   string
	Deadline time.Duration
	Chunked  bool // The body is sent in chunks.

	Status int // 0 if the connection ended without a whole answer.
	Header http.Header
	Answer []byte
	Err    error
	Took   time.Duration
}

var lastID atomic.Int64

// NewID returns the id of a new client attempt.
func NewID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// Do sends the attempt on a new connection and waits for the answer until the deadline.
func (c *Call) Do() {
	c.At = time.Now()
	defer func() { c.Took = time.Since(c.At) }()
	nc, err := net.DialTimeout("tcp", c.Host, time.Second)
	if err != nil {
		c.Err = err
		return
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(c.At.Add(c.Deadline))
	if _, err := nc.Write(c.Bytes()); err != nil {
		c.Err = err
		return
	}
	c.read(bufio.NewReader(nc))
}

// Bytes returns the request as sent.
func (c *Call) Bytes() []byte {
	head := c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Name + "\r\n" + headerID + ": " + c.ID + "\r\n" +
		headerDeadline + ": " + strconv.FormatInt(c.Deadline.Milliseconds(), 10) + "\r\n"
	if c.Object != "" {
		head += "Cookie: X-Boragelane-Affinity-Key=" + c.Object + "\r\n"
	}
	if c.Chunked {
		out := []byte(head + "Transfer-Encoding: chunked\r\n\r\n")
		for b := c.Body; len(b) > 0; {
			n := min(len(b), 16<<10)
			out = fmt.Appendf(out, "%x\r\n", n)
			out = append(append(out, b[:n]...), "\r\n"...)
			b = b[n:]
		}
		return append(out, "0\r\n\r\n"...)
	}
	if len(c.Body) > 0 || c.Method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n"
	}
	return append([]byte(head+"\r\n"), c.Body...)
}

func (c *Call) read(r *bufio.Reader) {
	resp, err := http.ReadResponse(r, &http.Request{Method: c.Method})
	if err != nil {
		c.Err = err
		return
	}
	if c.Answer, c.Err = io.ReadAll(resp.Body); c.Err == nil {
		c.Status, c.Header = resp.StatusCode, resp.Header
	}
}

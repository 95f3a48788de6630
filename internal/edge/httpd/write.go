package httpd

import (
	"net/http"
	"strconv"
	"time"
)

// write sends the answers in the order of their requests; it reports false if the caller can't be reached.
func (c *conn) write() bool {
	ok := true
	for ex := range c.order {
		a := <-ex.answer
		if !ok {
			continue
		}
		last := c.end(ex)
		_ = c.net.SetWriteDeadline(c.server.Clock().Add(writeLife))
		if err := c.send(ex.req, a, last); err != nil {
			ok = false
			_ = c.net.SetDeadline(time.Unix(1, 0))
			continue
		}
		if last {
			_ = c.net.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return ok
}

// hop lists the headers that concern one connection only.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// Through tells whether a header is passed through.
func Through(name string) bool { return !hop[http.CanonicalHeaderKey(name)] }

func (c *conn) send(req *Request, a Answer, last bool) error {
	w := c.writer
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
	head := a.Header
	if head == nil {
		head = http.Header{}
	}
	if err := head.WriteSubset(w, hop); err != nil {
		return err
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if req.Method != http.MethodHead {
		_, _ = w.Write(a.Body)
	}
	return w.Flush()
}

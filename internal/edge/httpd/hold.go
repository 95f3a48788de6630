package httpd

// hold registers that a request has ended and that a response of n bytes waits to be written.
func (c *conn) hold(req *Request, n int64) {
	req.Held.Settle(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += n
}

// release registers that a response was written or dropped.
func (c *conn) release(req *Request, resp Response) {
	req.Held.Settle(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting -= int64(cap(resp.Body))
	c.written.Signal()
}

// awaitRoom waits until little enough waits to be written to the caller. It answers a caller that sends requests faster than it
// reads the responses; the writing ends at the latest when the caller takes nothing for the write timeout.
func (c *conn) awaitRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.waiting > c.server.Held.Limit()/connShare {
		c.written.Wait()
	}
}

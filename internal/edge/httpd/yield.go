package httpd

import (
	"context"
	"slices"
)

// holdingBack returns the running requests of a connection's line that stand in front of one whose response is ready.
func holdingBack(line []*exchange) []*exchange {
	var running []*exchange
	held := 0 // The number of running requests in front of the last ready one.
	for _, ex := range line {
		if ex.ready {
			held = len(running)
		} else {
			running = append(running, ex)
		}
	}
	return running[:held]
}

// Yield cancels, with the given cause, the requests that hold back a ready response on their connection, and from now on
// also those that come to do so. The others keep running.
func (s *Server) Yield(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.yieldCause = cause
	for c := range s.conns {
		c.yield(cause)
	}
}

func (c *conn) yield(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yieldCause = cause
	c.giveUpHolding()
}

// enter puts a request at the end of the connection's line and returns the context in which it runs.
func (c *conn) enter(ctx context.Context, ex *exchange) context.Context {
	ctx, ex.giveUp = context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line = append(c.line, ex)
	return ctx
}

// settle notes that a request's response is ready. Those that nothing holds back leave the line: whether they have been
// written doesn't matter to requests behind them.
func (c *conn) settle(ex *exchange) {
	ex.giveUp(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	ex.ready = true
	first := slices.IndexFunc(c.line, func(ex *exchange) bool { return !ex.ready })
	if first < 0 {
		first = len(c.line)
	}
	c.line = slices.Delete(c.line, 0, first)
	c.giveUpHolding()
}

// giveUpHolding cancels the requests that hold back a ready response if the server yields; c.mu must be held.
func (c *conn) giveUpHolding() {
	if c.yieldCause == nil {
		return
	}
	for _, ex := range holdingBack(c.line) {
		ex.giveUp(c.yieldCause)
	}
}

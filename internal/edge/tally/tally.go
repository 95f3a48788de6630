package tally

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tally")

// ErrLeft is returned when a wait ends while something is in progress.
var ErrLeft = Errors.NewType("left")

// Counter counts what is in progress; unlike a sync.WaitGroup's, its count may leave zero during a Wait.
type Counter struct {
	mu   sync.Mutex
	n    int
	zero chan struct{} // Closed when the count reaches zero; nil if nothing waits for that.
}

// Begin adds one to the count.
func (c *Counter) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// End takes one off the count.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 && c.zero != nil {
		close(c.zero)
		c.zero = nil
	}
}

// Wait waits until the count is zero; it fails if the context ends first.
func (c *Counter) Wait(ctx context.Context) error {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.zero == nil {
		c.zero = make(chan struct{})
	}
	zero, n := c.zero, c.n
	c.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return ErrLeft.Wrap(ctx.Err(), "%d were in progress", n)
	}
}

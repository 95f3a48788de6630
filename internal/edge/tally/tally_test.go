package tally

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAWaitEndsWhenNothingIsInProgress(t *testing.T) {
	var c Counter
	assert.NilError(t, c.Wait(context.Background()))
	c.Begin()
	c.Begin()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, c.Wait(ctx), "2 were in progress")
	waited := make(chan error, 2)
	for range 2 {
		go func() { waited <- c.Wait(context.Background()) }()
	}
	c.End()
	select {
	case err := <-waited:
		t.Fatal("a wait ended before its time", err)
	case <-time.After(50 * time.Millisecond):
	}
	c.End()
	assert.NilError(t, errors.Join(<-waited, <-waited))
}

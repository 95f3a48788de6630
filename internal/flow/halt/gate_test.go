package halt

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/flow/place"
)

// fullPlacer has no free slot; a job waits until its context ends.
type fullPlacer struct {
	waiting chan struct{}
	grant   *place.Grant
}

func (p *fullPlacer) Acquire(ctx context.Context, _ time.Time, _ place.Request) (*place.Grant, place.Refusal) {
	if p.grant != nil {
		return p.grant, place.Refusal{}
	}
	p.waiting <- struct{}{}
	<-ctx.Done()
	return nil, place.Refusal{}
}

func (*fullPlacer) Release(time.Time, *place.Grant, place.Result) {}

// Guards against a job that waits for a slot until the process exits and never gets an answer.
func TestAClosedGateEndsTheWaitForASlot(t *testing.T) {
	p := &fullPlacer{waiting: make(chan struct{}, 1)}
	g := NewGate(p)
	ended := make(chan place.Refusal)
	go func() {
		_, refusal := g.Acquire(context.Background(), start, place.Request{})
		ended <- refusal
	}()
	<-p.waiting
	g.Close()
	select {
	case refusal := <-ended:
		assert.Assert(t, refusal.Stopping)
	case <-time.After(5 * time.Second):
		t.Fatal("the job is still waiting")
	}
	_, refusal := g.Acquire(context.Background(), start, place.Request{})
	assert.Assert(t, refusal.Stopping)
}

func TestAGrantThatCrossesTheCloseOfTheGateIsKept(t *testing.T) {
	p := &fullPlacer{grant: &place.Grant{}}
	g := NewGate(p)
	grant, refusal := g.Acquire(context.Background(), start, place.Request{})
	assert.Equal(t, grant, p.grant)
	assert.Assert(t, !refusal.Stopping)
}

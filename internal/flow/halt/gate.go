package halt

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/flow/place"
)

// Placer reserves and releases slots of upstreams.
type Placer interface {
	Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal)
	Release(now time.Time, g *place.Grant, r place.Result)
}

// Gate passes jobs on to a placer until it is closed. It then refuses jobs, and those that wait for a slot, so that none of
// them is still waiting when the process exits.
type Gate struct {
	Next Placer

	closed context.Context // Ends when the gate is closed.
	close  context.CancelFunc
}

// NewGate returns an open gate.
func NewGate(next Placer) *Gate {
	g := &Gate{Next: next}
	g.closed, g.close = context.WithCancel(context.Background())
	return g
}

// Close refuses all jobs from now on.
func (g *Gate) Close() { g.close() }

// Acquire reserves a slot through the placer, unless the gate is closed or is closed during the wait.
func (g *Gate) Acquire(ctx context.Context, now time.Time, req place.Request) (*place.Grant, place.Refusal) {
	if g.closed.Err() != nil {
		return nil, place.Refusal{Stopping: true}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.closed, cancel)()
	grant, refusal := g.Next.Acquire(ctx, now, req)
	refusal.Stopping = grant == nil && g.closed.Err() != nil
	return grant, refusal
}

// Release releases a slot of the placer.
func (g *Gate) Release(now time.Time, grant *place.Grant, r place.Result) {
	g.Next.Release(now, grant, r)
}

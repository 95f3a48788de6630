package claims

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/edge/store"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// retryDelay is the delay before a failed write is retried.
const retryDelay = 20 * time.Millisecond

// ticketClaimer issues tickets, which are recorded in the memory of the issuing host.
type ticketClaimer struct {
	filter dedup.Filter
	clock  func() time.Time
}

// Claim issues a ticket and runs the job through the at-most-once filter.
func (t *ticketClaimer) Claim(ctx context.Context, id string) bool {
	now := t.clock()
	self := plan.Identity{Seat: "host", Incarnation: "0123456789abcdef"}
	job := &pipe.Job{
		ID: id, Once: true, Deadline: now.Add(time.Second), Plan: &plan.Plan{Self: self},
		Ticket: t.filter.Issue(now, self.Seat, self.Incarnation).String(),
	}
	t.filter.Run(ctx, now, job)
	return !job.Ended()
}

// jobClaimer claims each job with a separate write.
type jobClaimer struct{ store *store.Client }

// Claim creates the job's key, which succeeds for one host only.
func (c *jobClaimer) Claim(ctx context.Context, id string) bool {
	return createKey(ctx, c.store, "claim/"+id, nil)
}

// createKey creates a key and retries failed calls until the context ends.
func createKey(ctx context.Context, client *store.Client, key string, data []byte) bool {
	for ctx.Err() == nil {
		if ok, err := client.CompareAndSwap(ctx, key, data, 0); err == nil {
			return ok
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return false
}

// batchClaimer claims all waiting jobs of a host with one write at a time.
type batchClaimer struct {
	store   *store.Client
	host    int
	queue   chan pendingClaim
	batches atomic.Int64
}

// pendingClaim is a job that waits for its batch to be written.
type pendingClaim struct {
	id   string
	done chan bool
}

const (
	// batchWindow is how long a batch collects jobs after its first one.
	batchWindow = 10 * time.Millisecond
	// maxBatch is the maximum number of jobs in a batch.
	maxBatch = 1000
)

func newBatchClaimer(ctx context.Context, client *store.Client, host int) *batchClaimer {
	c := &batchClaimer{store: client, host: host, queue: make(chan pendingClaim, maxBatch)}
	go c.run(ctx)
	return c
}

// Claim waits until the job's batch is written.
func (c *batchClaimer) Claim(ctx context.Context, id string) bool {
	claim := pendingClaim{id: id, done: make(chan bool, 1)}
	select {
	case c.queue <- claim:
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-claim.done:
		return ok
	case <-ctx.Done():
		return false
	}
}

func (c *batchClaimer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case claim := <-c.queue:
			c.writeBatch(ctx, c.collect(claim))
		}
	}
}

// collect returns first and the claims that follow within batchWindow, up to maxBatch in all.
func (c *batchClaimer) collect(first pendingClaim) []pendingClaim {
	batch := []pendingClaim{first}
	timeout := time.After(batchWindow)
	for len(batch) < maxBatch {
		select {
		case claim := <-c.queue:
			batch = append(batch, claim)
		case <-timeout:
			return batch
		}
	}
	return batch
}

// writeBatch writes one key for the batch and reports the result to each claim.
func (c *batchClaimer) writeBatch(ctx context.Context, batch []pendingClaim) {
	var ids strings.Builder
	for _, claim := range batch {
		ids.WriteString(claim.id + "\n")
	}
	ok := createKey(ctx, c.store, fmt.Sprintf("claims/%d/%d", c.host, c.batches.Add(1)), []byte(ids.String()))
	for _, claim := range batch {
		claim.done <- ok
	}
}

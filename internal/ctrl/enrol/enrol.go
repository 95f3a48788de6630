package enrol

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Registry keeps entries of hosts under leases.
type Registry interface {
	// Enter writes a host's entry under a new lease and returns the lease.
	Enter(ctx context.Context, h roster.Host, life time.Duration) (int64, error)
	// Renew renews a lease; it reports false if the lease has ended.
	Renew(ctx context.Context, lease int64) (bool, error)
	// Quit removes a host's entry and ends its lease.
	Quit(ctx context.Context, name string, lease int64) error
}

// Journal records the gain and loss of the entry.
type Journal interface {
	Enrolled(now time.Time, lease int64, err error)
}

const (
	// Life is the lease of an entry: a killed host leaves the directory within it.
	Life = 3 * time.Second
	// renewPeriod leaves time for two more tries within a lease.
	renewPeriod = time.Second
	// retryPeriod is the delay after a failed call.
	retryPeriod = 500 * time.Millisecond
	// callLife bounds a call, so that a silent connection costs less than a lease.
	callLife = 900 * time.Millisecond
	// quitLife bounds the last call of a planned stop.
	quitLife = 2 * time.Second
)

// Keeper keeps one host's entry.
type Keeper struct {
	Registry Registry
	Journal  Journal
	Host     roster.Host
	Clock    func() time.Time
	// Listed tells whether the newest view holds this host; an entry may vanish though its lease seems to live.
	Listed func() bool
	Done   chan struct{}

	lease   atomic.Int64
	entered time.Time
}

// listGrace is how long after entering the entry may be missing from the view.
const listGrace = 2 * time.Second

// Lease returns the lease of the entry, or 0.
func (k *Keeper) Lease() int64 { return k.lease.Load() }

// Run keeps the entry until the context ends, then removes it.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.Done)
	for ctx.Err() == nil {
		wait := renewPeriod
		if err := k.step(ctx); err != nil {
			wait = retryPeriod
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	k.quit()
}

func (k *Keeper) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLife)
	defer cancel()
	if k.lease.Load() != 0 && k.Clock().Sub(k.entered) > listGrace && !k.Listed() {
		k.lease.Store(0)
	}
	if k.lease.Load() != 0 {
		alive, err := k.Registry.Renew(ctx, k.lease.Load())
		if alive || err != nil {
			return err
		}
		k.lease.Store(0)
	}
	lease, err := k.Registry.Enter(ctx, k.Host, Life)
	k.Journal.Enrolled(k.Clock(), lease, err)
	if err == nil {
		k.lease.Store(lease)
		k.entered = k.Clock()
	}
	return err
}

func (k *Keeper) quit() {
	ctx, cancel := context.WithTimeout(context.Background(), quitLife)
	defer cancel()
	if err := k.Registry.Quit(ctx, k.Host.Name, k.lease.Load()); err != nil {
		k.Journal.Enrolled(k.Clock(), 0, err)
	}
}

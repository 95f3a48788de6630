package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

// Registry stores host entries under leases.
type Registry interface {
	// Register writes a host's entry under a new lease and returns the lease.
	Register(ctx context.Context, h roster.Host, ttl time.Duration) (int64, error)
	// Renew renews a lease; it returns false if the lease has expired.
	Renew(ctx context.Context, lease int64) (bool, error)
	// Deregister removes a host's entry and ends its lease.
	Deregister(ctx context.Context, name string, lease int64) error
}

// Observer is told of each registration and of each failure to register or deregister.
type Observer interface {
	Registered(now time.Time, lease int64, err error)
}

const (
	// LeaseTTL is the time to live of the lease of a host's entry; a host that was killed leaves the directory within that time.
	LeaseTTL = 4 * time.Second
	// renewInterval leaves time for two more attempts within a lease.
	renewInterval = 1500 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 500 * time.Millisecond
	// callTimeout bounds a call, so that an unresponsive connection takes less time than the lease.
	callTimeout = 900 * time.Millisecond
	// deregisterTimeout bounds the call that removes the entry at a graceful shutdown.
	deregisterTimeout = 2 * time.Second
)

// Keeper keeps the entry of one host registered.
type Keeper struct {
	Registry Registry
	Observer Observer
	Host     roster.Host
	Clock    func() time.Time
	// Listed reports whether the latest view contains this host; an entry may be lost although its lease seems alive.
	Listed func() bool
	Done   chan struct{}

	lease        atomic.Int64
	registeredAt time.Time
}

// listingGrace is how long after registration the entry may be missing from the view.
const listingGrace = 2 * time.Second

// Lease returns the lease of the entry, or 0 if the host isn't registered.
func (k *Keeper) Lease() int64 { return k.lease.Load() }

// Run keeps the host registered until the context ends, then removes its entry.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.Done)
	for ctx.Err() == nil {
		wait := renewInterval
		if err := k.renewOrRegister(ctx); err != nil {
			wait = retryDelay
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	k.deregister()
}

// renewOrRegister renews the lease, or registers the host again if its lease or entry was lost.
func (k *Keeper) renewOrRegister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if k.lease.Load() != 0 && k.Clock().Sub(k.registeredAt) > listingGrace && !k.Listed() {
		k.lease.Store(0)
	}
	if k.lease.Load() != 0 {
		alive, err := k.Registry.Renew(ctx, k.lease.Load())
		if alive || err != nil {
			return err
		}
		k.lease.Store(0)
	}
	lease, err := k.Registry.Register(ctx, k.Host, LeaseTTL)
	k.Observer.Registered(k.Clock(), lease, err)
	if err == nil {
		k.lease.Store(lease)
		k.registeredAt = k.Clock()
	}
	return err
}

// deregister removes the entry and reports a failure to the observer.
func (k *Keeper) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := k.Registry.Deregister(ctx, k.Host.Name, k.lease.Load()); err != nil {
		k.Observer.Registered(k.Clock(), 0, err)
	}
}

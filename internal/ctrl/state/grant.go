package state

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelane/boragelane/internal/core/share"
)

// acceptGrant installs the grant of a reply unless a grant requested later is in force. The grant's duration counts
// from the request, so that it never outlasts the relay's record of the loan.
func (s *State) acceptGrant(requestedAt time.Time, reply HeartbeatReply) {
	if reply.TTL <= 0 || requestedAt.Before(s.Grant.RequestedAt) {
		return
	}
	units := reply.Units
	if units == nil {
		if reply.GrantHash != s.Grant.Hash {
			return
		}
		units = s.Grant.Units
	}
	s.Grant = Grant{Units: units, Hash: reply.GrantHash, RequestedAt: requestedAt, ExpiresAt: requestedAt.Add(reply.TTL - share.ClockDriftMargin)}
}

// hashUnits returns a hash of the units of a grant. It is never 0, which stands for no known grant.
func hashUnits(units map[string]int64) uint64 {
	sum := uint64(1)
	for res, n := range units {
		sum += xxhash.Sum64String(res) * uint64(n+1)
	}
	return max(1, sum)
}

// handleLeaseResult records the result of a request for this failure domain's own lease.
func (s *State) handleLeaseResult(e LeaseResult) {
	if e.Err != nil {
		return
	}
	if !e.Held {
		s.Lease = share.Lease{}
		return
	}
	s.Lease = share.Lease{Until: e.RequestedAt.Add(e.TTL)}
}

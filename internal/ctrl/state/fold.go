package state

import (
	"math"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// Apply applies an event to the state and returns the actions to execute.
func Apply(s *State, ev Event, now time.Time) []Action {
	switch e := ev.(type) {
	case Tick:
		s.smoothLoads(e.Loads)
		return s.tick(now)
	case DocumentReceived:
		return s.adoptDocument(e.Doc, e.Local, now)
	case HeartbeatReceived:
		e.Reply <- s.handleHeartbeat(e.Heartbeat, now)
		return s.fetchIfBehind(e.Heartbeat.Seat, e.Heartbeat.Revision, now)
	case HeartbeatResult:
		return s.handleHeartbeatResult(e, now)
	case ExchangeReceived:
		e.Reply <- s.handleExchange(e.Exchange, now)
		return s.fetchIfBehind(e.Exchange.Seat, e.Exchange.Revision, now)
	case ExchangeResult:
		return s.handleExchangeResult(e, now)
	case LeaseResult:
		if e.Domain != s.Self.Domain {
			return s.handleTakeoverLeaseResult(e, now)
		}
		s.handleLeaseResult(e)
	case MembersReceived:
		s.setMembers(e.Members, now)
	case NoticeReceived:
		return s.handleNotice(e, now)
	case FetchFailed:
		s.fetchStartedAt = time.Time{}
	case HostUnreachable:
		s.Unreachable[e.Seat] = now
	case StatusRequested:
		e.Reply <- s.status(now)
	case ShutdownRequested:
		s.Leaving = true
		s.lastHeartbeat = time.Time{}
		return s.tick(now)
	}
	return nil
}

// loadSmoothingWeight is the weight of the newest sample in the moving average of the loads that this host
// reports. Raw samples fluctuate, and each apparent change would be propagated through the whole system.
const loadSmoothingWeight = 0.2

// smoothLoads adds a sample to the exponentially weighted moving averages of this host's loads.
func (s *State) smoothLoads(sample map[string]plan.Load) {
	loads := make(map[string]plan.Load, len(sample))
	for svc, l := range sample {
		mean, ok := s.loadAverages[svc]
		if !ok {
			mean = LoadAverage{Busy: float64(l.Busy), Queued: float64(l.Queued)}
		}
		mean.Busy += loadSmoothingWeight * (float64(l.Busy) - mean.Busy)
		mean.Queued += loadSmoothingWeight * (float64(l.Queued) - mean.Queued)
		s.loadAverages[svc] = mean
		l.Busy, l.Queued = int64(math.Round(mean.Busy)), int64(math.Round(mean.Queued))
		loads[svc] = l
	}
	s.Loads = loads
}

// tick runs the election and returns the periodic messages and requests that are due.
func (s *State) tick(now time.Time) []Action {
	if s.Doc == nil {
		return s.followPlatform(now)
	}
	var acts []Action
	relay := s.currentRelay(now)
	if on := s.isElected(relay, now); on != s.IsRelay {
		s.IsRelay = on
		s.lastLeaseRequest, s.lastHeartbeat = time.Time{}, time.Time{}
		if !on {
			// A relay ignores received summaries of its own domain, so all summaries must be received again.
			clear(s.Peers)
			delete(s.Summaries, s.Self.Domain)
			clear(s.Takeovers) // Stopping the relay role releases all leases of this host.
		}
		acts = append(acts, SetRelay{On: on})
	}
	if now.Sub(s.lastHeartbeat) >= HeartbeatPeriod(len(s.domainSeats())) {
		s.lastHeartbeat = now
		acts = append(acts, s.sendHeartbeat(relay, now)...)
	}
	s.applyPendingGrowth(now)
	s.advanceShifts(now)
	if !s.IsRelay {
		return acts
	}
	s.updateOwnSummary(now)
	if now.Sub(s.lastLeaseRequest) >= s.leaseRequestPeriod(now) {
		s.lastLeaseRequest = now
		acts = append(acts, RequestLease{Domain: s.Self.Domain, TTL: LeaseTTL(len(s.domainSeats()))})
	}
	acts = append(acts, s.requestTakeovers(now)...)
	if now.Sub(s.lastExchange) >= ExchangePeriod(s.domainCount()) || s.isStarting(now) {
		s.lastExchange = now
		acts = append(acts, s.startExchange(now)...)
	}
	return acts
}

// electionDelay is how long a host must have been the first live seat before it becomes the relay. It leaves time
// for replies from the seats before it. Without it, all hosts of a failure domain would contact the platform at once
// when they start together or lose their relay.
const electionDelay = time.Second

// isElected reports whether this host is the relay of its failure domain.
func (s *State) isElected(relay spec.Seat, now time.Time) bool {
	if relay.Name != s.Self.Seat {
		s.candidateSince = time.Time{}
		return false
	}
	if s.candidateSince.IsZero() {
		s.candidateSince = now
	}
	return relay.Name == s.domainSeats()[0].Name || now.Sub(s.candidateSince) >= electionDelay
}

// leaseRetryPeriod is how often a relay requests the lease while it does not hold it. Until then the hosts of its
// failure domain can only use their floors.
const leaseRetryPeriod = time.Second

func (s *State) leaseRequestPeriod(now time.Time) time.Duration {
	if !s.Lease.Valid(now) {
		return leaseRetryPeriod
	}
	return LeaseRenewalPeriod(len(s.domainSeats()))
}

// startupExchangeTime is how long a new relay may send an exchange at every tick while it lacks the summary of
// some failure domain.
const startupExchangeTime = 10 * time.Second

func (s *State) isStarting(now time.Time) bool {
	if s.firstRelayedAt.IsZero() {
		s.firstRelayedAt = now
	}
	return now.Sub(s.firstRelayedAt) < startupExchangeTime && len(s.Summaries) < s.domainCount()
}

// followPlatform makes this host watch the platform until it has a document.
func (s *State) followPlatform(time.Time) []Action {
	if s.IsRelay {
		return nil
	}
	s.IsRelay = true
	return []Action{SetRelay{On: true}}
}

// setMembers replaces the list of upstreams. Its version grows only if the list changed.
func (s *State) setMembers(members []Member, now time.Time) {
	slices.SortFunc(members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if slices.Equal(members, s.Members) && s.MembersVersion > 0 {
		return
	}
	s.Members = members
	s.MembersVersion++
	if s.Doc != nil {
		s.updateAllocations(now)
	}
}

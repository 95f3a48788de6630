package state

import (
	"maps"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// sendHeartbeat reports this host to its relay; the relay itself records its own report directly.
func (s *State) sendHeartbeat(relay spec.Seat, now time.Time) []Action {
	hb := Heartbeat{
		Seat: s.Self.Seat, Incarnation: s.Self.Incarnation, Revision: s.Revision(),
		Leaving: s.Leaving, Loads: s.Loads,
	}
	if now.Before(s.Grant.ExpiresAt) {
		hb.GrantHash = s.Grant.Hash
	}
	if s.IsRelay {
		reply := s.handleHeartbeat(hb, now)
		s.acceptGrant(now, reply)
		return s.probeEarlierSeats(hb)
	}
	if relay.Name == s.Self.Seat || relay.Name == "" {
		return s.probeEarlierSeats(hb) // This host is not elected yet, or has no seat in the document.
	}
	peer := s.Peers[relay.Name]
	hb.PeerIncarnation, hb.SeenSeq, hb.MembersVersion = peer.Incarnation, peer.SeenSeq, peer.MembersVersion
	if s.lastReport.relayIncarnation != "" && s.lastReport.relayIncarnation == peer.Incarnation && s.loadsUnchanged(s.lastReport.loads, s.Loads) {
		hb.Loads, hb.LoadsUnchanged = nil, true
	}
	return []Action{SendHeartbeat{To: relay, Heartbeat: hb}}
}

// largeDomainHosts is the number of hosts from which a small change of one host's loads is not reported to its relay.
const largeDomainHosts = 9

// loadsUnchanged reports whether the loads need not be sent again.
func (s *State) loadsUnchanged(old, loads map[string]plan.Load) bool {
	if len(s.domainSeats()) < largeDomainHosts {
		return maps.Equal(old, loads)
	}
	return !loadsChanged(old, loads)
}

// probeEarlierSeats sends a heartbeat to each seat that comes before this one. The first of them that is alive
// should be the relay.
func (s *State) probeEarlierSeats(hb Heartbeat) []Action {
	var acts []Action
	for _, seat := range s.domainSeats() {
		if seat.Name == s.Self.Seat {
			break
		}
		peer := s.Peers[seat.Name]
		hb.PeerIncarnation, hb.SeenSeq, hb.MembersVersion = peer.Incarnation, peer.SeenSeq, peer.MembersVersion
		acts = append(acts, SendHeartbeat{To: seat, Heartbeat: hb})
	}
	return acts
}

// handleHeartbeat records a host's heartbeat and returns its grant and the summaries that it lacks.
func (s *State) handleHeartbeat(hb Heartbeat, now time.Time) HeartbeatReply {
	if old := s.Hosts[hb.Seat]; hb.LoadsUnchanged && old.Incarnation == hb.Incarnation {
		hb.Loads = old.Loads
	}
	s.Hosts[hb.Seat] = HostRecord{ReceivedAt: now, Incarnation: hb.Incarnation, Revision: hb.Revision, Leaving: hb.Leaving, Loads: hb.Loads}
	delete(s.Unreachable, hb.Seat)
	reply := HeartbeatReply{Incarnation: s.Self.Incarnation, Revision: s.Revision(), Seq: s.Seq, MembersVersion: s.MembersVersion, Leaving: s.Leaving}
	if s.IsRelay && !hb.Leaving {
		if len(s.Takeovers) > 0 {
			s.updateLedgerPools(now)
		}
		g := s.Ledger.Lend(hb.Seat, s.lendingLease(now), now)
		reply.Units, reply.TTL, reply.GrantHash = g.Units, g.TTL, hashUnits(g.Units)
		if hb.GrantHash == reply.GrantHash {
			reply.Units = nil // The host already holds the same grant.
		}
	}
	if hb.Seat == s.Self.Seat {
		return reply
	}
	seenSeq, membersVersion := hb.SeenSeq, hb.MembersVersion
	if hb.PeerIncarnation != s.Self.Incarnation {
		seenSeq, membersVersion = 0, 0
	}
	reply.Summaries = slices.DeleteFunc(s.summariesSince(seenSeq, "", excludedSource(seenSeq, hb.Seat)), func(summary Summary) bool { return summary.Unchanged })
	reply.StaleDomains = s.staleDomains(now)
	if membersVersion != s.MembersVersion {
		reply.Members = s.Members
	}
	return reply
}

func (s *State) handleHeartbeatResult(e HeartbeatResult, now time.Time) []Action {
	if e.Err != nil {
		relay := s.currentRelay(now).Name
		s.Unreachable[e.Seat] = now
		delete(s.LastReply, e.Seat)
		if relay == e.Seat {
			s.lastHeartbeat = time.Time{}
			return s.tick(now)
		}
		return nil
	}
	delete(s.Unreachable, e.Seat)
	if s.LastReply[e.Seat] = now; e.Reply.Leaving {
		delete(s.LastReply, e.Seat)
	}
	peer := s.Peers[e.Seat]
	if !e.Sent.LoadsUnchanged && e.Seat == s.currentRelay(now).Name {
		s.lastReport = loadReport{relayIncarnation: e.Reply.Incarnation, loads: e.Sent.Loads}
	}
	peer.Incarnation, peer.SeenSeq = e.Reply.Incarnation, e.Reply.Seq
	if e.Reply.MembersVersion != 0 && (e.Reply.Members != nil || peer.MembersVersion != e.Reply.MembersVersion) {
		peer.MembersVersion = e.Reply.MembersVersion
		s.setMembers(e.Reply.Members, now)
	}
	s.Peers[e.Seat] = peer
	s.acceptGrant(e.RequestedAt, e.Reply)
	s.mergeSummaries(e.Seat, e.Reply.Summaries, now)
	if !s.IsRelay {
		s.refreshSummaries(e.Reply.StaleDomains, now)
	}
	return s.fetchIfBehind(e.Seat, e.Reply.Revision, now)
}

// domainLoads sums the loads of the live hosts of this failure domain and lists the hosts that accept no new jobs.
func (s *State) domainLoads(now time.Time) (map[string]plan.Load, []string) {
	sum := map[string]plan.Load{}
	var unavailable []string
	for _, seat := range s.domainSeats() {
		host, ok := s.Hosts[seat.Name]
		if !ok || now.Sub(host.ReceivedAt) > SeatTimeout(len(s.domainSeats())) {
			unavailable = append(unavailable, seat.Name)
			continue
		}
		for svc, l := range host.Loads {
			sum[svc] = addLoads(sum[svc], l)
		}
		if host.Leaving {
			unavailable = append(unavailable, seat.Name)
		}
	}
	return sum, unavailable
}

func addLoads(a, b plan.Load) plan.Load {
	return plan.Load{
		Slots: a.Slots + b.Slots, Busy: a.Busy + b.Busy, Queued: a.Queued + b.Queued,
		Latency: max(a.Latency, b.Latency),
	}
}

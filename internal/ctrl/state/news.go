package state

import (
	"math"
	"slices"
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
)

// summariesSince returns the summaries that this host received after a sequence number, in the order of their
// domains. It omits those of one failure domain and those received from the excluded source.
func (s *State) summariesSince(seq uint64, exceptDomain, source string) []Summary {
	var out []Summary
	for name, record := range s.Summaries {
		switch {
		case record.Seq <= seq || name == exceptDomain || source != "" && record.Source == source:
		case record.ChangedSeq <= seq:
			out = append(out, Summary{Domain: record.Domain, Version: record.Version, Unchanged: true})
		default:
			out = append(out, record.Summary)
		}
	}
	slices.SortFunc(out, func(a, b Summary) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	return out
}

// excludedSource returns the seat whose own summaries need not be sent back to it. It returns "" for a host that has
// received no summaries from this one yet, since it may have restarted and lost its own.
func excludedSource(ackedSeq uint64, seat string) string {
	if ackedSeq == 0 {
		return ""
	}
	return seat
}

// mergeSummaries stores the summaries received from a host that are newer than the known ones, or that replace a stale
// one.
func (s *State) mergeSummaries(source string, summaries []Summary, now time.Time) {
	for _, summary := range summaries {
		old, ok := s.Summaries[summary.Domain]
		if summary.Domain == s.Self.Domain && s.IsRelay {
			continue
		}
		if ok && summary.Version <= old.Version && now.Sub(old.ReceivedAt) < s.summaryTimeout() || summary.Unchanged && !ok {
			continue
		}
		s.Seq++
		changedSeq := s.Seq
		if summary.Unchanged {
			v := summary.Version
			summary, changedSeq = old.Summary, old.ChangedSeq
			summary.Version = v
		}
		s.Summaries[summary.Domain] = SummaryRecord{Summary: summary, ReceivedAt: now, Seq: s.Seq, ChangedSeq: changedSeq, Source: source}
	}
}

// staleDomains lists the failure domains whose summaries have not been refreshed in time.
func (s *State) staleDomains(now time.Time) []string {
	var out []string
	for name, record := range s.Summaries {
		if now.Sub(record.ReceivedAt) > s.summaryTimeout() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// refreshSummaries marks all summaries as current except those that the relay reports as stale, so that the relay need
// not resend unchanged ones.
func (s *State) refreshSummaries(stale []string, now time.Time) {
	for name, record := range s.Summaries {
		if !slices.Contains(stale, name) {
			record.ReceivedAt = now
			s.Summaries[name] = record
		}
	}
}

func (s *State) summaryTimeout() time.Duration {
	return maxMissedRefreshes * SummaryRefreshPeriod(s.domainCount())
}

func (s *State) domainCount() int {
	return len(s.index.domains)
}

// updateOwnSummary publishes a new version of this failure domain's summary if it changed significantly or its refresh
// is due.
func (s *State) updateOwnSummary(now time.Time) {
	loads, unavailable := s.domainLoads(now)
	old, ok := s.Summaries[s.Self.Domain]
	fresh := ok && now.Sub(s.lastSummary) < SummaryRefreshPeriod(s.domainCount())
	unchanged := ok && slices.Equal(old.Unavailable, unavailable) && !loadsChanged(old.Loads, loads) && old.Relay == s.Self.Seat
	if fresh && unchanged {
		return
	}
	s.Seq++
	s.lastSummary = now
	changedSeq := s.Seq
	if unchanged {
		loads, changedSeq = old.Loads, old.ChangedSeq
	}
	s.Summaries[s.Self.Domain] = SummaryRecord{
		Summary: Summary{
			Domain: s.Self.Domain, Version: max(now.UnixMilli(), old.Version+1), Relay: s.Self.Seat,
			Unavailable: unavailable, Loads: loads,
		},
		ReceivedAt: now, Seq: s.Seq, ChangedSeq: changedSeq,
	}
}

// loadChangeThreshold is the fraction of a service's slots by which its free capacity must change to be reported.
const loadChangeThreshold = 0.25

func loadsChanged(old, loads map[string]plan.Load) bool {
	if len(old) != len(loads) {
		return true
	}
	for svc, l := range loads {
		o := old[svc]
		change := float64(l.Headroom() - o.Headroom())
		if o.Slots != l.Slots || max(change, -change) > loadChangeThreshold*float64(max(1, l.Slots)) {
			return true
		}
		if l.Latency > 2*o.Latency || 2*l.Latency < o.Latency {
			return true
		}
	}
	return false
}

// startExchange returns the action that sends an exchange to the relay of the next partner domain, if there is one.
func (s *State) startExchange(now time.Time) []Action {
	d, ok := s.exchangePartner(now)
	if !ok {
		return nil
	}
	to := s.exchangeTarget(d, now)
	peer := s.Peers[to.Name]
	exchange := Exchange{
		Domain: s.Self.Domain, Seat: s.Self.Seat, Incarnation: s.Self.Incarnation, Revision: s.Revision(),
		PeerIncarnation: peer.Incarnation, SeenSeq: peer.SeenSeq, Summaries: s.summariesSince(peer.AckedSeq, d.Name, excludedSource(peer.AckedSeq, to.Name)),
	}
	return []Action{SendExchange{To: to, Domain: d.Name, SentSeq: s.Seq, Exchange: exchange}}
}

// repairInterval is the number of exchanges after which one goes to a domain other than the two regular partners, so
// that summaries get around domains that are cut off. A new partner receives all summaries, so this happens only
// while some are missing.
const repairInterval = 8

// hasMissingSummaries reports whether the summary of some failure domain is unknown or stale.
func (s *State) hasMissingSummaries(now time.Time) bool {
	return len(s.Summaries) < s.domainCount() || len(s.staleDomains(now)) > 0
}

// exchangePartner returns the failure domain for the next exchange. It alternates between the next domain in the
// document's order and the one a row further, with the domains arranged in a square grid. With few regular partners,
// little has changed since the last exchange with each.
func (s *State) exchangePartner(now time.Time) (spec.Domain, bool) {
	n := s.domainCount()
	if n < 2 || s.index.selfIndex < 0 {
		return spec.Domain{}, false
	}
	s.exchangeCount++
	step := 1
	switch {
	case s.exchangeCount%repairInterval == 0 && s.hasMissingSummaries(now):
		step = 1 + s.exchangeCount/repairInterval%(n-1)
	case s.exchangeCount%2 == 0:
		step = max(1, int(math.Sqrt(float64(n))))
	}
	for range n - 1 {
		d := s.index.domains[(s.index.selfIndex+step)%n]
		if d.Name != s.Self.Domain && s.isDomainReachable(d, now) {
			return d, true
		}
		step++
	}
	d := s.index.domains[(s.index.selfIndex+1+s.exchangeCount%(n-1))%n]
	return d, len(d.Seats) > 0
}

func (s *State) isDomainReachable(d spec.Domain, now time.Time) bool {
	for _, seat := range d.Seats {
		if !s.isUnreachable(seat.Name, now) {
			return true
		}
	}
	return false
}

// exchangeTarget returns the relay that the domain published if it is reachable, or else the first reachable seat.
func (s *State) exchangeTarget(d spec.Domain, now time.Time) spec.Seat {
	relay := s.Summaries[d.Name].Relay
	for _, seat := range d.Seats {
		if seat.Name == relay && !s.isUnreachable(seat.Name, now) {
			return seat
		}
	}
	for _, seat := range d.Seats {
		if !s.isUnreachable(seat.Name, now) {
			return seat
		}
	}
	return d.Seats[s.exchangeCount%len(d.Seats)]
}

func (s *State) handleExchange(exchange Exchange, now time.Time) ExchangeReply {
	reply := ExchangeReply{Incarnation: s.Self.Incarnation, Revision: s.Revision()}
	if s.Doc == nil {
		return reply
	}
	seenSeq := exchange.SeenSeq
	if exchange.PeerIncarnation != s.Self.Incarnation {
		seenSeq = 0
	}
	reply.Summaries = s.summariesSince(seenSeq, exchange.Domain, excludedSource(seenSeq, exchange.Seat))
	s.mergeSummaries(exchange.Seat, exchange.Summaries, now)
	reply.Seq = s.Seq
	delete(s.Unreachable, exchange.Seat)
	return reply
}

func (s *State) handleExchangeResult(e ExchangeResult, now time.Time) []Action {
	if e.Err != nil {
		s.Unreachable[e.Seat] = now
		delete(s.Peers, e.Seat)
		return nil
	}
	delete(s.Unreachable, e.Seat)
	peer := s.Peers[e.Seat]
	if peer.Incarnation != e.Reply.Incarnation {
		peer = Peer{Incarnation: e.Reply.Incarnation}
	} else {
		peer.AckedSeq = e.SentSeq
	}
	peer.SeenSeq = e.Reply.Seq
	s.Peers[e.Seat] = peer
	s.mergeSummaries(e.Seat, e.Reply.Summaries, now)
	return s.fetchIfBehind(e.Seat, e.Reply.Revision, now)
}

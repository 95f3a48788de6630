package state

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/spec"
)

// adoptDocument installs a document if its revision is higher than the one in force, and announces it.
func (s *State) adoptDocument(doc spec.Document, local bool, now time.Time) []Action {
	s.fetchStartedAt = time.Time{}
	if doc.Revision <= s.Revision() {
		return nil
	}
	s.Doc, s.index = &doc, newDocumentIndex(&doc, s.Self)
	s.updateAllocations(now)
	acts := s.tick(now)
	return append(acts, s.announce(local, now)...)
}

// handleNotice applies the changes of a notice, or fetches the document if they don't lead to its revision.
func (s *State) handleNotice(n NoticeReceived, now time.Time) []Action {
	if n.Revision > s.Revision() && s.Doc != nil {
		if doc, err := s.Doc.Replay(n.Changes); err == nil && doc.Revision == n.Revision {
			return s.adoptDocument(doc, false, now)
		}
	}
	return s.fetchIfBehind(n.Seat, n.Revision, now)
}

// maxNoticeChanges is the number of most recent changes that a notice carries.
const maxNoticeChanges = 2

// announce sends notices of a new revision. A relay notifies all hosts of its failure domain; a host through which an
// operator made the change notifies its relay.
func (s *State) announce(local bool, now time.Time) []Action {
	var recipients []spec.Seat
	relay := s.currentRelay(now).Name
	for _, seat := range s.domainSeats() {
		if seat.Name == s.Self.Seat || s.isUnreachable(seat.Name, now) {
			continue
		}
		if s.IsRelay || local && seat.Name == relay {
			recipients = append(recipients, seat)
		}
	}
	if len(recipients) == 0 {
		return nil
	}
	recent := s.Doc.Recent
	recent = recent[max(0, len(recent)-maxNoticeChanges):]
	return []Action{SendNotice{To: recipients, Revision: s.Revision(), Changes: recent}}
}

// fetchIfBehind fetches the document of a host that has a higher revision, unless a fetch is in progress.
func (s *State) fetchIfBehind(seat string, revision uint64, now time.Time) []Action {
	if revision <= s.Revision() || now.Sub(s.fetchStartedAt) < FetchTimeout {
		return nil
	}
	host, ok := s.findSeat(seat)
	if !ok {
		return nil
	}
	s.fetchStartedAt = now
	return []Action{FetchDocument{From: host}}
}

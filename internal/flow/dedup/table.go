package dedup

import (
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Bounds of a table.
const (
	// MaxRecords is the maximum number of jobs in a table.
	MaxRecords = 100_000
	// MaxKeptBytes is the maximum total size in bytes of the answer bodies that a table keeps for replay.
	MaxKeptBytes = 16 << 20
	// MaxKeptAnswer is the maximum size in bytes of one answer body that is kept.
	MaxKeptAnswer = 64 << 10
)

// Record is the state of one job with a ticket; AnswerKept tells whether it holds the answer.
type Record struct {
	Ticket     string
	Expiry     time.Time
	Digest     uint64
	Outcome    pipe.Outcome
	Answer     pipe.Answer
	AnswerKept bool
}

type entry struct {
	Record
	done chan struct{}
}

// Table stores the jobs with tickets that this process ran, or that a stopped process handed over.
type Table struct {
	mu        sync.Mutex
	records   map[string]*entry
	adopted   map[string]time.Time
	keptBytes int
	closed    bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]*entry{}, adopted: map[string]time.Time{}}
}

// claimResult is the result of claiming a ticket.
type claimResult int

const (
	claimNew claimResult = iota
	claimKnown
	claimTableFull
	claimTableClosed
)

// claim claims a ticket, given its text and its parsed form, for the first try; each later try gets the same entry.
func (t *Table) claim(text string, ticket Ticket, digest uint64) (*entry, claimResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.records[text]; ok {
		return e, claimKnown
	}
	if t.closed {
		return nil, claimTableClosed
	}
	if len(t.records) >= MaxRecords {
		return nil, claimTableFull
	}
	e := &entry{Record: Record{Ticket: text, Expiry: ticket.Expiry, Digest: digest}, done: make(chan struct{})}
	t.records[text] = e
	return e, claimNew
}

// complete records the outcome of a job and wakes the tries that wait for it.
func (t *Table) complete(ticket string, o pipe.Outcome, a pipe.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[ticket]
	if e == nil || e.Outcome.Kind != pipe.Pending {
		return
	}
	e.Outcome = o
	if o.Kind == pipe.Answered && len(a.Body) <= MaxKeptAnswer && t.keptBytes+len(a.Body) <= MaxKeptBytes {
		t.keptBytes += len(a.Body)
		e.Answer, e.AnswerKept = a, true
	}
	close(e.done)
}

// DeleteExpired deletes the records of ended jobs whose tickets have expired, and the incarnations whose adoption has.
func (t *Table) DeleteExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, e := range t.records {
		if e.Outcome.Kind == pipe.Pending || now.Before(e.Expiry) {
			continue
		}
		if e.AnswerKept {
			t.keptBytes -= len(e.Answer.Body)
		}
		delete(t.records, k)
	}
	for inc, until := range t.adopted {
		if now.After(until) {
			delete(t.adopted, inc)
		}
	}
}

// Close permanently refuses new claims and returns the records for a successor. Call it after the last job has
// ended: a job that still runs is handed over as unknown.
func (t *Table) Close() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	out := make([]Record, 0, len(t.records))
	for _, e := range t.records {
		r := e.Record
		if r.Outcome.Kind == pipe.Pending {
			r.Outcome = pipe.Outcome{Kind: pipe.Unknown, Reason: pipe.OwnerGone, Detail: "its owner stopped while it ran"}
		}
		out = append(out, r)
	}
	return out
}

// StopClaims refuses new claims from now on; tries of known tickets still get their record.
func (t *Table) StopClaims() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Adopt takes over records of a stopped incarnation, and with the last of them the ownership of its tickets.
func (t *Table) Adopt(incarnation string, until time.Time, last bool, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last {
		t.adopted[incarnation] = until
	}
	for _, r := range records {
		if _, ok := t.records[r.Ticket]; ok {
			continue
		}
		if r.AnswerKept && t.keptBytes+len(r.Answer.Body) > MaxKeptBytes {
			r.Answer, r.AnswerKept = pipe.Answer{}, false
		}
		t.keptBytes += len(r.Answer.Body)
		e := &entry{Record: r, done: make(chan struct{})}
		close(e.done)
		t.records[r.Ticket] = e
	}
}

// Adopted reports whether this table took over an incarnation's tickets.
func (t *Table) Adopted(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.adopted[incarnation]
	return ok
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

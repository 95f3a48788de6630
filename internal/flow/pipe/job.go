package pipe

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Job is one request of a caller on its way through the filters.
type Job struct {
	ID       string
	Service  string
	Rank     string
	Level    int
	Caller   string
	Block    uint64
	Method   string
	Path     string
	Type     string
	Body     []byte
	Deadline time.Time
	Ticket   string
	Once     bool
	Digest   uint64
	Trace    map[string]string

	Plan     *plan.Plan
	Targets  []Target
	Upstream Place
	Started  time.Time
	Reply    Reply
	Outcome  Outcome
	Answer   Answer
	Crashed  bool
	Draining bool
	Claimed  bool
	Hop      int
	From     string // The region that the job came from over a link.

	Host       string              // The authority that the caller asked for.
	Header     map[string][]string // What is passed through to the upstream.
	Object     string              // Jobs on the same object are fastest on the same upstream.
	View       *roster.View
	Route      *policy.Route
	Objective  time.Time     // An answer is worth most until then.
	Crashes    []string      // The upstreams of earlier tries that crashed while they ran the job.
	MayHaveRun bool          // An earlier try may have run, whatever became of a later one.
	Tries      int           // How many upstreams the job was sent to.
	RetryAfter time.Duration // When a refused caller does best to come back.
}

// Target is an entry host that may serve a job, and why it was picked.
type Target struct {
	Seat   string
	Peer   string
	Region string
	Domain string
	Self   bool // This host.
	Reason string
}

// Place is the upstream that a job was admitted to.
type Place struct {
	ID      string
	Address string
	Conns   int64
}

// Answer is a whole answer of an upstream.
type Answer struct {
	Status int
	Type   string
	Header map[string][]string // What is passed through to the caller.
	Body   []byte
}

// Report is what an upstream says of its own load.
type Report struct {
	Running int
	Waiting int
	Slots   int
}

// Reply is what came back from an upstream, before it is checked.
type Reply struct {
	Answer   Answer
	ID       string // The job id that the upstream echoed, if any.
	Sent     bool   // A byte of the job may have reached the upstream.
	Whole    bool   // The answer arrived to its end, as its length and digest say.
	Shed     bool   // The upstream says that it did not run the job.
	Draining bool   // The upstream says that it leaves.
	Late     bool   // The deadline passed or the caller left.
	Crash    bool   // The upstream seems to have crashed.
	Moved    bool   // Another upstream has the address now; it did not run the job.
	Report   *Report
	Dial     time.Duration // How long a new connection took; 0 if none was opened.
	Err      error
}

// Kind says how a job ended.
type Kind int

// Kinds of outcome.
const (
	// Pending jobs have not ended.
	Pending Kind = iota
	// Answered jobs ran and have a whole answer.
	Answered
	// NotRun jobs were refused before a byte could reach an upstream.
	NotRun
	// Unknown jobs may have run, but no whole answer came back.
	Unknown
)

var kindNames = [...]string{"pending", "answered", "not-run", "unknown"}

// String returns the kind's name in messages.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// ParseKind reads a kind's name; it returns false for any other text.
func ParseKind(s string) (Kind, bool) {
	for i, n := range kindNames {
		if n == s {
			return Kind(i), true
		}
	}
	return Pending, false
}

// Reason says why a job ended without an answer.
type Reason string

// Reasons of refusal.
const (
	BadRequest  Reason = "bad-request"
	NoService   Reason = "no-service"
	NoRank      Reason = "no-rank"
	NoTicket    Reason = "no-ticket"
	BadTicket   Reason = "bad-ticket"
	OwnerGone   Reason = "owner-gone"
	AnswerGone  Reason = "answer-gone"
	Quarantined Reason = "quarantined"
	NoTarget    Reason = "no-target"
	NoUpstream  Reason = "no-upstream"
	QueueFull   Reason = "queue-full"
	TooLate     Reason = "too-late"
	Expired     Reason = "expired"
	LinkFull    Reason = "link-full"
	PeerDown    Reason = "peer-down"
	PeerLost    Reason = "peer-lost"
	Shed        Reason = "shed"
	Refused     Reason = "connect-failed"
	Lost        Reason = "connection-lost"
	Mismatch    Reason = "answer-mismatch"
	TooLarge    Reason = "too-large"
	Stopping    Reason = "stopping"
	NoPolicy    Reason = "no-policy"
	NoRoute     Reason = "no-route"
	NoBudget    Reason = "no-retry-budget"
	Moved       Reason = "address-reused"
	TimedOut    Reason = "timed-out"
	CallerGone  Reason = "caller-gone"
	Failed      Reason = "upstream-failed"
)

// Outcome is how a job ended, and why.
type Outcome struct {
	Kind   Kind
	Reason Reason
	Detail string
}

// WaitPart is the part of its time that a job may spend in one queue. A queue that is full of longer waits
// serves no more jobs, only later ones, and many of them too late.
const WaitPart = 0.25

// WaitUntil returns until when the job may wait in a queue from now on.
func (j *Job) WaitUntil(now time.Time) time.Time {
	return now.Add(time.Duration(WaitPart * float64(j.Deadline.Sub(now))))
}

// Ended tells whether the job has an outcome.
func (j *Job) Ended() bool { return j.Outcome.Kind != Pending }

// Refuse ends the job as not run.
func (j *Job) Refuse(r Reason, detail string) {
	j.Outcome = Outcome{Kind: NotRun, Reason: r, Detail: detail}
}

// Reject ends the job; if its ticket was not looked up yet, an earlier try may have run.
func (j *Job) Reject(r Reason, detail string) {
	if j.Ticket != "" && !j.Claimed {
		j.Lose(r, detail)
		return
	}
	j.Refuse(r, detail)
}

// Lose ends the job as one that may have run.
func (j *Job) Lose(r Reason, detail string) {
	j.Outcome = Outcome{Kind: Unknown, Reason: r, Detail: detail}
}

// Finish ends the job with a whole answer.
func (j *Job) Finish(a Answer) {
	j.Answer = a
	j.Outcome = Outcome{Kind: Answered}
}

// Retryable tells whether another target may be tried: nothing ran, and another place may differ;
// or the job may be repeated, and its answer was lost on the way.
func (j *Job) Retryable() bool {
	switch j.Outcome.Reason {
	case NoUpstream, QueueFull, TooLate, LinkFull, PeerDown, Shed, Refused, Stopping:
		return j.Outcome.Kind == NotRun
	case Lost, Mismatch, PeerLost:
		return !j.Once
	}
	return false
}

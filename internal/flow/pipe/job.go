package pipe

import (
	"errors"
	"time"

	"github.com/boragelane/boragelane/internal/core/held"
	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// Job is a request of a caller together with the state that the filters add to it.
type Job struct {
	ID          string
	Service     string
	Rank        string // Name of the rank, as the caller gave it or as accept set it.
	Level       int    // Index of the rank; 0 is the most urgent.
	Caller      string
	CallerHash  uint64
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Deadline    time.Time
	Ticket      string
	Once        bool   // The job runs at most once.
	Digest      uint64 // Hash that identifies the request when it is sent again.
	Trace       map[string]string

	Plan       *plan.Plan
	Targets    []Target
	Upstream   UpstreamRef
	Started    time.Time
	Reply      Reply
	Outcome    Outcome
	Answer     Answer
	Crashed    bool   // The upstream seems to have crashed while it ran the job.
	Draining   bool   // The upstream announced that it is draining.
	Claimed    bool   // This try claimed the job's ticket.
	Hop        int    // How often the job was forwarded to another host.
	FromRegion string // The region of the host that forwarded the job, or "" on its first hop.

	Host             string              // The authority that the caller requested.
	Header           map[string][]string // The header fields passed on to the upstream.
	Object           string              // The affinity key: jobs with the same key run fastest on the same upstream.
	View             *roster.View
	Route            *policy.Route
	Objective        time.Time     // The target time of the answer; a later answer is worth less.
	CrashedUpstreams []UpstreamRef // The upstreams that crashed during earlier attempts.
	MayHaveRun       bool          // Some attempt may have run, whatever the result of later ones.
	Attempts         int           // The number of upstreams that the job was sent to.
	Returning        bool          // The caller seems to have sent the job before, without success.
	RetryAfter       time.Duration // How long a refused caller should wait before it retries.
	Credentials      []string      // The caller's key as it was sent, once for each header field; never logged or forwarded.
	Workspaces       bool          // The policy has workspaces, so that the upstream gets the job's and nothing that the caller sent in its place.
	Workspace        string        // The name of the workspace that the caller's key belongs to.
	Held             *held.Account // What is held in memory for the request.
	Homes            []string      // The regions that may run the job; empty allows all.
}

// Target is an entry host that may serve a job, and the reason for its selection.
type Target struct {
	Seat   string
	Peer   string
	Region string
	Domain string
	Self   bool   // Whether the target is this host.
	Reason string // Why the target was selected.
}

// UpstreamRef identifies the upstream that a job was admitted to and bounds the connections to it.
type UpstreamRef struct {
	ID      string
	Born    int64 // Identifies the incarnation; 0 if it isn't known.
	Address string
	Conns   int64
}

// Answer is the complete response of an upstream.
type Answer struct {
	Status      int
	ContentType string
	Header      map[string][]string // The header fields passed on to the caller.
	Body        []byte
}

// LoadReport is the load that an upstream reports about itself.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	Pace    float64 // How long work takes at this moment, relative to the usual; 0 if not reported.
}

// Reply is the unchecked result of sending a job to an upstream.
type Reply struct {
	Answer        Answer
	ID            string // The job ID that the upstream echoed, if any.
	Sent          bool   // Some bytes of the job may have reached the upstream.
	Complete      bool   // The answer is complete by its length and digest.
	Shed          bool   // The upstream reported that it did not run the job.
	Draining      bool   // The upstream announced that it is draining.
	Leaving       bool   // The upstream leaves and must get no further job.
	NoMemory      bool   // The host held too much for its callers to read the answer.
	Late          bool   // The deadline passed or the caller disconnected.
	Crashed       bool   // The upstream seems to have crashed.
	Left          bool   // The upstream left before anything was sent.
	AddressReused bool   // Another upstream now has the address and did not run the job.
	Report        *LoadReport
	DialTime      time.Duration // The time taken to open a new connection; 0 if none was opened.
	RetryAfter    time.Duration // How long the upstream, which rejected the job, wants no job from this host; 0 if it takes them.
	Err           error
}

// OutcomeKind is the state of a job's outcome.
type OutcomeKind int

// Kinds of outcome.
const (
	// Pending means that the job has not ended.
	Pending OutcomeKind = iota
	// Answered means that the job ran and has a complete answer.
	Answered
	// NotRun means that the job provably did not run: no byte can have reached an upstream, or the upstream
	// reported that it did not run it.
	NotRun
	// Unknown means that the job may have run, but no complete answer came back.
	Unknown
)

var kindNames = [...]string{"pending", "answered", "not-run", "unknown"}

// String returns the kind's name as used on the wire and in logs.
func (k OutcomeKind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// ParseOutcomeKind parses a kind's name and reports whether the name is valid.
func ParseOutcomeKind(s string) (OutcomeKind, bool) {
	for i, n := range kindNames {
		if n == s {
			return OutcomeKind(i), true
		}
	}
	return Pending, false
}

// Reason is the cause of a job ending without an answer.
type Reason string

// Reasons for ending a job without an answer.
const (
	BadRequest     Reason = "bad-request"
	NoService      Reason = "no-service"
	NoRank         Reason = "no-rank"
	NoTicket       Reason = "no-ticket"
	BadTicket      Reason = "bad-ticket"
	OwnerGone      Reason = "owner-gone"
	AnswerGone     Reason = "answer-gone"
	Quarantined    Reason = "quarantined"
	NoTarget       Reason = "no-target"
	NoUpstream     Reason = "no-upstream"
	QueueFull      Reason = "queue-full"
	TooLate        Reason = "too-late" // The deadline can't be met, or passed between admission and the send.
	Expired        Reason = "expired"  // The deadline passed on arrival, before serve sent the job, or while it ran.
	LinkFull       Reason = "link-full"
	PeerDown       Reason = "peer-down"
	PeerLost       Reason = "peer-lost"
	Shed           Reason = "shed"
	ConnectFailed  Reason = "connect-failed"
	ConnectionLost Reason = "connection-lost"
	AnswerMismatch Reason = "answer-mismatch"
	TooLarge       Reason = "too-large"
	Stopping       Reason = "stopping"
	NoPolicy       Reason = "no-policy"
	NoRoute        Reason = "no-route"
	NoRetryBudget  Reason = "no-retry-budget"
	AddressReused  Reason = "address-reused"
	TimedOut       Reason = "timed-out" // The deadline passed after serve sent the job.
	CallerGone     Reason = "caller-gone"
	UpstreamFailed Reason = "upstream-failed"
	Unauthorized   Reason = "unauthorized"
	OverQuota      Reason = "over-quota"
	Superseded     Reason = "superseded"      // Another attempt of the job was answered first.
	KeysUnverified Reason = "keys-unverified" // The policy is too old to tell whether the caller's key is still valid.
	NoHome         Reason = "no-home"         // No region may run the job: its route and its workspace have no home in common.
	NoMemory       Reason = "no-memory"       // The host holds too much to read the answer.
)

// ErrStopping is the cause with which a stopping host cancels the jobs that are still running shortly before its exit.
var ErrStopping = errors.New("the host is stopping")

// ErrSuperseded is the cause with which an attempt is canceled when another attempt of its job was answered first.
var ErrSuperseded = errors.New("another attempt was answered")

// Outcome is the result of a job with its reason and a message for the caller.
type Outcome struct {
	Kind   OutcomeKind
	Reason Reason
	Detail string
}

// MaxWaitFraction is the fraction of its remaining time that a job may spend in one queue. Longer waits don't
// raise throughput; they only delay jobs, many of them past their deadline.
const MaxWaitFraction = 0.25

// QueueDeadline returns the time at which a job that is queued now must leave the queue.
func (j *Job) QueueDeadline(now time.Time) time.Time {
	return now.Add(time.Duration(MaxWaitFraction * float64(j.Deadline.Sub(now))))
}

// Ended reports whether the job has an outcome.
func (j *Job) Ended() bool { return j.Outcome.Kind != Pending }

// Refuse ends the job as not run.
func (j *Job) Refuse(r Reason, detail string) {
	j.Outcome = Outcome{Kind: NotRun, Reason: r, Detail: detail}
}

// RefuseUnclaimed ends the job as not run, or as unknown if its ticket was not claimed yet and an earlier try may
// have run.
func (j *Job) RefuseUnclaimed(r Reason, detail string) {
	if j.Ticket != "" && !j.Claimed {
		j.EndUnknown(r, detail)
		return
	}
	j.Refuse(r, detail)
}

// EndUnknown ends the job as one that may have run.
func (j *Job) EndUnknown(r Reason, detail string) {
	j.Outcome = Outcome{Kind: Unknown, Reason: r, Detail: detail}
}

// EndAnswered ends the job with a complete answer.
func (j *Job) EndAnswered(a Answer) {
	j.Answer = a
	j.Outcome = Outcome{Kind: Answered}
}

// Retryable reports whether another target may be tried: the job did not run and another target may accept
// it, or its answer was lost and the job may run more than once.
func (j *Job) Retryable() bool {
	switch j.Outcome.Reason {
	case NoUpstream, QueueFull, TooLate, LinkFull, PeerDown, Shed, ConnectFailed, Stopping:
		return j.Outcome.Kind == NotRun
	case ConnectionLost, AnswerMismatch, PeerLost:
		return !j.Once
	}
	return false
}

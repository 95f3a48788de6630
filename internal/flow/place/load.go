package place

import (
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
)

const (
	// sampleWeight is the weight of the newest sample in a moving mean.
	sampleWeight = 0.2
	// failLimit is how much of an upstream's recent answers may be failures before it is ejected.
	failLimit = 0.35
	// failLeast is how many failures in a row eject an upstream whatever came before.
	failLeast = 3
	// ejectLeast and ejectMost bound an ejection; it doubles while the upstream keeps failing.
	ejectLeast = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// reportLag is how much later than an upstream's return its first report may be known here: a heartbeat of
	// 1.5 s, a read of the store and the news from the host that reads it.
	reportLag = 2500 * time.Millisecond
	// coldPart is the part of a cold upstream's rate that a placing host uses: three hosts may think for a while
	// that they place for it, and the bound is one and a half times the rate and a little.
	coldPart = 0.5
	// warmGap is the time between requests that a cold upstream gets though others would answer sooner.
	warmGap = time.Second
)

// load is this host's picture of one incarnation of an upstream.
type load struct {
	upstream *roster.Upstream
	hash     uint64  // Of its ID.
	domain   int     // Its failure domain's place in the table's list.
	ours     bool    // This region uses it.
	listed   bool    // It may get work.
	running  int     // Jobs there.
	share    int     // Jobs that may be there at the same time.
	queued   int     // Jobs that wait for it.
	ratio    float64 // Its work against what its service's requests are expected to take.
	memory   memory
	warmed   time.Time // When a cold upstream last got a request.
	failing  float64   // Moving mean of failures, 0 to 1.
	inRow    int
	until    time.Time // Ejected until then.
	eject    time.Duration
	tokens   float64
	filled   time.Time
	coldEnd  time.Time
}

// queueing returns how many mean works a further job is expected to wait. A nearly full upstream counts a little
// too: the next job for one of its objects would have to wait.
func (l *load) queueing() float64 {
	share := float64(l.share)
	busy := min(1, float64(l.running)/share)
	return max(0, (float64(l.running+l.queued+1)-share)/share) + fullPenalty*busy*busy
}

// fullPenalty is how many mean works a full upstream costs besides its queue.
const fullPenalty = 0.4

// down tells whether the upstream is ejected.
func (l *load) down(now time.Time) bool { return now.Before(l.until) }

// cold tells whether the upstream is cold.
func (l *load) cold(now time.Time) bool { return now.Before(l.coldEnd) }

// setCold takes the upstream for cold until a time.
func (l *load) setCold(now, until time.Time) {
	if !until.After(l.coldEnd) {
		return
	}
	if !l.cold(now) {
		l.tokens, l.filled = 1, now
	}
	l.coldEnd = until
}

// fill adds the tokens that a cold upstream's rate has grown since.
func (l *load) fill(now time.Time, rate float64) {
	if gap := now.Sub(l.filled); gap > 0 {
		l.filled = now
		l.tokens = min(1, l.tokens+rate*coldPart*gap.Seconds())
	}
}

// decayPart is the part of an upstream's difference from its service that is forgiven with each sweep in which it had
// no job: only jobs could show that it has recovered.
const decayPart = 0.1

func (l *load) decay() {
	if l.running == 0 {
		l.ratio += decayPart * (1 - l.ratio)
		l.failing *= 1 - decayPart
	}
}

// Result is how a job ended at an upstream.
type Result struct {
	Took    time.Duration
	Dial    time.Duration // How long a new connection took; 0 if none was opened.
	Waiting int           // Jobs in the upstream's own queue, as it told.
	Good    bool          // The upstream gave a whole answer that is no failure of its own.
	Quiet   bool          // Nothing can be learned: the caller left or the job's time was short.
	Shed    bool          // The upstream did not run the job.
	Moved   bool          // Another upstream has the address.
	Broken  bool          // No connection could be opened, or the upstream seems to have crashed.

	Work time.Duration // What the job was expected to take, without the round trip.
	Trip time.Duration // The round trip.
}

// learn takes in the result of a job.
func (l *load) learn(now time.Time, r Result) {
	if r.Moved {
		l.until = now.Add(ejectMost)
		return
	}
	if r.Quiet {
		return
	}
	if r.Good {
		l.failing *= 1 - sampleWeight
		l.inRow, l.eject = 0, 0
		if r.Work > 0 {
			sample := min(ratioMost, max(ratioLeast, float64(r.Took-r.Trip)/float64(r.Work)))
			l.ratio += sampleWeight * (sample - l.ratio)
		}
		return
	}
	if r.Shed {
		return
	}
	l.failing += sampleWeight * (1 - l.failing)
	l.inRow++
	if r.Broken || l.inRow >= failLeast || l.failing > failLimit {
		l.eject = min(ejectMost, max(ejectLeast, 2*l.eject))
		l.until = now.Add(l.eject)
		l.failing /= 2
	}
	if r.Broken && l.eject > ejectLeast {
		l.setCold(now, l.until.Add(reportLag)) // It is down, and will be cold when it is back.
	}
}

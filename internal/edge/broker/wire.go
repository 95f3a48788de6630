package broker

import (
	"encoding/binary"
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("broker")

// ErrCall is a failed call to another host, or a call that this host rejects.
var ErrCall = Errors.NewType("call")

// JSON-RPC methods between hosts.
const (
	methodAcquire = "take" // Requests an upstream; the reply is a grant, or null.
	methodRelease = "free" // Ends a grant.
	methodCancel  = "drop" // Cancels a waiting acquire call.
	methodPing    = "ping"
	methodUpdates = "news"  // Requests the store changes after a revision.
	methodLoans   = "deal"  // Sends a region's demand; the reply is the loans.
	methodQuota   = "quota" // Requests tokens of workspaces; the reply is what the owner grants.
	methodLearn   = "tell"  // Requests what a placing host has learned of a service's upstreams.
)

// wireAcquire is the encoding of a place.Request.
type wireAcquire struct {
	Call      uint64   `json:"n"` // Number of the call, used to cancel it.
	Host      string   `json:"host"`
	Domain    string   `json:"dom"`
	Region    string   `json:"reg"`
	Service   string   `json:"svc"`
	Rank      int      `json:"rank"`
	Object    string   `json:"obj,omitempty"`
	Homes     []string `json:"homes,omitempty"`
	Tried     []string `json:"tried,omitempty"`
	Objective int64    `json:"aim"` // Time left in milliseconds, since the clocks of hosts differ.
	Deadline  int64    `json:"end"` // Time left in milliseconds.

	NoWait    bool              `json:"now,omitempty"`
	Digest    uint64            `json:"dig,omitempty"`
	Workspace string            `json:"ws,omitempty"`
	Counted   bool              `json:"paid,omitempty"`
	Trace     map[string]string `json:"span,omitempty"`
}

func newWireAcquire(req *place.Request, call uint64, now time.Time) wireAcquire {
	return wireAcquire{
		Call: call, Host: req.Host.Name, Domain: req.Host.Domain, Region: req.Host.Region, Service: req.Service, Rank: req.Rank,
		Object: req.Object, Homes: req.Homes, Tried: req.Tried,
		Objective: req.Objective.Sub(now).Milliseconds(), Deadline: req.Deadline.Sub(now).Milliseconds(),
		NoWait: req.NoWait, Digest: req.Digest, Workspace: req.Workspace, Counted: req.Counted, Trace: req.Trace,
	}
}

func (w *wireAcquire) toRequest(now time.Time) place.Request {
	return place.Request{
		Host: roster.Host{Name: w.Host, Domain: w.Domain, Region: w.Region}, Service: w.Service, Rank: w.Rank,
		Object: w.Object, Homes: w.Homes, Tried: w.Tried,
		Objective: now.Add(time.Duration(w.Objective) * time.Millisecond),
		Deadline:  now.Add(time.Duration(w.Deadline) * time.Millisecond),
		NoWait:    w.NoWait,
		Digest:    w.Digest,
		Workspace: w.Workspace,
		Counted:   w.Counted,
		Trace:     w.Trace,
	}
}

// wireGrant is a grant of one incarnation of an upstream, or a refusal, which has no upstream.
type wireGrant struct {
	ID          uint64        `json:"n,omitempty"`
	Upstream    string        `json:"up,omitempty"`
	Born        int64         `json:"born,omitempty"`
	RetryAfter  time.Duration `json:"later,omitempty"`
	HedgeAfter  time.Duration `json:"hedge,omitempty"`
	Quarantined bool          `json:"quar,omitempty"`
	OverQuota   bool          `json:"over,omitempty"`
}

// wireRelease ends a grant with the encoding of its place.Result.
type wireRelease struct {
	ID            uint64        `json:"n"`
	Duration      time.Duration `json:"took"`
	DialTime      time.Duration `json:"dial,omitempty"`
	QueueLength   int           `json:"wait,omitempty"`
	Succeeded     bool          `json:"good,omitempty"`
	Inconclusive  bool          `json:"quiet,omitempty"`
	Shed          bool          `json:"shed,omitempty"`
	AddressReused bool          `json:"moved,omitempty"`
	Unreachable   bool          `json:"broken,omitempty"`
	Crashed       bool          `json:"crash,omitempty"`
	Leaving       bool          `json:"leave,omitempty"`
	RetryAfter    time.Duration `json:"later,omitempty"`
	NotRun        bool          `json:"unrun,omitempty"`
	Pace          float64       `json:"pace,omitempty"`
}

func newWireRelease(id uint64, r place.Result) wireRelease {
	return wireRelease{
		ID: id, Duration: r.Duration, DialTime: r.DialTime, QueueLength: r.QueueLength, Succeeded: r.Succeeded, Inconclusive: r.Inconclusive, Shed: r.Shed,
		AddressReused: r.AddressReused, Unreachable: r.Unreachable, Crashed: r.Crashed, Leaving: r.Leaving, RetryAfter: r.RetryAfter, NotRun: r.NotRun, Pace: r.Pace,
	}
}

func (w *wireRelease) toResult() place.Result {
	return place.Result{
		Duration: w.Duration, DialTime: w.DialTime, QueueLength: w.QueueLength, Succeeded: w.Succeeded, Inconclusive: w.Inconclusive, Shed: w.Shed, AddressReused: w.AddressReused, Unreachable: w.Unreachable,
		Crashed: w.Crashed, Leaving: w.Leaving, RetryAfter: w.RetryAfter, NotRun: w.NotRun, Pace: w.Pace,
	}
}

type wireCancel struct {
	Call uint64 `json:"n"`
}

// wireLearnRequest names the service.
type wireLearnRequest struct {
	Service string `json:"svc"`
}

// wireKnowledge is the encoding of a place.Knowledge.
type wireKnowledge struct {
	Hit       time.Duration       `json:"hit"`
	Miss      time.Duration       `json:"miss"`
	All       time.Duration       `json:"all"`
	CacheSize float64             `json:"cache"`
	Upstreams []wireKnownUpstream `json:"ups"`
}

type wireKnownUpstream struct {
	ID       string  `json:"n"`
	Born     int64   `json:"b"`
	Slowdown float64 `json:"s"`
	Recent   []byte  `json:"o"` // The hashes, eight bytes each.
}

func newWireKnowledge(k *place.Knowledge) *wireKnowledge {
	if k == nil {
		return nil
	}
	w := &wireKnowledge{Hit: k.Hit, Miss: k.Miss, All: k.All, CacheSize: k.CacheSize}
	for _, u := range k.Upstreams {
		var recent []byte
		for _, object := range u.Recent {
			recent = binary.BigEndian.AppendUint64(recent, object)
		}
		w.Upstreams = append(w.Upstreams, wireKnownUpstream{ID: u.ID, Born: u.Born, Slowdown: u.Slowdown, Recent: recent})
	}
	return w
}

func (w *wireKnowledge) knowledge() *place.Knowledge {
	k := &place.Knowledge{Hit: w.Hit, Miss: w.Miss, All: w.All, CacheSize: w.CacheSize}
	for _, u := range w.Upstreams {
		var recent []uint64
		for b := u.Recent; len(b) >= 8; b = b[8:] {
			recent = append(recent, binary.BigEndian.Uint64(b))
		}
		k.Upstreams = append(k.Upstreams, place.UpstreamKnowledge{ID: u.ID, Born: u.Born, Slowdown: u.Slowdown, Recent: recent})
	}
	return k
}

// wireUpdatesRequest is the encoding of a watch.Query; its fields match, since it is converted from one.
type wireUpdatesRequest struct {
	Era   int64         `json:"era,omitempty"` // The era of After; not known to earlier releases.
	After int64         `json:"after"`
	Wait  time.Duration `json:"wait,omitempty"` // How long to wait for news.
	Age   time.Duration `json:"age,omitempty"`  // Age of the asking host's state; not known to earlier releases.
}

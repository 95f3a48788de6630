package broker

import (
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
	methodUpdates = "news" // Requests the store changes after a revision.
	methodLoans   = "deal" // Sends a region's demand; the reply is the loans.
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

	Trace map[string]string `json:"span,omitempty"`
}

func newWireAcquire(req *place.Request, call uint64, now time.Time) wireAcquire {
	return wireAcquire{
		Call: call, Host: req.Host.Name, Domain: req.Host.Domain, Region: req.Host.Region, Service: req.Service, Rank: req.Rank,
		Object: req.Object, Homes: req.Homes, Tried: req.Tried,
		Objective: req.Objective.Sub(now).Milliseconds(), Deadline: req.Deadline.Sub(now).Milliseconds(),
		Trace: req.Trace,
	}
}

func (w *wireAcquire) toRequest(now time.Time) place.Request {
	return place.Request{
		Host: roster.Host{Name: w.Host, Domain: w.Domain, Region: w.Region}, Service: w.Service, Rank: w.Rank,
		Object: w.Object, Homes: w.Homes, Tried: w.Tried,
		Objective: now.Add(time.Duration(w.Objective) * time.Millisecond),
		Deadline:  now.Add(time.Duration(w.Deadline) * time.Millisecond),
		Trace:     w.Trace,
	}
}

// wireGrant is a grant of one incarnation of an upstream.
type wireGrant struct {
	ID       uint64 `json:"n"`
	Upstream string `json:"up"`
	Born     int64  `json:"born"`
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
}

func newWireRelease(id uint64, r place.Result) wireRelease {
	return wireRelease{
		ID: id, Duration: r.Duration, DialTime: r.DialTime, QueueLength: r.QueueLength, Succeeded: r.Succeeded, Inconclusive: r.Inconclusive, Shed: r.Shed,
		AddressReused: r.AddressReused, Unreachable: r.Unreachable,
	}
}

func (w *wireRelease) toResult() place.Result {
	return place.Result{
		Duration: w.Duration, DialTime: w.DialTime, QueueLength: w.QueueLength, Succeeded: w.Succeeded, Inconclusive: w.Inconclusive, Shed: w.Shed, AddressReused: w.AddressReused, Unreachable: w.Unreachable,
	}
}

type wireCancel struct {
	Call uint64 `json:"n"`
}

type wireUpdatesRequest struct {
	After int64 `json:"after"`
}

// wireUpdates carries store changes in the control loop's own types: both ends run the same program.
type wireUpdates struct {
	Revision int64           `json:"rev"`
	Snapshot bool            `json:"full,omitempty"`
	Age      time.Duration   `json:"age"`
	Changes  []roster.Change `json:"changes,omitempty"`
}

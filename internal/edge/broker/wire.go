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

func newWireAcquire(a *place.Request, call uint64, now time.Time) wireAcquire {
	return wireAcquire{
		Call: call, Host: a.Host.Name, Domain: a.Host.Domain, Region: a.Host.Region, Service: a.Service, Rank: a.Rank,
		Object: a.Object, Homes: a.Homes, Tried: a.Tried,
		Objective: a.Objective.Sub(now).Milliseconds(), Deadline: a.Deadline.Sub(now).Milliseconds(),
		Trace: a.Trace,
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

type wireGrant struct {
	Number   uint64 `json:"n"`
	Upstream string `json:"up"`
	Born     int64  `json:"born"`
}

type wireRelease struct {
	Number  uint64        `json:"n"`
	Took    time.Duration `json:"took"`
	Dial    time.Duration `json:"dial,omitempty"`
	Waiting int           `json:"wait,omitempty"`
	Good    bool          `json:"good,omitempty"`
	Quiet   bool          `json:"quiet,omitempty"`
	Shed    bool          `json:"shed,omitempty"`
	Moved   bool          `json:"moved,omitempty"`
	Broken  bool          `json:"broken,omitempty"`
}

func newWireRelease(number uint64, r place.Result) wireRelease {
	return wireRelease{
		Number: number, Took: r.Duration, Dial: r.DialTime, Waiting: r.QueueLength, Good: r.Succeeded, Quiet: r.Inconclusive, Shed: r.Shed,
		Moved: r.AddressReused, Broken: r.Unreachable,
	}
}

func (w *wireRelease) toResult() place.Result {
	return place.Result{
		Duration: w.Took, DialTime: w.Dial, QueueLength: w.Waiting, Succeeded: w.Good, Inconclusive: w.Quiet, Shed: w.Shed, AddressReused: w.Moved, Unreachable: w.Broken,
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
	Full     bool            `json:"full,omitempty"`
	Age      time.Duration   `json:"age"`
	Changes  []roster.Change `json:"changes,omitempty"`
}

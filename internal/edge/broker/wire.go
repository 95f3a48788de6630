package broker

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("broker")

// ErrCall is a host that gave no answer.
var ErrCall = Errors.NewType("call")

// Methods between hosts.
const (
	methodTake = "take" // Asks for an upstream; the answer is a grant, or null.
	methodFree = "free" // Ends a grant.
	methodDrop = "drop" // Ends the wait for a grant.
	methodPing = "ping"
	methodNews = "news" // Asks what changed in the store.
	methodDeal = "deal" // Tells a region's demand; the answer is the loans.
)

type wireTake struct {
	Call      uint64   `json:"n"` // Names the call, to drop it.
	Host      string   `json:"host"`
	Domain    string   `json:"dom"`
	Region    string   `json:"reg"`
	Service   string   `json:"svc"`
	Rank      int      `json:"rank"`
	Object    string   `json:"obj,omitempty"`
	Homes     []string `json:"homes,omitempty"`
	Tried     []string `json:"tried,omitempty"`
	Objective int64    `json:"aim"` // Milliseconds left.
	Deadline  int64    `json:"end"` // Milliseconds left.

	Trace map[string]string `json:"span,omitempty"`
}

func toWire(a *place.Ask, call uint64, now time.Time) wireTake {
	return wireTake{
		Call: call, Host: a.Host.Name, Domain: a.Host.Domain, Region: a.Host.Region, Service: a.Service, Rank: a.Rank,
		Object: a.Object, Homes: a.Homes, Tried: a.Tried,
		Objective: a.Objective.Sub(now).Milliseconds(), Deadline: a.Deadline.Sub(now).Milliseconds(),
		Trace: a.Trace,
	}
}

func (w *wireTake) ask(now time.Time) place.Ask {
	return place.Ask{
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

type wireFree struct {
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

func fromResult(number uint64, r place.Result) wireFree {
	return wireFree{
		Number: number, Took: r.Took, Dial: r.Dial, Waiting: r.Waiting, Good: r.Good, Quiet: r.Quiet, Shed: r.Shed,
		Moved: r.Moved, Broken: r.Broken,
	}
}

func (w *wireFree) result() place.Result {
	return place.Result{
		Took: w.Took, Dial: w.Dial, Waiting: w.Waiting, Good: w.Good, Quiet: w.Quiet, Shed: w.Shed, Moved: w.Moved, Broken: w.Broken,
	}
}

type wireDrop struct {
	Call uint64 `json:"n"`
}

type wireFollow struct {
	After int64 `json:"after"`
}

// wireNews carries the store's changes in the form that control folds: both ends are the same program.
type wireNews struct {
	Revision int64           `json:"rev"`
	Full     bool            `json:"full,omitempty"`
	Age      time.Duration   `json:"age"`
	Changes  []roster.Change `json:"changes,omitempty"`
}

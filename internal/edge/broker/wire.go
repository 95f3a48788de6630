package broker

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/core/policy"
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
	methodLearn   = "tell" // Requests what a placing host has learned of a service's upstreams.
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

	Digest uint64            `json:"dig,omitempty"`
	Trace  map[string]string `json:"span,omitempty"`
}

func newWireAcquire(req *place.Request, call uint64, now time.Time) wireAcquire {
	return wireAcquire{
		Call: call, Host: req.Host.Name, Domain: req.Host.Domain, Region: req.Host.Region, Service: req.Service, Rank: req.Rank,
		Object: req.Object, Homes: req.Homes, Tried: req.Tried,
		Objective: req.Objective.Sub(now).Milliseconds(), Deadline: req.Deadline.Sub(now).Milliseconds(),
		Digest: req.Digest, Trace: req.Trace,
	}
}

func (w *wireAcquire) toRequest(now time.Time) place.Request {
	return place.Request{
		Host: roster.Host{Name: w.Host, Domain: w.Domain, Region: w.Region}, Service: w.Service, Rank: w.Rank,
		Object: w.Object, Homes: w.Homes, Tried: w.Tried,
		Objective: now.Add(time.Duration(w.Objective) * time.Millisecond),
		Deadline:  now.Add(time.Duration(w.Deadline) * time.Millisecond),
		Digest:    w.Digest,
		Trace:     w.Trace,
	}
}

// wireGrant is a grant of one incarnation of an upstream, or a refusal, which has no upstream.
type wireGrant struct {
	ID          uint64        `json:"n,omitempty"`
	Upstream    string        `json:"up,omitempty"`
	Born        int64         `json:"born,omitempty"`
	RetryAfter  time.Duration `json:"later,omitempty"`
	Quarantined bool          `json:"quar,omitempty"`
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
}

func newWireRelease(id uint64, r place.Result) wireRelease {
	return wireRelease{
		ID: id, Duration: r.Duration, DialTime: r.DialTime, QueueLength: r.QueueLength, Succeeded: r.Succeeded, Inconclusive: r.Inconclusive, Shed: r.Shed,
		AddressReused: r.AddressReused, Unreachable: r.Unreachable, Crashed: r.Crashed, Leaving: r.Leaving, RetryAfter: r.RetryAfter,
	}
}

func (w *wireRelease) toResult() place.Result {
	return place.Result{
		Duration: w.Duration, DialTime: w.DialTime, QueueLength: w.QueueLength, Succeeded: w.Succeeded, Inconclusive: w.Inconclusive, Shed: w.Shed, AddressReused: w.AddressReused, Unreachable: w.Unreachable,
		Crashed: w.Crashed, Leaving: w.Leaving, RetryAfter: w.RetryAfter,
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

type wireUpdatesRequest struct {
	After int64         `json:"after"`
	Wait  time.Duration `json:"wait,omitempty"` // How long to wait for a change.
}

// wireUpdates carries store changes. Many of them are compressed, since a host that starts gets those of the whole fleet.
type wireUpdates struct {
	Revision int64         `json:"rev"`
	Snapshot bool          `json:"full,omitempty"`
	Age      time.Duration `json:"age"`
	Changes  []wireChange  `json:"changes,omitempty"`
	Packed   []byte        `json:"packed,omitempty"` // The JSON of further changes, compressed.
}

// wireChange is the encoding of a roster.Change.
type wireChange struct {
	Kind     roster.Kind    `json:"k"`
	Name     string         `json:"n"`
	Revision int64          `json:"r,omitempty"`
	Removed  bool           `json:"x,omitempty"`
	Policy   *policy.Policy `json:"p,omitempty"`
	Upstream *wireUpstream  `json:"u,omitempty"`
	Host     *roster.Host   `json:"h,omitempty"`
	Crash    *roster.Crash  `json:"c,omitempty"`
}

// wireUpstream is the encoding of a roster.Upstream without its ID, which is the name of the change.
type wireUpstream struct {
	Service  string        `json:"s"`
	Address  string        `json:"a"`
	Domain   string        `json:"d"`
	Region   string        `json:"r"`
	Slots    int           `json:"n"`
	Draining bool          `json:"l,omitempty"`
	Born     int64         `json:"b"`
	Seq      int64         `json:"q"`
	Cold     time.Duration `json:"c,omitempty"` // Time left, since the clocks of hosts differ.
}

func newWireChange(c *roster.Change, now time.Time) wireChange {
	w := wireChange{Kind: c.Kind, Name: c.Name, Revision: c.Revision, Removed: c.Removed || c.Err != nil}
	switch {
	case w.Removed: // An unreadable entry can't be used, so it counts as removed.
		if c.Kind == roster.UpstreamKind && c.Upstream.Born > 0 {
			w.Upstream = &wireUpstream{Born: c.Upstream.Born, Draining: c.Upstream.Draining}
		}
	case c.Kind == roster.PolicyKind:
		w.Policy = c.Policy
	case c.Kind == roster.UpstreamKind:
		u := &c.Upstream
		w.Upstream = &wireUpstream{
			Service: u.Service, Address: u.Address, Domain: u.Domain, Region: u.Region, Slots: u.Slots, Draining: u.Draining,
			Born: u.Born, Seq: u.Seq, Cold: max(0, u.ColdUntil().Sub(now)),
		}
	case c.Kind == roster.HostKind:
		w.Host = &c.Host
	case c.Kind == roster.CrashKind:
		w.Crash = &c.Crash
	}
	return w
}

// change returns the decoded change; one without the content of its kind is an error.
func (w *wireChange) change() (roster.Change, error) {
	c := roster.Change{Kind: w.Kind, Name: w.Name, Revision: w.Revision, Removed: w.Removed}
	if w.Removed {
		if w.Upstream != nil {
			c.Upstream = roster.Upstream{ID: w.Name, Born: w.Upstream.Born, Draining: w.Upstream.Draining}
		}
		return c, nil
	}
	missing := false
	switch w.Kind {
	case roster.PolicyKind:
		c.Policy, missing = w.Policy, w.Policy == nil
	case roster.UpstreamKind:
		if missing = w.Upstream == nil; !missing {
			u := w.Upstream
			c.Upstream = roster.Upstream{
				ID: w.Name, Service: u.Service, Address: u.Address, Domain: u.Domain, Region: u.Region, Slots: u.Slots, Draining: u.Draining,
				Born: u.Born, Seq: u.Seq, Cold: u.Cold,
			}
		}
	case roster.HostKind:
		if missing = w.Host == nil; !missing {
			c.Host = *w.Host
		}
	case roster.CrashKind:
		if missing = w.Crash == nil; !missing {
			c.Crash = *w.Crash
		}
	}
	if missing {
		return c, ErrCall.New("change of %s %q has no content", w.Kind, w.Name)
	}
	return c, nil
}

const (
	// minPackedChanges is the number of changes from which they are compressed.
	minPackedChanges = 50
	// maxUnpackedBytes bounds the changes of one answer after decompression.
	maxUnpackedBytes = 64 << 20
)

// encodeChanges encodes changes, compressed if there are many.
func (w *wireUpdates) encodeChanges(changes []roster.Change, now time.Time) error {
	list := make([]wireChange, len(changes))
	for i := range changes {
		list[i] = newWireChange(&changes[i], now)
	}
	if len(list) < minPackedChanges {
		w.Changes = list
		return nil
	}
	var buf bytes.Buffer
	z, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return ErrCall.Wrap(err, "compressing changes")
	}
	if err := json.NewEncoder(z).Encode(list); err != nil {
		return ErrCall.Wrap(err, "encoding changes")
	}
	if err := z.Close(); err != nil {
		return ErrCall.Wrap(err, "compressing changes")
	}
	w.Packed = buf.Bytes()
	return nil
}

// decodeChanges returns all changes of an answer.
func (w *wireUpdates) decodeChanges() ([]roster.Change, error) {
	list := w.Changes
	if len(w.Packed) > 0 {
		var packed []wireChange
		z := flate.NewReader(bytes.NewReader(w.Packed))
		if err := json.NewDecoder(io.LimitReader(z, maxUnpackedBytes)).Decode(&packed); err != nil {
			return nil, ErrCall.Wrap(err, "decompressing changes")
		}
		list = append(list, packed...)
	}
	changes := make([]roster.Change, len(list))
	for i := range list {
		var err error
		if changes[i], err = list[i].change(); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

package broker

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/boragelane/boragelane/internal/core/policy"
	"github.com/boragelane/boragelane/internal/core/roster"
)

// wireUpdates carries store changes. Many of them are compressed, since a host that starts gets those of the whole fleet.
type wireUpdates struct {
	Era      int64         `json:"era,omitempty"` // Not known to earlier releases.
	Revision int64         `json:"rev"`
	Snapshot bool          `json:"full,omitempty"`
	Age      time.Duration `json:"age"`
	Steady   time.Duration `json:"ok,omitempty"`  // Time without an outage of the store; not known to earlier releases.
	Outage   bool          `json:"out,omitempty"` // An outage ended at the beginning of Steady.
	Changes  []wireChange  `json:"changes,omitempty"`
	Packed   []byte        `json:"packed,omitempty"` // The JSON of further changes, compressed.
}

// wireChange is the encoding of a roster.Change.
type wireChange struct {
	Kind     roster.Kind    `json:"k"`
	Name     string         `json:"n"`
	Revision int64          `json:"r,omitempty"`
	Removed  bool           `json:"x,omitempty"`
	Pending  bool           `json:"w,omitempty"`
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
	w := wireChange{Kind: c.Kind, Name: c.Name, Revision: c.Revision, Removed: c.Removed || c.Err != nil, Pending: c.Pending}
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
	c := roster.Change{Kind: w.Kind, Name: w.Name, Revision: w.Revision, Removed: w.Removed, Pending: w.Pending}
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

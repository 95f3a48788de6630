package spec

import "slices"

// MaxWriteIDs is the number of recent write ids that a document keeps, so that a writer that lost the response can
// tell whether its write was applied, even after later writes.
const MaxWriteIDs = 32

// Change is one edit of a document: items to insert or replace, and references to items to remove.
type Change struct {
	Ranks    []Rank    `json:"ranks,omitempty"`
	Services []Service `json:"services,omitempty"`
	Regions  []Region  `json:"regions,omitempty"`
	Links    []Link    `json:"links,omitempty"`
	Drains   []Drain   `json:"drains,omitempty"`
	Shifts   []Shift   `json:"shifts,omitempty"`
	Floor    *float64  `json:"floor,omitempty"`
	Remove   []Ref     `json:"remove,omitempty"`
}

// Entry is an accepted change with its write id and the revision that it produced.
type Entry struct {
	Revision uint64 `json:"revision"`
	WriteID  string `json:"write"`
	Change   Change `json:"change"`
}

// Ref identifies one item of a document by kind and name.
type Ref struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Values of Ref.Kind besides the drain kinds; a Ref with a drain kind removes that drain.
const (
	RefRank    = "rank"
	RefService = "service"
	RefRegion  = "regions" // "region" refers to the drain of a region.
	RefLink    = "link"
	RefShift   = "shift"
)

// LinkName returns the name by which a Ref identifies a link.
func LinkName(l Link) string { return l.From + ">" + l.To }

// upsert replaces the elements of list that have the key of an item and appends the other items.
func upsert[T any](list []T, items []T, sameKey func(a, b T) bool) []T {
	for _, item := range items {
		i := slices.IndexFunc(list, func(o T) bool { return sameKey(o, item) })
		if i < 0 {
			list = append(list, item)
			continue
		}
		list[i] = item
	}
	return list
}

// remove deletes the matching elements and reports whether there were any.
func remove[T any](list []T, match func(T) bool) ([]T, bool) {
	n := len(list)
	list = slices.DeleteFunc(list, match)
	return list, len(list) < n
}

// Apply returns the next revision of the document; it fails with ErrMissing or ErrInvalid.
func (d Document) Apply(ch Change, write string) (Document, error) {
	n, err := d.applyEntry(Entry{Revision: d.Revision + 1, WriteID: write, Change: ch})
	if err != nil {
		return d, err
	}
	if err := n.Validate(); err != nil {
		return d, err
	}
	return n, nil
}

// MaxRecentChanges is the length of the change history that a document carries.
const MaxRecentChanges = 64

// Replay replays accepted changes in order of revision; it skips revisions that the document already has and returns
// ErrMissing at a gap.
func (d Document) Replay(list []Entry) (Document, error) {
	for _, e := range list {
		if e.Revision <= d.Revision {
			continue
		}
		if e.Revision != d.Revision+1 {
			return d, ErrMissing.New("revision %d does not follow revision %d", e.Revision, d.Revision)
		}
		var err error
		if d, err = d.applyEntry(e); err != nil {
			return d, err
		}
	}
	return d, nil
}

// Since returns the changes after a revision, or false if the history does not reach back that far.
func (d Document) Since(revision uint64) ([]Entry, bool) {
	if revision > d.Revision || d.Revision-revision > uint64(len(d.Recent)) {
		return nil, false
	}
	return d.Recent[uint64(len(d.Recent))-(d.Revision-revision):], true
}

// applyEntry applies a change without validating the result.
func (d Document) applyEntry(e Entry) (Document, error) {
	n, ch := d.Clone(), e.Change
	n.Ranks = upsert(n.Ranks, ch.Ranks, func(a, b Rank) bool { return a.Name == b.Name })
	n.Services = upsert(n.Services, ch.Services, func(a, b Service) bool { return a.Name == b.Name })
	n.Regions = upsert(n.Regions, ch.Regions, func(a, b Region) bool { return a.Name == b.Name })
	n.Links = upsert(n.Links, ch.Links, func(a, b Link) bool { return LinkName(a) == LinkName(b) })
	n.Drains = upsert(n.Drains, ch.Drains, func(a, b Drain) bool { return a == b })
	n.Shifts = upsert(n.Shifts, ch.Shifts, func(a, b Shift) bool { return a.Name == b.Name })
	if ch.Floor != nil {
		n.Floor = *ch.Floor
	}
	for _, ref := range ch.Remove {
		if !n.remove(ref) {
			return d, ErrMissing.New("there is no %s named %q", ref.Kind, ref.Name)
		}
	}
	n.Revision = e.Revision
	n.Writes = append(n.Writes, e.WriteID)
	n.Writes = n.Writes[max(0, len(n.Writes)-MaxWriteIDs):]
	n.Recent = append(n.Recent, e)
	n.Recent = n.Recent[max(0, len(n.Recent)-MaxRecentChanges):]
	return n, nil
}

// remove deletes the item that ref identifies and reports whether it existed.
func (d *Document) remove(ref Ref) bool {
	var ok bool
	switch ref.Kind {
	case RefRank:
		d.Ranks, ok = remove(d.Ranks, func(r Rank) bool { return r.Name == ref.Name })
	case RefService:
		d.Services, ok = remove(d.Services, func(s Service) bool { return s.Name == ref.Name })
	case RefRegion:
		d.Regions, ok = remove(d.Regions, func(r Region) bool { return r.Name == ref.Name })
	case RefLink:
		d.Links, ok = remove(d.Links, func(l Link) bool { return LinkName(l) == ref.Name })
	case RefShift:
		d.Shifts, ok = remove(d.Shifts, func(s Shift) bool { return s.Name == ref.Name })
	default:
		d.Drains, ok = remove(d.Drains, func(dr Drain) bool { return dr.Kind == ref.Kind && dr.Name == ref.Name })
	}
	return ok
}

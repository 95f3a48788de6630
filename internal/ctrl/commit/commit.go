package commit

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/core/spec"
)

// Keys in the platform's key-value store. The head refers to a base, which is a complete document, and holds the
// changes since then. Only the head is updated by compare-and-swap; a base is written once, before a head refers to it.
const (
	HeadKey       = "boragelane/config"
	baseKeyPrefix = "boragelane/base/"
)

// maxHeadChanges is the number of changes that a head holds before it refers to a new base.
const maxHeadChanges = 32

// retainedBases is the number of bases that are kept for readers of earlier heads.
const retainedBases = 2

type wireHead struct {
	Base    uint64       `json:"base"`
	Changes []spec.Entry `json:"changes,omitempty"`
}

// BaseKey returns the key of the base of a revision.
func BaseKey(revision uint64) string { return baseKeyPrefix + strconv.FormatUint(revision, 10) }

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("commit")

// Error types.
var (
	// ErrConflict means that another change was applied first; the property CurrentRevision holds the revision in force.
	ErrConflict = Errors.NewType("conflict")
	// ErrInvalid means that the change, or a stored document, is invalid or too large.
	ErrInvalid = Errors.NewType("invalid")
	// ErrMissing means that the change removes something that does not exist.
	ErrMissing = Errors.NewType("missing")
	// ErrUnavailable means that the platform did not answer; the change may still have taken effect.
	ErrUnavailable = Errors.NewType("unavailable")

	// CurrentRevision is the property of ErrConflict that holds the revision in force.
	CurrentRevision = errorx.RegisterPrintableProperty("current")
)

// Store is a key-value store with compare-and-swap on an index, which is 0 for a key that does not exist.
type Store interface {
	Read(ctx context.Context, key string) (data []byte, index uint64, err error)
	CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
	Delete(ctx context.Context, key string) error
}

// Backoff between the attempts of a commit, which are bounded by its context.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Commit applies a change to the document and returns the document that contains it. With an expected revision it fails
// with ErrConflict if another change was applied first; without one it retries on top of that change. The write ID
// identifies the change, so that a retry detects that an earlier attempt took effect.
func Commit(ctx context.Context, st Store, ch spec.Change, expect *uint64, writeID string) (spec.Document, error) {
	backoff, tried := minBackoff, false
	for {
		doc, retry, err := tryCommit(ctx, st, ch, expect, writeID, tried)
		if !retry {
			return doc, err
		}
		tried = true
		select {
		case <-ctx.Done():
			return doc, ErrUnavailable.Wrap(err, "the platform did not answer in time; write %s may have taken effect", writeID)
		case <-time.After(backoff):
		}
		backoff = min(maxBackoff, backoff*2)
	}
}

// tryCommit performs one read, apply and swap, and reports whether to retry.
func tryCommit(ctx context.Context, st Store, ch spec.Change, expect *uint64, writeID string, tried bool) (spec.Document, bool, error) {
	doc, index, err := Load(ctx, st)
	if err != nil {
		return doc, true, err
	}
	if tried && slices.Contains(doc.Writes, writeID) {
		return doc, false, nil
	}
	if expect != nil && *expect != doc.Revision {
		return doc, false, ErrConflict.New("the change was made for revision %d, revision %d is in force", *expect, doc.Revision).
			WithProperty(CurrentRevision, doc.Revision)
	}
	next, err := doc.Apply(ch, writeID)
	switch {
	case errorx.IsOfType(err, spec.ErrMissing):
		return doc, false, ErrMissing.Wrap(err, "the change can't be applied")
	case err != nil:
		return doc, false, ErrInvalid.Wrap(err, "the change can't be applied")
	}
	head, err := nextHead(ctx, st, doc, next)
	if err != nil {
		return doc, errorx.IsOfType(err, ErrUnavailable), err
	}
	data, err := json.Marshal(head)
	if err != nil || len(data) > spec.MaxBytes {
		return doc, false, ErrInvalid.New("the changes would have %d bytes, at most %d are allowed", len(data), spec.MaxBytes)
	}
	ok, err := st.CompareAndSwap(ctx, HeadKey, data, index)
	if err != nil || !ok {
		return doc, true, err
	}
	if head.Base == doc.Revision && head.Base > retainedBases*maxHeadChanges {
		// Readers of recent heads still need the other bases. A base that fails to be deleted does no harm.
		_ = st.Delete(ctx, BaseKey(head.Base-retainedBases*maxHeadChanges))
	}
	return next, false, nil
}

// nextHead returns the head for the next revision. Every maxHeadChanges revisions it writes a new base first.
func nextHead(ctx context.Context, st Store, doc, next spec.Document) (wireHead, error) {
	base := next.Revision - 1 - (next.Revision-1)%maxHeadChanges
	if base == doc.Revision && base > 0 {
		data, err := json.Marshal(doc)
		if err != nil || len(data) > spec.MaxBytes {
			return wireHead{}, ErrInvalid.New("the document has %d bytes, at most %d are allowed", len(data), spec.MaxBytes)
		}
		// An existing base has the same content, since a revision has only one history.
		if _, err := st.CompareAndSwap(ctx, BaseKey(base), data, 0); err != nil {
			return wireHead{}, ErrUnavailable.Wrap(err, "writing base %d", base)
		}
	}
	changes, ok := next.Since(base)
	if !ok {
		return wireHead{}, ErrInvalid.New("the changes since revision %d are not all there", base)
	}
	return wireHead{Base: base, Changes: changes}, nil
}

// Load returns the document stored on the platform and the index of its head.
func Load(ctx context.Context, st Store) (spec.Document, uint64, error) {
	data, index, err := st.Read(ctx, HeadKey)
	if err != nil {
		return spec.Document{}, 0, ErrUnavailable.Wrap(err, "reading the document")
	}
	if index == 0 || len(data) == 0 {
		return spec.Document{}, 0, nil
	}
	doc, err := Parse(ctx, st, data, nil)
	return doc, index, err
}

// Parse reconstructs the document of an encoded head. It starts from the known document if that is not older than the
// head's base, and reads the base otherwise.
func Parse(ctx context.Context, st Store, data []byte, known *spec.Document) (spec.Document, error) {
	var head wireHead
	if err := json.Unmarshal(data, &head); err != nil {
		return spec.Document{}, ErrInvalid.Wrap(err, "reading the head")
	}
	doc := spec.Document{}
	switch {
	case known != nil && known.Revision >= head.Base:
		doc = *known
	case head.Base > 0:
		var err error
		if doc, err = readBase(ctx, st, head.Base); err != nil {
			return doc, err
		}
	}
	doc, err := doc.Replay(head.Changes)
	if err != nil {
		return doc, ErrInvalid.Wrap(err, "following the changes since revision %d", head.Base)
	}
	return doc, nil
}

func readBase(ctx context.Context, st Store, revision uint64) (spec.Document, error) {
	var doc spec.Document
	data, _, err := st.Read(ctx, BaseKey(revision))
	if err != nil {
		return doc, ErrUnavailable.Wrap(err, "reading base %d", revision)
	}
	if err := json.Unmarshal(data, &doc); err != nil {
		return doc, ErrInvalid.Wrap(err, "reading base %d", revision)
	}
	return doc, nil
}

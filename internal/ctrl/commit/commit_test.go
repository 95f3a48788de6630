package commit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/spec"
)

// memoryStore is an in-memory Store that can drop replies, and let another writer run just before a swap of the head.
type memoryStore struct {
	values     map[string][]byte
	indexes    map[string]uint64
	writes     uint64
	beforeSwap func()
	dropReply  func() bool
	maxKeys    int // The largest number of keys held at any time.
}

func newMemoryStore() *memoryStore {
	return &memoryStore{values: map[string][]byte{}, indexes: map[string]uint64{}, beforeSwap: func() {}, dropReply: func() bool { return false }}
}

var errReplyLost = fmt.Errorf("reply lost")

func (m *memoryStore) Read(_ context.Context, key string) ([]byte, uint64, error) {
	if m.dropReply() {
		return nil, 0, errReplyLost
	}
	return m.values[key], m.indexes[key], nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, data []byte, index uint64) (bool, error) {
	if key == HeadKey {
		m.beforeSwap()
	}
	if m.indexes[key] != index {
		return false, nil
	}
	m.writes++
	m.values[key], m.indexes[key] = data, m.writes
	m.maxKeys = max(m.maxKeys, len(m.values))
	if m.dropReply() {
		return false, errReplyLost
	}
	return true, nil
}

func (m *memoryStore) Delete(_ context.Context, key string) error {
	delete(m.values, key)
	delete(m.indexes, key)
	return nil
}

func initialChange() spec.Change {
	return spec.Change{Ranks: []spec.Rank{{Name: "top", Queue: 1}}}
}

func drainChange(i int) spec.Change {
	return spec.Change{Drains: []spec.Drain{{Kind: spec.DrainHost, Name: fmt.Sprint("h", i)}}}
}

// Guards against a lost reply that makes a retry apply a change twice, and against changes lost to a concurrent writer.
func TestEachAcceptedChangeMakesOneRevision(t *testing.T) {
	rapid.Check(t, checkAcceptedChanges)
}

func checkAcceptedChanges(t *rapid.T) {
	m := newMemoryStore()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := Commit(ctx, m, initialChange(), nil, "first")
	assert.NilError(t, err)
	accepted, n := 1, 0
	change := func() {
		n++
		if _, err := Commit(ctx, m, drainChange(n), nil, fmt.Sprint("w", n)); err == nil {
			accepted++
		}
	}
	budget := rapid.IntRange(0, 4).Draw(t, "losses")
	for range rapid.IntRange(1, 70).Draw(t, "changes") {
		m.beforeSwap, m.dropReply = func() {}, func() bool { return false }
		switch rapid.IntRange(0, 40).Draw(t, "fault") {
		case 0:
			m.beforeSwap = func() { m.beforeSwap = func() {}; change() }
		case 1:
			if budget > 0 {
				budget--
				call := rapid.IntRange(1, 4).Draw(t, "call")
				m.dropReply = func() bool { call--; return call == 0 }
			}
		}
		change()
	}
	m.dropReply = func() bool { return false }
	doc, _, err := Load(ctx, m)
	assert.NilError(t, err)
	assert.Equal(t, int(doc.Revision), accepted)
	assert.Equal(t, len(doc.Drains), n)
	assert.Assert(t, m.maxKeys <= 2+retainedBases, "%d keys", m.maxKeys)
}

func TestAConflictReportsTheRevisionInForce(t *testing.T) {
	m := newMemoryStore()
	ctx := context.Background()
	_, err := Commit(ctx, m, initialChange(), nil, "first")
	assert.NilError(t, err)
	expect := uint64(1)
	_, err = Commit(ctx, m, drainChange(1), &expect, "a")
	assert.NilError(t, err)
	_, err = Commit(ctx, m, drainChange(2), &expect, "b")
	assert.Assert(t, errorx.IsOfType(err, ErrConflict), "%v", err)
	current, _ := errorx.ExtractProperty(err, CurrentRevision)
	assert.Equal(t, current.(uint64), uint64(2))
}

func TestACommitDuringAnOutageIsUnavailable(t *testing.T) {
	m := newMemoryStore()
	m.dropReply = func() bool { return true }
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := Commit(ctx, m, initialChange(), nil, "first")
	assert.Assert(t, errorx.IsOfType(err, ErrUnavailable), "%v", err)
}

func TestAReaderOlderThanTheBaseLoadsTheBase(t *testing.T) {
	m := newMemoryStore()
	ctx := context.Background()
	_, err := Commit(ctx, m, initialChange(), nil, "first")
	assert.NilError(t, err)
	old, _, err := Load(ctx, m)
	assert.NilError(t, err)
	for i := range 3*maxHeadChanges + 5 {
		_, err := Commit(ctx, m, drainChange(i), nil, fmt.Sprint("w", i))
		assert.NilError(t, err)
	}
	for _, known := range []*spec.Document{nil, {}, &old} {
		doc, err := Parse(ctx, m, m.values[HeadKey], known)
		assert.NilError(t, err)
		assert.Equal(t, doc.Revision, uint64(3*maxHeadChanges+6))
		assert.Equal(t, len(doc.Drains), 3*maxHeadChanges+5)
	}
}

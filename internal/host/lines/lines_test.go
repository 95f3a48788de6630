package lines

import (
	"bytes"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	mu  sync.Mutex
	let chan struct{}
	buf bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

func TestAnOutputThatIsStuckBlocksNobody(t *testing.T) {
	out := &stuck{let: make(chan struct{})}
	var dropped atomic.Int64
	w := NewWriter(out, func() { dropped.Add(1) })
	for range queueSize + 100 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, dropped.Load() >= 99, "%d", dropped.Load())
	close(out.let)
	w.Close(5 * time.Second)
	assert.Assert(t, out.mu.TryLock())
	assert.Assert(t, out.buf.Len() > 0)
	out.mu.Unlock()
}

func TestTheVolumeOfOneMessageIsBounded(t *testing.T) {
	var out bytes.Buffer
	var dropped atomic.Int64
	w := NewWriter(&out, func() { dropped.Add(1) })
	log := New(w, zapcore.InfoLevel)
	for range 3 * burst {
		log.Info("request", zap.String("id", "7"))
	}
	w.Close(5 * time.Second)
	n := strings.Count(out.String(), "\n")
	assert.Assert(t, n >= burst && n <= 2*burst, "%d lines", n)
	assert.Equal(t, n+int(dropped.Load()), 3*burst)
}

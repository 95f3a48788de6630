package logs

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

// blockedOutput blocks each write until release is closed.
type blockedOutput struct {
	mu      sync.Mutex
	release chan struct{}
	buf     bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(b)
}

func TestABlockedOutputDoesNotBlockTheLogger(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	var dropped atomic.Int64
	w := NewWriter(out, func() { dropped.Add(1) })
	for range queueSize + 100 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, dropped.Load() >= 99, "%d", dropped.Load())
	close(out.release)
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
	for range 3 * maxLinesPerMessage {
		log.Info("request", zap.String("id", "7"))
	}
	w.Close(5 * time.Second)
	n := strings.Count(out.String(), "\n")
	assert.Assert(t, n >= maxLinesPerMessage && n <= 2*maxLinesPerMessage, "%d lines", n)
	assert.Equal(t, n+int(dropped.Load()), 3*maxLinesPerMessage)
}

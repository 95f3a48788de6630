package lines

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueSize is how many lines may wait for the output.
	queueSize = 2048
	// burst is how many lines with one message are written in a second.
	burst = 300
)

// Writer hands lines to its output in a goroutine; it drops those that find no room.
type Writer struct {
	Dropped func()
	Done    chan struct{}

	queue  chan []byte
	closed atomic.Bool
}

// NewWriter returns a writer that has started.
func NewWriter(out io.Writer, dropped func()) *Writer {
	w := &Writer{Dropped: dropped, Done: make(chan struct{}), queue: make(chan []byte, queueSize)}
	go func() {
		defer close(w.Done)
		for line := range w.queue {
			if line == nil {
				return // The end.
			}
			if _, err := out.Write(line); err != nil {
				w.Dropped()
			}
		}
	}()
	return w
}

// Write queues a line; it never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	if w.closed.Load() {
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.Dropped()
	}
	return len(line), nil
}

// Close writes what is queued, for at most the given time.
func (w *Writer) Close(most time.Duration) {
	if w.closed.Swap(true) {
		return
	}
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case w.queue <- nil:
	case <-t.C:
		return
	}
	select {
	case <-w.Done:
	case <-t.C:
	}
}

// New returns a logger on a writer.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.AddSync(w), level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, burst, 0, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			w.Dropped()
		}
	}))
	return zap.New(sampled)
}

package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueSize is the maximum number of lines that wait for the output.
	queueSize = 2048
	// maxLinesPerMessage is the maximum number of lines with the same message that are written in a second.
	maxLinesPerMessage = 300
)

// Writer writes lines to its output in a goroutine; it drops lines when the queue is full.
type Writer struct {
	OnDrop func() // Called for each line lost to the volume limit, a full queue or a write error.
	Done   chan struct{}

	queue  chan []byte
	closed atomic.Bool
}

// NewWriter returns a writer and starts the goroutine that writes its lines to out. The writer calls onDrop for each lost line.
func NewWriter(out io.Writer, onDrop func()) *Writer {
	w := &Writer{OnDrop: onDrop, Done: make(chan struct{}), queue: make(chan []byte, queueSize)}
	go func() {
		defer close(w.Done)
		for line := range w.queue {
			if line == nil {
				return // Close queues nil to end the output.
			}
			if _, err := out.Write(line); err != nil {
				w.OnDrop()
			}
		}
	}()
	return w
}

// Write queues a copy of a line. It never fails or blocks: it drops the line and calls OnDrop if the queue is full, and
// discards the line after Close.
func (w *Writer) Write(line []byte) (int, error) {
	if w.closed.Load() {
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.OnDrop()
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer, or gives up after the timeout.
func (w *Writer) Close(timeout time.Duration) {
	if w.closed.Swap(true) {
		return
	}
	t := time.NewTimer(timeout)
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

// New returns a logger that writes JSON lines at or above the level.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.AddSync(w), level)
	sampler := zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerMessage, 0, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			w.OnDrop()
		}
	}))
	return zap.New(sampler)
}

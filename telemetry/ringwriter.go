package telemetry

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"github.com/ibispier/ibispier/ring"
)

// Bounds of the queued lines and of the lines that are written together.
const (
	maxQueuedLines = 4096
	maxBatchLines  = 256
	maxBatchBytes  = 64 << 10
)

// RingWriter is an io.Writer for log lines that does not block its callers, and
// the duty that writes the lines to the output. A line is dropped and counted
// when the ring is full. While the duty is not running, Write writes directly to
// the output.
type RingWriter struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	running atomic.Bool
}

// NewRingWriter returns a writer to out.
func NewRingWriter(out io.Writer) *RingWriter {
	return &RingWriter{out: out, lines: ring.New[[]byte]("log.lines", maxQueuedLines)}
}

// Write implements io.Writer.
func (w *RingWriter) Write(line []byte) (int, error) {
	if !w.running.Load() {
		return w.out.Write(line)
	}
	_ = w.lines.Offer(bytes.Clone(line)) // the ring counts refused lines
	return len(line), nil
}

// Stats returns the counters of the ring; refused lines were dropped.
func (w *RingWriter) Stats() ring.Stats { return w.lines.Stats() }

// Run writes lines until ctx ends, and then the lines that are still queued.
func (w *RingWriter) Run(ctx context.Context) error {
	w.running.Store(true)
	defer func() {
		w.running.Store(false)
		w.writeBatches(w.lines.Drain(nil, maxQueuedLines))
	}()
	for {
		line, err := w.lines.Take(ctx)
		if err != nil {
			return nil
		}
		w.writeBatches(w.lines.Drain([][]byte{line}, maxBatchLines))
	}
}

// writeBatches joins lines, so that a burst of lines costs few system calls. It
// ignores write errors, because there is no other output to report them to.
func (w *RingWriter) writeBatches(lines [][]byte) {
	var batch []byte
	for _, line := range lines {
		batch = append(batch, line...)
		if len(batch) >= maxBatchBytes {
			_, _ = w.out.Write(batch)
			batch = batch[:0]
		}
	}
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
}

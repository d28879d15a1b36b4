package telemetry

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"github.com/ibispier/ibispier/ring"
)

// Bounds of the lines that wait to be written.
const (
	maxQueuedLines = 4096
	maxBatchLines  = 256
	maxBatchBytes  = 64 << 10
)

// RingWriter is a writer of lines that never blocks its callers, and the duty
// that writes them. Lines that find the ring full are dropped and counted.
// While the duty does not run, lines are written directly.
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
	_ = w.lines.Offer(bytes.Clone(line)) // a refused line is counted by the ring
	return len(line), nil
}

// Stats returns the counters of the ring; refused lines were dropped.
func (w *RingWriter) Stats() ring.Stats { return w.lines.Stats() }

// Run writes lines until ctx ends, and then those that wait.
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

// writeBatches joins lines, so that a wave of them costs few system calls. Nobody is
// left to tell of an output that fails.
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

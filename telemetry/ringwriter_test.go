package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.written.Write(p)
}

// Guards against callers that block on the log when its output is not read.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewRingWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	for !w.running.Load() {
		time.Sleep(time.Millisecond)
	}
	for i := range 2 * maxQueuedLines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if w.Stats().Refused == 0 {
		t.Fatal("nothing dropped although the output is blocked")
	}
	close(out.release)
	cancel()
	<-done
	if lines := bytes.Count(out.written.Bytes(), []byte("\n")); int64(lines) != w.Stats().Accepted {
		t.Fatalf("%d lines written, %d accepted", lines, w.Stats().Accepted)
	}
}

// Package logwriter is the duty that owns the write-ahead log and the snapshots
// of a control member. It runs on a thread of its own, because it blocks in
// fsync.
package logwriter

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/snap"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wal"
)

// Error is the class of all errors of this package.
var Error = errs.Class("logwriter")

// MaxInFlightBatches bounds the batches that the replica has handed over and that are
// not synced. The ring of requests has room for all of them.
const MaxInFlightBatches = 256

// retryDelay is the pause before a write is tried again on a full disk.
const retryDelay = 200 * time.Millisecond

// Request is what the replica asks for. Exactly one field is set.
type Request struct {
	Open  *Session // recover the state from disk; batches before it are void
	Batch *consensus.Batch
}

// Session joins one run of the replica with the log writer. A restarted replica
// opens a new one, so that answers to an earlier run cannot reach it.
type Session struct {
	Recovered   *ring.Ring[Recovered]
	SyncResults *ring.Ring[SyncResult]
}

// NewSession returns a session with rings that are never full.
func NewSession() *Session {
	return &Session{
		Recovered:   ring.New[Recovered]("logwriter.recovered", 1),
		SyncResults: ring.New[SyncResult]("logwriter.done", 2*MaxInFlightBatches),
	}
}

// Recovered is the state on disk.
type Recovered struct {
	State consensus.State
}

// SyncResult tells that the batches up to Sequence are synced. With Full set it tells
// that the disk is full and that writing waits for space.
type SyncResult struct {
	Sequence uint64
	DiskFull bool
}

// Options configure the duty.
type Options struct {
	Files        datafolder.FileSystem
	Dir          string
	Incarnation  uint64
	SegmentBytes int64
	Log          *zap.Logger
}

// Duty writes batches.
type Duty struct {
	Requests *ring.Ring[Request]
	options  Options
	folder   snap.Folder
}

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Requests: ring.New[Request]("log.in", MaxInFlightBatches+2),
		options:  o,
		folder:   snap.Folder{Files: o.Files, Dir: o.Dir},
	}
}

// Run serves sessions until ctx ends. An error other than a full disk is fatal:
// after a failed sync nobody knows what is on the disk.
func (d *Duty) Run(ctx context.Context) error {
	w := &writer{duty: d}
	defer w.close()
	for {
		request, err := d.Requests.Take(ctx)
		if err != nil {
			return nil
		}
		if err := w.handle(ctx, request); err != nil {
			return supervise.Fatal(Error.Wrap(err))
		}
	}
}

// writer is the state of one run.
type writer struct {
	duty           *Duty
	session        *Session
	log            *wal.Log
	pendingBatches []*consensus.Batch
}

func (w *writer) close() {
	if w.log != nil {
		_ = w.log.Close()
		w.log = nil
	}
}

// handle takes all requests that wait and writes their batches as one group, so
// that they share a sync.
func (w *writer) handle(ctx context.Context, first Request) error {
	requests := w.duty.Requests.Drain([]Request{first}, MaxInFlightBatches)
	for _, r := range requests {
		switch {
		case r.Open != nil:
			w.pendingBatches = w.pendingBatches[:0]
			if err := w.open(r.Open); err != nil {
				return err
			}
		case w.log != nil:
			w.pendingBatches = append(w.pendingBatches, r.Batch)
		}
	}
	if len(w.pendingBatches) == 0 {
		return nil
	}
	return w.writePending(ctx)
}

func (w *writer) writePending(ctx context.Context) error {
	reported := false
	for {
		err := w.write()
		if err == nil {
			break
		}
		if !errors.Is(err, datafolder.ErrDiskFull) {
			return err
		}
		if !reported {
			w.duty.options.Log.Error("disk full", zap.Error(err))
			_ = w.session.SyncResults.Offer(SyncResult{DiskFull: true})
			reported = true
		}
		if !supervise.Sleep(ctx, retryDelay) {
			return nil
		}
	}
	last := w.pendingBatches[len(w.pendingBatches)-1].Sequence
	w.pendingBatches = w.pendingBatches[:0]
	return w.session.SyncResults.Offer(SyncResult{Sequence: last})
}

// write makes the group durable. Snapshots come first: the log may only say
// that a snapshot replaced it once the snapshot is on disk.
func (w *writer) write() error {
	var release uint64
	for _, b := range w.pendingBatches {
		if b.Snapshot == nil {
			continue
		}
		oldest, err := w.duty.folder.Save(b.Snapshot)
		if err != nil {
			return err
		}
		release = max(release, oldest)
	}
	if err := w.log.Append(w.pendingBatches...); err != nil {
		return err
	}
	return w.log.RemoveSegmentsUpTo(release)
}

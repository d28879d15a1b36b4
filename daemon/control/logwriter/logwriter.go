// Package logwriter owns the write-ahead log and the snapshots of a control member.
// It runs as a duty on its own thread, because it blocks in fsync.
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

// MaxInFlightBatches bounds the batches that the replica has submitted and that are
// not synced. The ring of requests has room for all of them.
const MaxInFlightBatches = 256

// retryDelay is the pause before a write to a full disk is retried.
const retryDelay = 200 * time.Millisecond

// Request is a request of the replica. Exactly one field is set.
type Request struct {
	Open  *Session // recover the state from disk; earlier batches are discarded
	Batch *consensus.Batch
}

// Session connects one run of the replica with the log writer. A restarted replica
// opens a new session, so that it gets no results of an earlier run.
type Session struct {
	Recovered   *ring.Ring[Recovered]
	SyncResults *ring.Ring[SyncResult]
}

// NewSession returns a session whose rings have room for all results.
func NewSession() *Session {
	return &Session{
		Recovered:   ring.New[Recovered]("logwriter.recovered", 1),
		SyncResults: ring.New[SyncResult]("logwriter.done", 2*MaxInFlightBatches),
	}
}

// Recovered holds the state recovered from disk.
type Recovered struct {
	State consensus.State
}

// SyncResult reports that the batches up to Sequence are synced. With DiskFull set
// it reports that the disk is full and that the log writer waits for space.
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

// Duty writes batches to disk.
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

// Run serves sessions until ctx ends. Any error other than a full disk is fatal:
// after a failed sync the content of the disk is unknown.
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

// writer is the state of one run of the duty.
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

// handle takes all waiting requests and writes their batches together, so that they
// share a sync.
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
			if err := w.reclaim(); err != nil {
				return err
			}
			continue
		}
		if !supervise.Sleep(ctx, retryDelay) {
			return nil
		}
	}
	last := w.pendingBatches[len(w.pendingBatches)-1].Sequence
	w.pendingBatches = w.pendingBatches[:0]
	return w.session.SyncResults.Offer(SyncResult{Sequence: last})
}

// reclaim makes room on a full disk: it removes the older snapshot and the log that
// only the older snapshot needs.
func (w *writer) reclaim() error {
	index, err := w.duty.folder.KeepNewest()
	if err != nil {
		return err
	}
	w.duty.options.Log.Warn("older snapshot and its log removed", zap.Uint64("snapshot", index))
	return w.log.RemoveSegmentsUpTo(index)
}

// write makes the pending batches durable. Snapshots are saved first: the log may
// record that a snapshot replaced it only once the snapshot is on disk.
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

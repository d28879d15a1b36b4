package applier

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/state"
	"github.com/ibispier/ibispier/state/codec"
	"github.com/ibispier/ibispier/supervise"
)

// snapshotTimeout limits how long a snapshot waits for space in the ring of the
// replica. The replica requests a dropped snapshot again.
const snapshotTimeout = 5 * time.Second

// snapshot is an image of the state after the log entry with an index.
type snapshot struct {
	index uint64
	image state.Image
}

// snapshotter encodes snapshots on a goroutine of its own, because the encoding
// would block the applier for too long.
type snapshotter struct {
	snapshots *ring.Ring[snapshot]
	inputs    *ring.Ring[replica.Input]
	log       *zap.Logger
}

// Snapshotter returns the duty that encodes the snapshots of the applier.
func (d *Duty) Snapshotter() supervise.Duty {
	return &snapshotter{snapshots: d.snapshots, inputs: d.inputs, log: d.options.Log}
}

// Run encodes snapshots and passes them to the replica until ctx ends.
func (s *snapshotter) Run(ctx context.Context) error {
	for {
		taken, err := s.snapshots.Take(ctx)
		if err != nil {
			return nil
		}
		if err := s.encode(ctx, taken); err != nil {
			return err
		}
	}
}

func (s *snapshotter) encode(ctx context.Context, taken snapshot) error {
	start := time.Now()
	data, err := codec.EncodeImage(taken.image)
	if err != nil {
		return Error.New("step=snapshot index=%d: %w", taken.index, err)
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	input := replica.Input{Snapshot: &replica.SnapshotData{Index: taken.index, Data: data}}
	if err := s.inputs.Put(ctx, input); err != nil {
		s.log.Warn("snapshot dropped", zap.Uint64("index", taken.index), zap.Error(err))
		return nil
	}
	s.log.Info("snapshot encoded", zap.Uint64("index", taken.index), zap.Int("bytes", len(data)), zap.Duration("took", time.Since(start)))
	return nil
}

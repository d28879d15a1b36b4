package logwriter

import (
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/snap"
	"github.com/ibispier/ibispier/wal"
)

// open recovers the state from disk for a new session.
func (w *writer) open(s *Session) error {
	w.close()
	state, err := w.recover()
	if err != nil {
		return err
	}
	w.session = s
	return s.Recovered.Offer(Recovered{State: state})
}

func (w *writer) recover() (consensus.State, error) {
	o := w.duty.options
	if err := datafolder.RemoveTemporary(o.Files, o.Dir); err != nil {
		return consensus.State{}, err
	}
	loaded, err := w.duty.folder.Load()
	if err != nil {
		return consensus.State{}, err
	}
	log, logged, err := wal.Open(wal.Options{
		Files:         o.Files,
		Dir:           o.Dir,
		Incarnation:   o.Incarnation,
		SegmentBytes:  o.SegmentBytes,
		SnapshotIndex: loaded.Snapshot.Index,
	})
	if err != nil {
		return consensus.State{}, err
	}
	w.log = log
	if err := checkContiguous(logged, loaded); err != nil {
		return consensus.State{}, err
	}
	w.logRecovery(logged, loaded)
	if err := w.duty.folder.RenameDamaged(loaded.Damaged); err != nil {
		return consensus.State{}, err
	}
	state := consensus.State{HardState: logged.HardState, Snapshot: loaded.Snapshot, Entries: logged.Entries}
	if isReplaced(logged, loaded.Snapshot) {
		state.Entries = nil
		return state, log.Reset(loaded.Snapshot.Index, loaded.Snapshot.Term)
	}
	return state, nil
}

// checkContiguous checks that the log continues from the snapshot. It does not if
// the newest snapshot is damaged and the log does not reach back to an older one.
func checkContiguous(logged wal.Recovered, loaded snap.Loaded) error {
	needed := logged.ResetIndex
	if len(logged.Entries) > 0 {
		needed = logged.Entries[0].Index - 1
	}
	if loaded.Snapshot.Index < needed {
		return Error.New("step=recover need=%d snapshot=%d damaged=%q: %w",
			needed, loaded.Snapshot.Index, loaded.Damaged, snap.ErrDamaged)
	}
	if len(logged.Entries) == 0 && len(loaded.Damaged) > 0 {
		return Error.New("step=recover damaged=%q: no log entries to replace the snapshot: %w", loaded.Damaged, snap.ErrDamaged)
	}
	return nil
}

// isReplaced reports whether the log is older than the snapshot: the process ended
// after it saved a snapshot of the leader and before it reset the log.
func isReplaced(logged wal.Recovered, s consensus.Snapshot) bool {
	if len(logged.Entries) == 0 {
		return logged.ResetIndex != 0 && logged.ResetIndex < s.Index
	}
	first, last := logged.Entries[0].Index, logged.Entries[len(logged.Entries)-1].Index
	if s.Index < first {
		return false
	}
	return s.Index > last || logged.Entries[s.Index-first].Term != s.Term
}

func (w *writer) logRecovery(logged wal.Recovered, loaded snap.Loaded) {
	log := w.duty.options.Log
	if logged.TornBytes > 0 {
		log.Warn("torn log tail removed", zap.Int("bytes", logged.TornBytes))
	}
	if len(loaded.Damaged) > 0 {
		log.Error("newest snapshot damaged, recovered from an older snapshot and the log",
			zap.Strings("files", loaded.Damaged), zap.Uint64("snapshot", loaded.Snapshot.Index))
	}
	log.Info("log recovered",
		zap.Uint64("snapshot", loaded.Snapshot.Index),
		zap.Int("entries", len(logged.Entries)),
		zap.Uint64("term", logged.HardState.Term))
}

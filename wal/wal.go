package wal

import (
	"path/filepath"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/datafolder"
)

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Options configure a Log.
type Options struct {
	Files        datafolder.FileSystem
	Dir          string
	Incarnation  uint64
	SegmentBytes int64
	// SnapshotIndex is the last index that the newest readable snapshot covers.
	// Segments that hold only entries up to it may be missing.
	SnapshotIndex uint64
}

// Stats counts the operations of a log since it was opened.
type Stats struct {
	Records int64
	Syncs   int64
	Bytes   int64
}

// Log is an open write-ahead log. It is not safe for concurrent use.
//
// Invariant: after an error other than a full disk every further call fails,
// because a failed sync may have dropped the data that it was meant to sync.
type Log struct {
	options   Options
	file      datafolder.File
	segments  []segment
	hardState consensus.HardState
	buf       []byte
	failure   error
	stats     Stats
}

// Open reads the log in the folder, cuts off a torn tail and opens the last
// segment for appending.
func Open(o Options) (*Log, Recovered, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	r := &reader{files: o.Files, dir: o.Dir, incarnation: o.Incarnation, snapshotIndex: o.SnapshotIndex}
	if err := r.readAll(); err != nil {
		return nil, Recovered{}, err
	}
	l := &Log{options: o, segments: r.segments, hardState: r.recovered.HardState}
	if err := l.openLast(r.recovered.TornBytes > 0); err != nil {
		return nil, Recovered{}, err
	}
	return l, r.recovered, nil
}

// openLast opens the last segment. Segments at the end without a complete header
// were being created during a crash and hold no entries; they are removed.
func (l *Log) openLast(torn bool) error {
	removed := false
	for n := len(l.segments); n > 0 && l.segments[n-1].size == 0; n-- {
		if err := l.options.Files.Remove(l.path(l.segments[n-1])); err != nil {
			return Error.New("step=remove segment=%s: %w", l.segments[n-1].name(), err)
		}
		l.segments = l.segments[:n-1]
		removed = true
	}
	if removed {
		if err := l.options.Files.SyncDir(l.options.Dir); err != nil {
			return Error.New("step=sync-directory: %w", err)
		}
	}
	if len(l.segments) == 0 {
		return l.startSegment(1)
	}
	last := l.segments[len(l.segments)-1]
	f, err := l.options.Files.Append(l.path(last))
	if err != nil {
		return Error.New("step=open segment=%s: %w", last.name(), err)
	}
	l.file = f
	if !torn {
		return nil
	}
	if err := f.Truncate(last.size); err != nil {
		return Error.New("step=truncate segment=%s: %w", last.name(), err)
	}
	return l.sync()
}

func (l *Log) path(s segment) string { return filepath.Join(l.options.Dir, s.name()) }

func (l *Log) current() *segment { return &l.segments[len(l.segments)-1] }

// Append writes the batches as one record and syncs once. After
// datafolder.ErrDiskFull nothing was written and Append may be called again
// with the same batches.
func (l *Log) Append(batches ...*consensus.Batch) error {
	if l.failure != nil {
		return l.failure
	}
	if l.current().size >= l.options.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	e := newEncoder(l.buf)
	last, hard := uint64(0), l.hardState
	for _, b := range batches {
		if b.HardState != nil {
			hard = *b.HardState
			e.hardState(hard)
		}
		if b.Reset {
			e.reset(b.Snapshot.Index, b.Snapshot.Term)
		}
		for _, entry := range b.Entries {
			e.entry(entry)
			last = max(last, entry.Index)
		}
	}
	l.buf = e.buf
	if len(e.buf) == headerBytes {
		return nil
	}
	if err := l.write(e.record()); err != nil {
		return err
	}
	l.hardState = hard
	l.current().lastIndex = max(l.current().lastIndex, last)
	return nil
}

// Reset records that the snapshot at index replaces the log.
func (l *Log) Reset(index, term uint64) error {
	return l.Append(&consensus.Batch{Reset: true, Snapshot: &consensus.Snapshot{Index: index, Term: term}})
}

// write appends and syncs a record.
func (l *Log) write(record []byte) error {
	if _, err := l.file.Write(record); err != nil {
		return l.rollBackWrite(err)
	}
	if err := l.sync(); err != nil {
		return err
	}
	l.current().size += int64(len(record))
	l.stats.Records++
	l.stats.Bytes += int64(len(record))
	return nil
}

// rollBackWrite truncates the segment to its size before a failed write. The log
// stays usable only if the write failed for lack of space.
func (l *Log) rollBackWrite(cause error) error {
	if !datafolder.IsDiskFull(cause) {
		return l.fail("write", cause)
	}
	if err := l.file.Truncate(l.current().size); err != nil {
		return l.fail("truncate", err)
	}
	return Error.New("step=write segment=%s cause=%q: %w", l.current().name(), cause, datafolder.ErrDiskFull)
}

func (l *Log) sync() error {
	l.stats.Syncs++
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", err)
	}
	return nil
}

func (l *Log) fail(step string, cause error) error {
	l.failure = Error.New("step=%s segment=%s: %v", step, l.current().name(), cause)
	return l.failure
}

// rotate starts a new segment. The segment repeats the hard state, so that older
// segments can be removed.
func (l *Log) rotate() error {
	old := l.file
	if err := l.startSegment(l.current().number + 1); err != nil {
		return err
	}
	_ = old.Close() // everything in it is synced
	return nil
}

func (l *Log) startSegment(number uint64) error {
	s := segment{number: number}
	e := newEncoder(l.buf)
	e.segment(l.options.Incarnation)
	e.hardState(l.hardState)
	l.buf = e.buf
	f, err := l.options.Files.Create(l.path(s))
	if err != nil {
		return l.discardSegment(s, err)
	}
	record := e.record()
	if _, err := f.Write(record); err != nil {
		_ = f.Close()
		return l.discardSegment(s, err)
	}
	s.size = int64(len(record))
	l.segments = append(l.segments, s)
	l.file = f
	if err := l.sync(); err != nil {
		return err
	}
	if err := l.options.Files.SyncDir(l.options.Dir); err != nil {
		return l.fail("sync-directory", err)
	}
	return nil
}

// discardSegment removes a segment whose creation failed for lack of space. Any
// other cause makes the log fail. If the removal is lost in a crash, recovery removes
// the segment, because it has no complete header.
func (l *Log) discardSegment(s segment, cause error) error {
	if !datafolder.IsDiskFull(cause) {
		l.failure = Error.New("step=create segment=%s: %v", s.name(), cause)
		return l.failure
	}
	_ = l.options.Files.Remove(l.path(s))
	return Error.New("step=create segment=%s cause=%q: %w", s.name(), cause, datafolder.ErrDiskFull)
}

// RemoveSegmentsUpTo removes the oldest segments that hold only entries up to
// index. The last segment always stays. The directory is synced after each removal:
// otherwise a power loss could bring back some of the segments and not others.
func (l *Log) RemoveSegmentsUpTo(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= index {
		if err := l.options.Files.Remove(l.path(l.segments[0])); err != nil {
			return l.fail("remove", err)
		}
		if err := l.options.Files.SyncDir(l.options.Dir); err != nil {
			return l.fail("sync-directory", err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Stats returns the counters of the log.
func (l *Log) Stats() Stats { return l.stats }

// Close closes the last segment.
func (l *Log) Close() error { return Error.Wrap(l.file.Close()) }

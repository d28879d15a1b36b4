package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/datafolder"
)

// Recovered is the content of the log.
type Recovered struct {
	HardState consensus.HardState
	Entries   []consensus.Entry
	// ResetIndex and ResetTerm identify the last snapshot that replaced the log.
	// A snapshot at least as new must exist.
	ResetIndex uint64
	ResetTerm  uint64
	// TornBytes is the size of the torn tail that was cut off.
	TornBytes int
}

// segment is one file of the log.
type segment struct {
	number    uint64
	lastIndex uint64 // highest index in the segment; 0 if it has no entries
	size      int64
}

const (
	namePrefix = "wal-"
	nameSuffix = ".log"
)

func (s segment) name() string { return fmt.Sprintf("%s%016x%s", namePrefix, s.number, nameSuffix) }

func parseName(name string) (segment, bool) {
	if !strings.HasPrefix(name, namePrefix) || !strings.HasSuffix(name, nameSuffix) {
		return segment{}, false
	}
	digits := strings.TrimSuffix(strings.TrimPrefix(name, namePrefix), nameSuffix)
	number, err := strconv.ParseUint(digits, 16, 64)
	return segment{number: number}, err == nil
}

// reader replays the segments in order.
type reader struct {
	files       datafolder.FileSystem
	dir         string
	incarnation uint64
	recovered   Recovered
	segments    []segment

	snapshotIndex uint64
	afterGap      bool // segments are missing before those that are being read
}

func (r *reader) readAll() error {
	names, err := r.files.List(r.dir)
	if err != nil {
		return Error.New("step=list dir=%s: %w", r.dir, err)
	}
	for _, name := range names {
		if s, ok := parseName(name); ok {
			r.segments = append(r.segments, s)
		}
	}
	last, err := r.lastStarted()
	if err != nil {
		return err
	}
	for i := range r.segments {
		s := &r.segments[i]
		if i > 0 && s.number != r.segments[i-1].number+1 {
			if err := r.skipGap(*s); err != nil {
				return err
			}
		}
		if err := r.readSegment(s, i >= last); err != nil {
			return err
		}
	}
	return nil
}

// lastStarted returns the index of the last segment with a complete record. Those
// after it were being created, which a crash may have interrupted more than once.
func (r *reader) lastStarted() (int, error) {
	for i := len(r.segments) - 1; i > 0; i-- {
		data, err := r.files.ReadFile(filepath.Join(r.dir, r.segments[i].name()))
		if err != nil {
			return 0, Error.New("step=read segment=%s: %w", r.segments[i].name(), err)
		}
		if hasRecord(data) {
			return i, nil
		}
	}
	return 0, nil
}

// skipGap drops what was read so far, because segments before s are missing. That is
// no damage if the newest snapshot covers it: segments are removed only then, and
// earlier versions did not sync the directory after each removal, so that a power
// loss could bring back some of them.
func (r *reader) skipGap(s segment) error {
	covered := r.recovered.ResetIndex <= r.snapshotIndex
	for _, earlier := range r.segments {
		if earlier.number < s.number {
			covered = covered && earlier.lastIndex <= r.snapshotIndex
		}
	}
	if !covered || r.snapshotIndex == 0 {
		return Error.New("step=recover segment=%s snapshot=%d: the segment before it is missing: %w", s.name(), r.snapshotIndex, ErrDamaged)
	}
	r.recovered.Entries, r.afterGap = nil, true
	return nil
}

func (r *reader) readSegment(s *segment, isLast bool) error {
	data, err := r.files.ReadFile(filepath.Join(r.dir, s.name()))
	if err != nil {
		return Error.New("step=read segment=%s: %w", s.name(), err)
	}
	offset := 0
	for offset < len(data) {
		payload, size, valid := nextRecord(data[offset:])
		if !valid {
			return r.acceptTornTail(s, data[offset:], offset, isLast)
		}
		if err := r.replay(s, payload, offset == 0); err != nil {
			return Error.New("step=recover segment=%s offset=%d: %w", s.name(), offset, err)
		}
		offset += size
	}
	s.size = int64(offset)
	return nil
}

// acceptTornTail accepts an invalid record only where a crash can have torn it: at
// the end of the last segment, with no valid record after it.
func (r *reader) acceptTornTail(s *segment, rest []byte, offset int, isLast bool) error {
	if !isLast || hasRecord(rest[1:]) {
		return Error.New("step=recover segment=%s offset=%d: %w", s.name(), offset, ErrDamaged)
	}
	s.size = int64(offset)
	r.recovered.TornBytes = len(rest)
	return nil
}

func (r *reader) replay(s *segment, payload []byte, isFirst bool) error {
	d := &decoder{data: payload}
	if isFirst {
		if err := r.checkSegment(d); err != nil {
			return err
		}
	}
	for len(d.data) > 0 && !d.failed {
		switch d.item() {
		case itemHardState:
			r.recovered.HardState = d.hardState()
		case itemEntry:
			e := d.entry()
			s.lastIndex = max(s.lastIndex, e.Index)
			if err := r.addEntry(e); err != nil {
				return err
			}
		case itemReset:
			r.recovered.ResetIndex, r.recovered.ResetTerm = d.uint(), d.uint()
			r.recovered.Entries, r.afterGap = nil, false
		default:
			return Error.New("unknown item: %w", ErrDamaged)
		}
	}
	if d.failed {
		return Error.New("short item: %w", ErrDamaged)
	}
	return nil
}

func (r *reader) checkSegment(d *decoder) error {
	if len(d.data) == 0 || d.item() != itemSegment {
		return Error.New("no segment header: %w", ErrDamaged)
	}
	if v := d.uint(); v != formatVersion {
		return Error.New("version %d, want %d", v, formatVersion)
	}
	if i := d.uint(); i != r.incarnation {
		return Error.New("log belongs to incarnation %x, data folder to %x", i, r.incarnation)
	}
	return nil
}

func (r *reader) addEntry(e consensus.Entry) error {
	entries := r.recovered.Entries
	if len(entries) == 0 && r.afterGap {
		if e.Index > r.snapshotIndex+1 {
			return Error.New("entry %d after missing segments and the snapshot at %d: %w", e.Index, r.snapshotIndex, ErrDamaged)
		}
		r.recovered.Entries = append(entries, e)
		return nil
	}
	if len(entries) == 0 {
		if r.recovered.ResetIndex != 0 && e.Index != r.recovered.ResetIndex+1 {
			return Error.New("entry %d after a reset to %d: %w", e.Index, r.recovered.ResetIndex, ErrDamaged)
		}
		r.recovered.Entries = append(entries, e)
		return nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if e.Index < first && e.Index <= r.snapshotIndex {
		// The entry overwrites some in segments that were removed, because the snapshot
		// covers them.
		r.recovered.Entries = []consensus.Entry{e}
		return nil
	}
	if e.Index > last+1 || e.Index < first {
		return Error.New("entry %d after %d..%d: %w", e.Index, first, last, ErrDamaged)
	}
	r.recovered.Entries = append(entries[:e.Index-first], e)
	return nil
}

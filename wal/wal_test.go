package wal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/datafolder"
)

const incarnation = 7

func open(t *testing.T, files datafolder.FileSystem, dir string) (*Log, Recovered) {
	t.Helper()
	l, r, err := Open(Options{Files: files, Dir: dir, Incarnation: incarnation})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, r
}

func batch(first, last, term uint64) *consensus.Batch {
	b := &consensus.Batch{HardState: &consensus.HardState{Term: term, Vote: consensus.ReplicaID{ID: "a", Incarnation: 1}}}
	for i := first; i <= last; i++ {
		b.Entries = append(b.Entries, consensus.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry-%d", i)})
	}
	return b
}

func appendAll(t *testing.T, l *Log, batches ...*consensus.Batch) {
	t.Helper()
	for _, b := range batches {
		if err := l.Append(b); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against entries, votes and overwritten tails that are lost on a restart,
// also across segments.
func TestReopen(t *testing.T) {
	for _, size := range []int64{1, DefaultSegmentBytes} {
		dir := t.TempDir()
		l, _, err := Open(Options{Files: datafolder.OS{}, Dir: dir, Incarnation: incarnation, SegmentBytes: size})
		if err != nil {
			t.Fatal(err)
		}
		appendAll(t, l, batch(1, 5, 1), batch(6, 9, 1), batch(8, 8, 2))
		_ = l.Close()
		_, r := open(t, datafolder.OS{}, dir)
		want := append(append(batch(1, 5, 1).Entries, batch(6, 7, 1).Entries...), batch(8, 8, 2).Entries...)
		if !reflect.DeepEqual(r.Entries, want) || r.HardState != *batch(1, 1, 2).HardState {
			t.Errorf("segment bytes %d: recovered %+v", size, r)
		}
	}
}

// Guards against a torn last record that is accepted, or that makes the log
// unusable, for a crash at any byte of the record.
func TestTornTailAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, datafolder.OS{}, dir)
	appendAll(t, l, batch(1, 3, 1))
	synced := l.current().size
	appendAll(t, l, batch(4, 6, 1))
	name := l.path(*l.current())
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for cut := synced; cut < int64(len(whole)); cut++ {
		torn := filepath.Join(t.TempDir(), filepath.Base(name))
		if err := os.WriteFile(torn, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		l, r := open(t, datafolder.OS{}, filepath.Dir(torn))
		if len(r.Entries) != 3 || r.TornBytes != int(cut-synced) {
			t.Fatalf("cut at %d: %d entries, %d torn bytes", cut, len(r.Entries), r.TornBytes)
		}
		appendAll(t, l, batch(4, 4, 2))
		_ = l.Close()
		if _, r = open(t, datafolder.OS{}, filepath.Dir(torn)); len(r.Entries) != 4 || r.Entries[3].Term != 2 {
			t.Fatalf("cut at %d: %d entries after an append", cut, len(r.Entries))
		}
	}
}

// Guards against damage to synced records that is taken for a torn tail and
// silently drops entries.
func TestFlippedByteInTheMiddleIsFatal(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, datafolder.OS{}, dir)
	appendAll(t, l, batch(1, 3, 1))
	middle := l.current().size
	appendAll(t, l, batch(4, 6, 1))
	name := l.path(*l.current())
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for i := range middle {
		damaged := bytes.Clone(whole)
		damaged[i] ^= 0x40
		if err := os.WriteFile(name, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(Options{Files: datafolder.OS{}, Dir: dir, Incarnation: incarnation}); !errors.Is(err, ErrDamaged) {
			t.Fatalf("byte %d flipped: got %v, want %v", i, err, ErrDamaged)
		}
	}
}

// Guards against opening a log with a missing segment, a truncated older segment or
// a segment under a wrong name, and against opening the log of another incarnation.
func TestSegmentsThatDoNotFit(t *testing.T) {
	for name, spoil := range map[string]func(l *Log) error{
		"missing": func(l *Log) error { return os.Remove(l.path(l.segments[1])) },
		"cut":     func(l *Log) error { return os.Truncate(l.path(l.segments[1]), l.segments[1].size-1) },
		"foreign": func(l *Log) error { return os.Rename(l.path(l.segments[2]), l.path(l.segments[0])) },
	} {
		dir := t.TempDir()
		l, _, err := Open(Options{Files: datafolder.OS{}, Dir: dir, Incarnation: incarnation, SegmentBytes: 1})
		if err != nil {
			t.Fatal(err)
		}
		appendAll(t, l, batch(1, 1, 1), batch(2, 2, 1), batch(3, 3, 1))
		_ = l.Close()
		if err := spoil(l); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(Options{Files: datafolder.OS{}, Dir: dir, Incarnation: incarnation}); err == nil {
			t.Errorf("%s segment was accepted", name)
		}
	}
	dir := t.TempDir()
	open(t, datafolder.OS{}, dir)
	if _, _, err := Open(Options{Files: datafolder.OS{}, Dir: dir, Incarnation: 8}); err == nil {
		t.Error("the log of another incarnation was accepted")
	}
}

// Guards against a log that grows without bound, and against the removal of
// segments that are still needed.
func TestReleaseAndReset(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(Options{Files: datafolder.OS{}, Dir: dir, Incarnation: incarnation, SegmentBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	appendAll(t, l, batch(1, 1, 1), batch(2, 2, 1), batch(3, 3, 1))
	if err := l.RemoveSegmentsUpTo(2); err != nil {
		t.Fatal(err)
	}
	_, r := open(t, datafolder.OS{}, dir)
	if len(r.Entries) != 1 || r.Entries[0].Index != 3 || r.HardState.Term != 1 {
		t.Fatalf("recovered %+v after release", r)
	}
	if err := l.Reset(10, 2); err != nil {
		t.Fatal(err)
	}
	appendAll(t, l, batch(11, 11, 2))
	if _, r = open(t, datafolder.OS{}, dir); len(r.Entries) != 1 || r.ResetIndex != 10 || r.ResetTerm != 2 {
		t.Fatalf("recovered %+v after reset", r)
	}
}

// faultyFS is a file system whose files fail on demand.
type faultyFS struct {
	datafolder.OS
	write, sync *error
}

type faultyFile struct {
	datafolder.File
	fs faultyFS
}

func (f faultyFS) Create(path string) (datafolder.File, error) {
	file, err := f.OS.Create(path)
	return faultyFile{file, f}, err
}

// Write writes half of p before it fails, as on a full disk.
func (f faultyFile) Write(p []byte) (int, error) {
	if err := *f.fs.write; err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f faultyFile) Sync() error {
	if err := *f.fs.sync; err != nil {
		return err
	}
	return f.File.Sync()
}

// Guards against retrying a failed sync: the kernel may have dropped the pages, and
// the second sync would succeed without them. This includes a sync that fails for
// lack of space.
func TestFailedSyncIsFinal(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		var write, sync error
		l, _ := open(t, faultyFS{write: &write, sync: &sync}, t.TempDir())
		sync = cause
		if err := l.Append(batch(1, 1, 1)); err == nil || datafolder.IsDiskFull(err) {
			t.Fatalf("append with a failing sync: got %v", err)
		}
		sync = nil
		if err := l.Append(batch(1, 1, 1)); err == nil {
			t.Fatal("append succeeded after a failed sync")
		}
	}
}

// Guards against a full disk that damages the log or makes it fail for good.
func TestFullDiskCanBeRetried(t *testing.T) {
	var write, sync error
	dir := t.TempDir()
	l, _ := open(t, faultyFS{write: &write, sync: &sync}, dir)
	appendAll(t, l, batch(1, 1, 1))
	write = syscall.ENOSPC
	for range 2 {
		if err := l.Append(batch(2, 2, 1)); !errors.Is(err, datafolder.ErrDiskFull) {
			t.Fatalf("append on a full disk: got %v", err)
		}
	}
	write = nil
	appendAll(t, l, batch(2, 2, 1))
	if _, r := open(t, datafolder.OS{}, dir); len(r.Entries) != 2 || r.TornBytes != 0 {
		t.Fatalf("recovered %d entries, %d torn bytes, want 2 and 0", len(r.Entries), r.TornBytes)
	}
	write = syscall.EIO
	if err := l.Append(batch(3, 3, 1)); err == nil || datafolder.IsDiskFull(err) {
		t.Fatalf("append with a failing write: got %v", err)
	}
}

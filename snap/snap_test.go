package snap

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/datafolder"
)

func snapshot(index uint64) *consensus.Snapshot {
	return &consensus.Snapshot{
		Index:      index,
		Term:       2,
		Membership: consensus.Membership{Group: 9, Members: []consensus.Member{{ID: consensus.ReplicaID{ID: "a", Incarnation: 9}, Voter: true}}},
		Data:       bytes.Repeat([]byte{byte(index)}, 100),
	}
}

func save(t *testing.T, f Folder, index uint64) uint64 {
	t.Helper()
	oldest, err := f.Save(snapshot(index))
	if err != nil {
		t.Fatal(err)
	}
	return oldest
}

func load(t *testing.T, f Folder) Loaded {
	t.Helper()
	l, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against loading an older snapshot instead of the newest, and against old
// files that are not removed.
func TestSaveAndLoad(t *testing.T) {
	f := Folder{Files: datafolder.OS{}, Dir: t.TempDir()}
	if l := load(t, f); l.Snapshot.Index != 0 {
		t.Fatalf("loaded %+v from an empty folder", l)
	}
	var oldest uint64
	for _, index := range []uint64{5, 80, 300} {
		oldest = save(t, f, index)
	}
	if l := load(t, f); !reflect.DeepEqual(l.Snapshot, *snapshot(300)) || oldest != 80 {
		t.Fatalf("loaded %+v, oldest %d", l, oldest)
	}
	if names, _ := f.names(); len(names) != keptSnapshots {
		t.Fatalf("%d files are kept, want %d", len(names), keptSnapshots)
	}
}

// Guards against loading a snapshot file that is damaged or truncated at any byte.
func TestDamagedNewestIsReported(t *testing.T) {
	f := Folder{Files: datafolder.OS{}, Dir: t.TempDir()}
	save(t, f, 5)
	save(t, f, 6)
	path := filepath.Join(f.Dir, nameOf(6))
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		flipped := bytes.Clone(whole)
		flipped[i] ^= 1
		for _, content := range [][]byte{flipped, whole[:i]} {
			if err := os.WriteFile(path, content, 0o600); err != nil {
				t.Fatal(err)
			}
			l := load(t, f)
			if l.Snapshot.Index != 5 || len(l.Damaged) != 1 {
				t.Fatalf("byte %d: loaded %d, damaged %v", i, l.Snapshot.Index, l.Damaged)
			}
		}
	}
}

// failingFS is a file system that fails at one step.
type failingFS struct {
	datafolder.OS
	step string
	err  error
}

type failingFile struct {
	datafolder.File
	fs failingFS
}

func (f failingFS) at(step string) error {
	if f.step == step {
		return f.err
	}
	return nil
}

func (f failingFS) Create(path string) (datafolder.File, error) {
	file, err := f.OS.Create(path)
	return failingFile{file, f}, err
}

func (f failingFS) Rename(from, to string) error {
	if err := f.at("rename"); err != nil {
		return err
	}
	return f.OS.Rename(from, to)
}

func (f failingFS) SyncDir(dir string) error {
	if err := f.at("sync-directory"); err != nil {
		return err
	}
	return f.OS.SyncDir(dir)
}

func (f failingFile) Write(p []byte) (int, error) {
	if err := f.fs.at("write"); err != nil {
		return 0, err
	}
	return f.File.Write(p)
}

func (f failingFile) Sync() error {
	if err := f.fs.at("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

// Guards against ignoring a failed step of Save, and against a failed save that
// hides the snapshot before it.
func TestFailedSave(t *testing.T) {
	for _, step := range []string{"write", "sync", "rename", "sync-directory"} {
		for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
			f := Folder{Files: datafolder.OS{}, Dir: t.TempDir()}
			save(t, f, 5)
			f.Files = failingFS{step: step, err: cause}
			_, err := f.Save(snapshot(6))
			if err == nil {
				t.Fatalf("save succeeded although step %s failed", step)
			}
			if retry := errors.Is(err, datafolder.ErrDiskFull); retry != (step == "write" && cause == syscall.ENOSPC) {
				t.Errorf("step %s, cause %v: got %v", step, cause, err)
			}
			if l := load(t, f); l.Snapshot.Index < 5 || len(l.Damaged) > 0 {
				t.Errorf("step %s: loaded %d, damaged %v", step, l.Snapshot.Index, l.Damaged)
			}
		}
	}
}

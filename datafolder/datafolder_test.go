package datafolder

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against two processes that use one folder, and against an incarnation
// that changes while the folder is kept or stays the same after it is lost.
func TestLockAndIncarnation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	first := mustOpen(t, path)
	if _, err := Open(path); !errors.Is(err, ErrLocked) {
		t.Fatalf("second open: got %v, want %v", err, ErrLocked)
	}
	_ = first.Close()
	reopened := mustOpen(t, path)
	if reopened.Incarnation != first.Incarnation {
		t.Fatal("incarnation changed at a restart")
	}
	_ = reopened.Close()
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	if wiped := mustOpen(t, path); wiped.Incarnation == first.Incarnation {
		t.Fatal("incarnation survived the loss of the folder")
	}
}

func mustOpen(t *testing.T, path string) *Folder {
	t.Helper()
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// Guards against a folder that is formatted again although it has state, and
// against a damaged format file that is accepted.
func TestDamagedFormat(t *testing.T) {
	path := t.TempDir()
	_ = mustOpen(t, path).Close()
	name := filepath.Join(path, formatFileName)
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	content[len(formatPattern)/2] ^= 1
	if err := os.WriteFile(name, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Fatal("a damaged format file was accepted")
	}
	if err := os.Rename(name, filepath.Join(path, "wal-1.log")); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Fatal("a folder with state was formatted again")
	}
}

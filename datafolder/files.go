package datafolder

import (
	"os"
	"path/filepath"
	"strings"
)

// File is an open file for appending.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FileSystem has the file operations that the log and the snapshots need.
type FileSystem interface {
	Create(path string) (File, error) // empty, replaces an existing file
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	List(dir string) ([]string, error) // names in order
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// OS is the FileSystem of the operating system.
type OS struct{}

// Create implements FileSystem.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o640)
}

// Append implements FileSystem.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o640)
}

// ReadFile implements FileSystem.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// List implements FileSystem.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FileSystem. A created or renamed file is durable only once
// its directory is synced.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

const temporarySuffix = ".tmp"

// WriteFileAtomic writes a file so that it exists either whole or not at all, also
// after a crash: it writes and syncs a temporary file, renames it and syncs the
// directory. For lack of space it removes the temporary file and returns
// ErrDiskFull; a write that failed with any other error must not be retried.
func WriteFileAtomic(files FileSystem, dir, name string, content []byte) error {
	temporaryPath := filepath.Join(dir, name+temporarySuffix)
	if err := writeSynced(files, temporaryPath, content); err != nil {
		return err
	}
	if err := files.Rename(temporaryPath, filepath.Join(dir, name)); err != nil {
		return Error.New("step=rename file=%s: %w", name, err)
	}
	if err := files.SyncDir(dir); err != nil {
		return Error.New("step=sync-directory file=%s: %w", name, err)
	}
	return nil
}

// RemoveTemporary removes the files of interrupted calls of WriteFileAtomic, which
// would otherwise occupy the disk for good.
func RemoveTemporary(files FileSystem, dir string) error {
	names, err := files.List(dir)
	if err != nil {
		return Error.New("step=list path=%s: %w", dir, err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := files.Remove(filepath.Join(dir, name)); err != nil {
			return Error.New("step=remove file=%s: %w", name, err)
		}
	}
	return nil
}

func writeSynced(files FileSystem, path string, content []byte) error {
	f, err := files.Create(path)
	if err != nil {
		return wrapDiskError("create", path, err)
	}
	defer f.Close()
	if _, err := f.Write(content); err != nil {
		_ = files.Remove(path)
		return wrapDiskError("write", path, err)
	}
	if err := f.Sync(); err != nil {
		// %v instead of %w keeps the error from counting as ErrDiskFull: a sync
		// that failed for lack of space is as fatal as any other.
		return Error.New("step=sync path=%s: %v", path, err)
	}
	return nil
}

// wrapDiskError adds step and path to err, and makes ErrDiskFull the cause if
// there is no space left.
func wrapDiskError(step, path string, err error) error {
	if IsDiskFull(err) {
		return Error.New("step=%s path=%s cause=%q: %w", step, path, err, ErrDiskFull)
	}
	return Error.New("step=%s path=%s: %w", step, path, err)
}

// Package crashfs is a file system in memory for tests of recovery. It loses power at
// a chosen operation and then keeps or loses each change that was not synced, as the
// disks of an instance do.
package crashfs

import (
	"maps"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/datafolder"
)

// ErrPowerLost is the result of each operation after the power was lost.
var ErrPowerLost = errs.New("crashfs: power lost")

// content is the content of a file.
type content struct {
	data   []byte // as a running process reads it
	synced []byte // survives a power loss
}

// FS is a file system with one folder. It is not safe for concurrent use.
type FS struct {
	// Capacity bounds the bytes of all files; 0 means no bound.
	Capacity int

	current map[string]*content // names as a running process sees them
	durable map[string]*content // names that survive a power loss
	left    int                 // operations until the power is lost; negative for never
}

// New returns an empty file system that does not lose power.
func New() *FS { return &FS{current: map[string]*content{}, durable: map[string]*content{}, left: -1} }

// LosePowerAfter has the file system fail after the number of operations.
func (f *FS) LosePowerAfter(operations int) { f.left = operations }

// Restart brings the power back. Each change of a name that was not synced is kept or
// lost as keep decides. Of the bytes of a file that were written and not synced, cut
// returns how many survive.
func (f *FS) Restart(keep func() bool, cut func(unsynced int) int) {
	names := slices.Sorted(maps.Keys(f.current))
	for name := range f.durable {
		if f.current[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	survivors := map[string]*content{}
	for _, name := range names {
		c := f.durable[name]
		if c != f.current[name] && keep() {
			c = f.current[name]
		}
		if c != nil {
			survivors[name] = &content{data: c.data, synced: c.synced}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(survivors)) {
		c := survivors[name]
		switch {
		case len(c.data) > len(c.synced):
			c.data = slices.Clone(c.data[:len(c.synced)+cut(len(c.data)-len(c.synced))])
		case len(c.data) < len(c.synced) && !keep():
			c.data = slices.Clone(c.synced)
		}
		c.synced = slices.Clone(c.data)
	}
	f.current, f.durable, f.left = survivors, maps.Clone(survivors), -1
}

// Used returns the bytes of all files.
func (f *FS) Used() int {
	used := 0
	for _, c := range f.current {
		used += len(c.data)
	}
	return used
}

func (f *FS) operate() error {
	if f.left == 0 {
		return ErrPowerLost
	}
	if f.left > 0 {
		f.left--
	}
	return nil
}

// file is an open file.
type file struct {
	fs   *FS
	name string
	*content
}

// Create implements datafolder.FileSystem.
func (f *FS) Create(path string) (datafolder.File, error) {
	if err := f.operate(); err != nil {
		return nil, err
	}
	name := filepath.Base(path)
	c := f.current[name]
	if c == nil {
		c = &content{}
		f.current[name] = c
	}
	c.data = nil
	return &file{f, name, c}, nil
}

// Append implements datafolder.FileSystem.
func (f *FS) Append(path string) (datafolder.File, error) {
	if err := f.operate(); err != nil {
		return nil, err
	}
	name := filepath.Base(path)
	if f.current[name] == nil {
		return nil, syscall.ENOENT
	}
	return &file{f, name, f.current[name]}, nil
}

// ReadFile implements datafolder.FileSystem.
func (f *FS) ReadFile(path string) ([]byte, error) {
	if err := f.operate(); err != nil {
		return nil, err
	}
	c := f.current[filepath.Base(path)]
	if c == nil {
		return nil, syscall.ENOENT
	}
	return slices.Clone(c.data), nil
}

// List implements datafolder.FileSystem.
func (f *FS) List(string) ([]string, error) {
	return slices.Sorted(maps.Keys(f.current)), f.operate()
}

// Rename implements datafolder.FileSystem.
func (f *FS) Rename(from, to string) error {
	if err := f.operate(); err != nil {
		return err
	}
	c := f.current[filepath.Base(from)]
	if c == nil {
		return syscall.ENOENT
	}
	delete(f.current, filepath.Base(from))
	f.current[filepath.Base(to)] = c
	return nil
}

// Remove implements datafolder.FileSystem.
func (f *FS) Remove(path string) error {
	if err := f.operate(); err != nil {
		return err
	}
	delete(f.current, filepath.Base(path))
	return nil
}

// SyncDir implements datafolder.FileSystem.
func (f *FS) SyncDir(string) error {
	if err := f.operate(); err != nil {
		return err
	}
	f.durable = maps.Clone(f.current)
	return nil
}

// Write implements datafolder.File. When the power is lost or the disk is full, a
// part of p may be written.
func (f *file) Write(p []byte) (int, error) {
	if err := f.fs.operate(); err != nil {
		return 0, err
	}
	room := len(p)
	if f.fs.Capacity > 0 {
		room = max(min(room, f.fs.Capacity-f.fs.Used()), 0)
	}
	f.data = append(slices.Clip(f.data), p[:room]...)
	if room < len(p) {
		return room, syscall.ENOSPC
	}
	return room, nil
}

// Sync implements datafolder.File. It also makes the name of a new file durable.
func (f *file) Sync() error {
	if err := f.fs.operate(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	if f.fs.current[f.name] == f.content && f.fs.durable[f.name] == nil {
		f.fs.durable[f.name] = f.content
	}
	return nil
}

// Truncate implements datafolder.File.
func (f *file) Truncate(size int64) error {
	if err := f.fs.operate(); err != nil {
		return err
	}
	f.data = slices.Clone(f.data[:min(int(size), len(f.data))])
	return nil
}

// Close implements datafolder.File.
func (f *file) Close() error { return nil }

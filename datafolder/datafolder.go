// Package datafolder formats and locks the data folder of a replica, and defines
// the file interface of the packages that write there, so that tests can make a
// write or a sync fail.
package datafolder

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("datafolder")

// ErrLocked is returned when another process uses the folder.
var ErrLocked = Error.New("locked by another process")

// ErrDiskFull is the cause of writes that failed for lack of space. The failed
// write has been undone, so it may be retried.
var ErrDiskFull = Error.New("disk full")

// IsDiskFull reports whether err means that the disk or the quota is full.
func IsDiskFull(err error) bool {
	return errors.Is(err, ErrDiskFull) || errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

const (
	lockFileName   = "lock"
	formatFileName = "format"
	formatPattern  = "ibispier-data version=1 incarnation=%016x"
)

// Folder is a locked data folder.
type Folder struct {
	Path        string
	Incarnation uint64 // random; chosen when the folder was formatted
	lock        *os.File
}

// Open locks the folder at path and formats it when it is empty.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, Error.New("step=create path=%s: %w", path, err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, Error.New("step=lock path=%s: %w", path, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, Error.New("step=lock path=%s cause=%q: %w", path, err, ErrLocked)
	}
	f := &Folder{Path: path, lock: lock}
	if f.Incarnation, err = readOrFormat(path); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return f, nil
}

// Close releases the lock.
func (f *Folder) Close() error { return Error.Wrap(f.lock.Close()) }

func readOrFormat(path string) (uint64, error) {
	data, err := os.ReadFile(filepath.Join(path, formatFileName))
	switch {
	case err == nil:
		return parseFormat(path, string(data))
	case !errors.Is(err, fs.ErrNotExist):
		return 0, Error.New("step=read-format path=%s: %w", path, err)
	}
	if err := checkEmpty(path); err != nil {
		return 0, err
	}
	return format(path)
}

// checkEmpty returns an error for a folder that has state but no format file:
// with a new incarnation the replica would forget what it has acknowledged.
func checkEmpty(path string) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return Error.New("step=list path=%s: %w", path, err)
	}
	for _, e := range entries {
		if e.Name() != lockFileName && e.Name() != formatFileName+temporarySuffix {
			return Error.New("step=format path=%s: file %s is missing, but %s exists", path, formatFileName, e.Name())
		}
	}
	return nil
}

func format(path string) (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, Error.New("step=format path=%s: %w", path, err)
	}
	incarnation := binary.BigEndian.Uint64(random[:]) | 1 // 0 means no incarnation
	line := fmt.Sprintf(formatPattern, incarnation)
	content := fmt.Sprintf("%s crc=%08x\n", line, checksum(line))
	if err := WriteFileAtomic(OS{}, path, formatFileName, []byte(content)); err != nil {
		return 0, err
	}
	return incarnation, nil
}

func parseFormat(path, content string) (uint64, error) {
	line, crc, _ := strings.Cut(strings.TrimSpace(content), " crc=")
	var incarnation uint64
	_, err := fmt.Sscanf(line, formatPattern, &incarnation)
	if err != nil || crc != fmt.Sprintf("%08x", checksum(line)) {
		return 0, Error.New("step=read-format path=%s: damaged format file", path)
	}
	return incarnation, nil
}

func checksum(line string) uint32 {
	return crc32.Checksum([]byte(line), crc32.MakeTable(crc32.Castagnoli))
}

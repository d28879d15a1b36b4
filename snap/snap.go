// Package snap stores snapshots in files. A file is created atomically and
// protected by a CRC-32C over its content. The two newest are kept, so that the
// older one and the log can replace a damaged newest one.
package snap

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/datafolder"
)

// Error is the class of all errors of this package.
var Error = errs.Class("snap")

// ErrDamaged is the cause of errors about files that cannot be decoded.
var ErrDamaged = Error.New("damaged snapshot")

const (
	namePrefix    = "snap-"
	nameSuffix    = ".snap"
	magic         = "ibsnap1\n"
	headerBytes   = len(magic) + 8 + 8 + 8 + 8
	crcBytes      = 4
	keptSnapshots = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Folder is a folder that holds snapshot files.
type Folder struct {
	Files datafolder.FileSystem
	Dir   string
}

func nameOf(index uint64) string { return fmt.Sprintf("%s%016x%s", namePrefix, index, nameSuffix) }

// Save writes s and removes all but the newest files. It returns the index of the
// oldest remaining snapshot: the log from there on is still needed.
func (f Folder) Save(s *consensus.Snapshot) (uint64, error) {
	if err := datafolder.WriteFileAtomic(f.Files, f.Dir, nameOf(s.Index), encode(s)); err != nil {
		return 0, err
	}
	names, err := f.names()
	if err != nil {
		return 0, err
	}
	for len(names) > keptSnapshots {
		if err := f.Files.Remove(filepath.Join(f.Dir, names[0])); err != nil {
			return 0, Error.New("step=remove file=%s: %w", names[0], err)
		}
		names = names[1:]
	}
	return indexOf(names[0]), nil
}

// KeepNewest removes all but the newest snapshot and returns its index, or 0 if there
// is none.
func (f Folder) KeepNewest() (uint64, error) {
	names, err := f.names()
	if err != nil || len(names) == 0 {
		return 0, err
	}
	newest := names[len(names)-1]
	for _, name := range names[:len(names)-1] {
		if err := f.Files.Remove(filepath.Join(f.Dir, name)); err != nil {
			return 0, Error.New("step=remove file=%s: %w", name, err)
		}
	}
	return indexOf(newest), Error.Wrap(f.Files.SyncDir(f.Dir))
}

// Loaded is the result of Load.
type Loaded struct {
	Snapshot consensus.Snapshot // zero if there is none
	Damaged  []string           // newer files that cannot be decoded
}

// Load returns the newest snapshot that can be decoded. Whether an older one is
// recent enough depends on the log; the caller must check that.
func (f Folder) Load() (Loaded, error) {
	names, err := f.names()
	if err != nil {
		return Loaded{}, err
	}
	var l Loaded
	for i := len(names) - 1; i >= 0; i-- {
		data, err := f.Files.ReadFile(filepath.Join(f.Dir, names[i]))
		if err != nil {
			return Loaded{}, Error.New("step=read file=%s: %w", names[i], err)
		}
		s, err := decode(data)
		if err == nil && nameOf(s.Index) == names[i] {
			l.Snapshot = s
			return l, nil
		}
		l.Damaged = append(l.Damaged, names[i])
	}
	return l, nil
}

// RenameDamaged adds the suffix .damaged to the files, so that they do not count as
// snapshots that are kept.
func (f Folder) RenameDamaged(names []string) error {
	for _, name := range names {
		from := filepath.Join(f.Dir, name)
		if err := f.Files.Rename(from, from+".damaged"); err != nil {
			return Error.New("step=discard file=%s: %w", name, err)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return Error.Wrap(f.Files.SyncDir(f.Dir))
}

// names returns the names of the snapshot files in order of index.
func (f Folder) names() ([]string, error) {
	all, err := f.Files.List(f.Dir)
	if err != nil {
		return nil, Error.New("step=list dir=%s: %w", f.Dir, err)
	}
	var names []string
	for _, name := range all {
		if strings.HasPrefix(name, namePrefix) && strings.HasSuffix(name, nameSuffix) {
			names = append(names, name)
		}
	}
	return names, nil
}

func indexOf(name string) uint64 {
	var index uint64
	_, _ = fmt.Sscanf(name, namePrefix+"%x", &index)
	return index
}

func encode(s *consensus.Snapshot) []byte {
	membership := s.Membership.Encode()
	buf := make([]byte, 0, headerBytes+len(membership)+len(s.Data)+crcBytes)
	buf = append(buf, magic...)
	for _, v := range []uint64{s.Index, s.Term, uint64(len(membership)), uint64(len(s.Data))} {
		buf = binary.LittleEndian.AppendUint64(buf, v)
	}
	buf = append(buf, membership...)
	buf = append(buf, s.Data...)
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
}

func decode(data []byte) (consensus.Snapshot, error) {
	var s consensus.Snapshot
	if len(data) < headerBytes+crcBytes || string(data[:len(magic)]) != magic {
		return s, ErrDamaged
	}
	body, sum := data[:len(data)-crcBytes], data[len(data)-crcBytes:]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(sum) {
		return s, ErrDamaged
	}
	field := func(i int) uint64 { return binary.LittleEndian.Uint64(body[len(magic)+8*i:]) }
	rest := body[headerBytes:]
	if field(2)+field(3) != uint64(len(rest)) || field(2) > uint64(len(rest)) {
		return s, ErrDamaged
	}
	membership, err := consensus.DecodeMembership(rest[:field(2)])
	if err != nil {
		return s, Error.New("%v: %w", err, ErrDamaged)
	}
	s = consensus.Snapshot{Index: field(0), Term: field(1), Membership: membership, Data: rest[field(2):]}
	return s, nil
}

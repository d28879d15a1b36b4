package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/consensus"
)

// Error is the class of all errors of this package.
var Error = errs.Class("wal")

// ErrDamaged is the cause of errors about records that were synced but can no
// longer be read.
var ErrDamaged = Error.New("damaged log")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// headerBytes is the size of a record header: the length of the payload, the CRC
// of the payload, and the CRC of these two fields, which detects a damaged length.
const headerBytes = 12

// Kinds of items in a record.
const (
	itemSegment   byte = iota + 1 // version and incarnation; first in each segment
	itemHardState                 // term and vote
	itemEntry                     // one entry; replaces the entries from its index on
	itemReset                     // a snapshot replaces the log
)

const formatVersion = 1

// encoder encodes one record.
type encoder struct{ buf []byte }

func newEncoder(buf []byte) *encoder {
	return &encoder{buf: append(buf[:0], make([]byte, headerBytes)...)}
}

func (e *encoder) uint(values ...uint64) {
	for _, v := range values {
		e.buf = binary.AppendUvarint(e.buf, v)
	}
}

func (e *encoder) bytes(data []byte) {
	e.uint(uint64(len(data)))
	e.buf = append(e.buf, data...)
}

func (e *encoder) segment(incarnation uint64) {
	e.buf = append(e.buf, itemSegment)
	e.uint(formatVersion, incarnation)
}

func (e *encoder) hardState(h consensus.HardState) {
	e.buf = append(e.buf, itemHardState)
	e.uint(h.Term, h.Vote.Incarnation)
	e.bytes([]byte(h.Vote.ID))
}

func (e *encoder) entry(entry consensus.Entry) {
	e.buf = append(e.buf, itemEntry)
	e.uint(entry.Index, entry.Term, uint64(entry.Kind))
	e.bytes(entry.Data)
}

func (e *encoder) reset(index, term uint64) {
	e.buf = append(e.buf, itemReset)
	e.uint(index, term)
}

// record fills in the header and returns the record.
func (e *encoder) record() []byte {
	payload := e.buf[headerBytes:]
	binary.LittleEndian.PutUint32(e.buf, uint32(len(payload)))
	binary.LittleEndian.PutUint32(e.buf[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(e.buf[8:], crc32.Checksum(e.buf[:8], castagnoli))
	return e.buf
}

// nextRecord returns the payload of the record at the start of data and the size
// of the whole record, or false if there is no valid record.
func nextRecord(data []byte) (payload []byte, size int, valid bool) {
	if len(data) < headerBytes {
		return nil, 0, false
	}
	if crc32.Checksum(data[:8], castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > len(data)-headerBytes {
		return nil, 0, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return payload, headerBytes + length, true
}

// hasRecord reports whether a valid record starts anywhere in data.
func hasRecord(data []byte) bool {
	for i := range data {
		if _, _, valid := nextRecord(data[i:]); valid {
			return true
		}
	}
	return false
}

// decoder decodes the items of a payload.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.failed = true
		d.data = nil
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *decoder) bytes() []byte {
	size := d.uint()
	if size > uint64(len(d.data)) {
		d.failed = true
		d.data = nil
		return nil
	}
	data := d.data[:size:size]
	d.data = d.data[size:]
	return data
}

func (d *decoder) item() byte {
	kind := d.data[0]
	d.data = d.data[1:]
	return kind
}

func (d *decoder) hardState() consensus.HardState {
	h := consensus.HardState{Term: d.uint()}
	h.Vote.Incarnation = d.uint()
	h.Vote.ID = string(d.bytes())
	return h
}

func (d *decoder) entry() consensus.Entry {
	e := consensus.Entry{Index: d.uint(), Term: d.uint(), Kind: consensus.EntryKind(d.uint())}
	e.Data = d.bytes()
	return e
}

package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
)

// Error is the class of all errors of this package.
var Error = errs.Class("wire")

// MaxFrameBytes bounds one frame, so that a corrupt length prefix cannot make
// the reader allocate without limit.
const MaxFrameBytes = 8 << 20

// ErrFrameTooLarge is returned for frames larger than MaxFrameBytes.
var ErrFrameTooLarge = Error.New("frame too large")

const lengthPrefixBytes = 4

// CheckSize returns an error that wraps ErrFrameTooLarge if the frame cannot be sent.
func CheckSize(f *Frame) error {
	if size := proto.Size(f); size > MaxFrameBytes {
		return Error.New("%d bytes, limit is %d: %w", size, MaxFrameBytes, ErrFrameTooLarge)
	}
	return nil
}

// Writer writes length-delimited frames. It is not safe for concurrent use.
type Writer struct {
	w   *bufio.Writer
	buf []byte
}

// bufferBytes is the size of the buffer of a Writer or Reader. It holds most batches
// of frames; a control member has four such buffers for each of its hundreds of links.
const bufferBytes = 8 << 10

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{w: bufio.NewWriterSize(w, bufferBytes)}
}

// Write adds one frame to the buffer, which Flush sends.
func (w *Writer) Write(f *Frame) error {
	buf, err := proto.MarshalOptions{}.MarshalAppend(append(w.buf[:0], 0, 0, 0, 0), f)
	if err != nil {
		return Error.Wrap(err)
	}
	w.buf = buf
	size := len(buf) - lengthPrefixBytes
	if size > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.w.Write(buf)
	return Error.Wrap(err)
}

// Flush sends the buffered frames.
func (w *Writer) Flush() error { return Error.Wrap(w.w.Flush()) }

// Reader reads length-delimited frames. It is not safe for concurrent use.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes)}
}

// Read returns the next frame. The frame does not share memory with the Reader.
func (r *Reader) Read() (*Frame, error) {
	return readFrame(r.r, &r.buf, MaxFrameBytes)
}

// ReadUnbuffered reads one frame of at most maxBytes from r without reading ahead.
func ReadUnbuffered(r io.Reader, maxBytes uint32) (*Frame, error) {
	return readFrame(r, new([]byte), maxBytes)
}

// readFrame reads one frame into *scratch, which it grows as needed.
func readFrame(r io.Reader, scratch *[]byte, maxBytes uint32) (*Frame, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, Error.Wrap(err)
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxBytes {
		return nil, ErrFrameTooLarge
	}
	if cap(*scratch) < int(size) {
		*scratch = make([]byte, size)
	}
	buf := (*scratch)[:size]
	if _, err := io.ReadFull(r, buf); err != nil {
		return nil, Error.Wrap(err)
	}
	frame := new(Frame)
	if err := proto.Unmarshal(buf, frame); err != nil {
		return nil, Error.New("malformed frame of %d bytes: %w", size, err)
	}
	return frame, nil
}

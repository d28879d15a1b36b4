package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
)

func encode(t testing.TB, frames ...*Frame) []byte {
	t.Helper()
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, f := range frames {
		if err := w.Write(f); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func heartbeat(sequence uint64) *Frame {
	return &Frame{Body: &Frame_Heartbeat{Heartbeat: &Heartbeat{Sequence: sequence}}}
}

// Guards against a length prefix that makes a process allocate without limit.
func TestLongFramesAreRefused(t *testing.T) {
	data := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	if _, err := NewReader(bytes.NewReader(data)).Read(); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("error %v", err)
	}
}

// FuzzReader guards against bytes from the network that crash a process, and
// against a frame that changes when it is encoded and decoded again.
func FuzzReader(f *testing.F) {
	f.Add(encode(f, heartbeat(1), heartbeat(2)))
	f.Add(encode(f, &Frame{Body: &Frame_Request{Request: &Request{RequestId: "r", Body: []byte("body")}}}))
	f.Add([]byte{0, 0, 0, 4, 1, 2, 3})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for {
			frame, err := r.Read()
			if err != nil {
				return
			}
			decoded, err := NewReader(bytes.NewReader(encode(t, frame))).Read()
			if err != nil || !proto.Equal(frame, decoded) {
				t.Fatalf("frame %v became %v, error %v", frame, decoded, err)
			}
		}
	})
}

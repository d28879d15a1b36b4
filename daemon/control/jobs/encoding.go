package jobs

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/ibispier/ibispier/job"
)

const (
	// compressAbove is the size from which an encoded command is compressed. Only
	// commands with a large configuration reach it; they shrink to about a tenth.
	compressAbove = 64 << 10
	// maxDecodedBytes bounds a decompressed command. A larger one would end every member
	// that applies it, so it must never be proposed.
	maxDecodedBytes = 64 << 20
	// splitAbove is the decompressed size from which the parts of a command are split.
	// Repetitive commands shrink a thousandfold, and each member needs memory for the
	// decompressed form.
	splitAbove = 16 << 20
)

// gzipMagic are the first bytes of a compressed command. Others are JSON.
var gzipMagic = []byte{0x1f, 0x8b}

// encodeCommand returns the encoded command and its decompressed size.
func encodeCommand(c *job.Command) (encoded []byte, size int, err error) {
	data, err := json.Marshal(c)
	if err != nil || len(data) <= compressAbove {
		return data, len(data), err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, 0, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, 0, err
	}
	if err := w.Close(); err != nil {
		return nil, 0, err
	}
	return compressed.Bytes(), len(data), nil
}

func decodeCommand(data []byte) (*job.Command, error) {
	if bytes.HasPrefix(data, gzipMagic) {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		if data, err = io.ReadAll(io.LimitReader(r, maxDecodedBytes)); err != nil {
			return nil, err
		}
	}
	c := new(job.Command)
	return c, json.Unmarshal(data, c)
}

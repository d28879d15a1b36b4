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
	// maxDecodedBytes bounds a decompressed command.
	maxDecodedBytes = 64 << 20
)

// gzipMagic are the first bytes of a compressed command. Others are JSON.
var gzipMagic = []byte{0x1f, 0x8b}

func encodeCommand(c *job.Command) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil || len(data) <= compressAbove {
		return data, err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
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

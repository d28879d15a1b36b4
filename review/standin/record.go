package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record collects what was sent, answered and run, and writes it to a file.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file of the record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, started: time.Now()}, nil
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.started) }

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is the begin or the end of a run as a runner saw it.
type event struct {
	at     time.Duration
	runner string
	kind   string // of the runner, for a begin
	task   string
	run    int
	how    string // "" for a begin
	number int    // of the end in the runner's list
}

// record holds what was sent, answered and run, and writes it to record.txt.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
	events  []event
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, values...)
}

func (r *record) write(format string, values ...any) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) begun(runner, kind, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{at: time.Since(r.started), runner: runner, kind: kind, task: task, run: run})
	r.write("%s (kind %s) begins %s", runner, kind, runName(task, run))
}

func (r *record) ended(runner, task string, run int, how string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{at: time.Since(r.started), runner: runner, task: task, run: run, how: how, number: number})
	r.write("%s lists the end %d of %s: %s", runner, number, runName(task, run), how)
}

// lapsed notes that the lease of a runner has ended.
func (r *record) lapsed(runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{at: time.Since(r.started), runner: runner, how: "lease"})
	r.write("the lease of %s has ended", runner)
}

func (r *record) noted(runner, task string, run int, how string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("%s: note is taken of the end %d of %s: %s", runner, number, runName(task, run), how)
}

func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

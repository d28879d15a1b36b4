package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 10 * time.Second // holdMaxMs of the installation
	maxListedEnds     = 500
	lasting           = time.Hour
	stopTime          = 50 * time.Millisecond // below stopTimeoutMs
)

// Interval is one run of a task on a runner.
type Interval struct {
	Runner string
	Life   int
	Task   string
	Run    int
	Start  time.Duration
	End    time.Duration // 0 while it runs
	How    string
}

// RunnerConfig describes a runner.
type RunnerConfig struct {
	ID, App, Control, Zone, Service, Rack string
	CPUMilli, MemoryMiB                   int64
	// FirstHeartbeat is the time from the start of a life to its first check-in.
	FirstHeartbeat time.Duration
}

// Runner is a stand-in for the runner of one machine. It may have several lives.
type Runner struct {
	RunnerConfig
	record *Record

	mu        sync.Mutex
	life      *life
	lives     int
	intervals []*Interval
	needs     map[string]int64 // cpu of a task of the job, by job
	serial    sync.Mutex
}

type life struct {
	number    int
	born      int64
	started   time.Time
	sequence  uint64
	token     uint64
	lease     int64 // on the clock of the life; 0 for none
	running   map[string]*work
	ended     map[string]int // highest run that was stopped or has ended
	ends      []end
	endNumber uint64
	seen      uint64 // highest lastSeen
	server    *http.Server
	changed   chan struct{}
	gone      chan struct{}
}

type work struct {
	interval *Interval
	run      int
	need     int64
	started  time.Time
	length   time.Duration
	timer    *time.Timer
	stopping bool
}

type end struct {
	Number uint64
	Task   string
	Run    int
	How    string
}

// NewRunner returns a runner without a life.
func NewRunner(c RunnerConfig, record *Record) *Runner {
	return &Runner{RunnerConfig: c, record: record, needs: map[string]int64{}}
}

// SetNeed declares the processor time of the tasks of a job, which the calls to a
// runner do not contain.
func (r *Runner) SetNeed(job string, cpuMilli int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.needs[job] = cpuMilli
}

func (l *life) clock() int64 { return time.Since(l.started).Milliseconds() }

// Start begins a life whose start is at born on the clock of the machine.
func (r *Runner) Start(born time.Time) error {
	listener, err := net.Listen("tcp", r.App)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lives++
	l := &life{
		number: r.lives, born: born.UnixMilli(), started: time.Now(), running: map[string]*work{}, ended: map[string]int{},
		changed: make(chan struct{}), gone: make(chan struct{}),
	}
	mux := http.NewServeMux()
	for path, handle := range map[string]func(*life, map[string]any) (int, any){
		"POST /run-start": r.runStart, "POST /run-stop": r.runStop, "POST /hold": r.hold, "POST /pace": r.pace,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) { r.serve(l, w, q, handle) })
	}
	l.server = &http.Server{Handler: mux}
	r.life = l
	r.mu.Unlock()
	r.record.Add("runner %s life %d starts, born %d", r.ID, l.number, l.born)
	go func() { _ = l.server.Serve(listener) }()
	go r.heartbeats(l)
	go r.expire(l)
	return nil
}

// Crash ends the life with everything that it runs.
func (r *Runner) Crash() {
	r.mu.Lock()
	l := r.life
	r.life = nil
	close(l.gone)
	for task, w := range l.running {
		w.timer.Stop()
		w.interval.End, w.interval.How = r.record.Now(), "crash"
		r.record.Add("runner %s life %d run %s#%d ends: crash", r.ID, l.number, task, w.run)
	}
	l.running = map[string]*work{}
	r.mu.Unlock()
	_ = l.server.Close()
	r.record.Add("runner %s life %d crashes", r.ID, l.number)
}

func (r *Runner) serve(l *life, w http.ResponseWriter, q *http.Request, handle func(*life, map[string]any) (int, any)) {
	data, err := io.ReadAll(q.Body)
	var body map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err == nil {
		err = decoder.Decode(&body)
	}
	status, answer := http.StatusBadRequest, any(map[string]any{})
	switch {
	case err != nil:
	case q.Header.Get("Expect-Instance") != "" && q.Header.Get("Expect-Instance") != r.ID:
		status = http.StatusMisdirectedRequest
	default:
		status, answer = handle(l, body)
	}
	select {
	case <-l.gone:
		return
	default:
	}
	encoded, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func number(body map[string]any, field string) int64 {
	n, ok := body[field].(json.Number)
	if !ok {
		return 0
	}
	v, _ := strconv.ParseInt(string(n), 10, 64)
	return v
}

func text(body map[string]any, field string) string { s, _ := body[field].(string); return s }

func (l *life) conflict(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": reason, "born": l.born}
}

// fenced reports whether the call has a lower fencing token than an earlier one.
func (l *life) fenced(body map[string]any) bool {
	token := uint64(number(body, "fencingToken"))
	if token < l.token {
		return true
	}
	l.token = token
	return false
}

func (l *life) extend(body map[string]any) {
	if until := number(body, "deadlineMs"); until > 0 {
		l.lease = max(l.lease, min(until, l.clock()+holdMax.Milliseconds()))
	}
}

func (r *Runner) runStart(l *life, body map[string]any) (int, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task, run := text(body, "task"), int(number(body, "run"))
	if l.fenced(body) {
		r.record.Add("runner %s life %d start %s#%d: fence", r.ID, l.number, task, run)
		return l.conflict("fence")
	}
	if w := l.running[task]; w != nil && w.run == run {
		l.extend(body)
		return http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born}
	}
	reason := ""
	need := r.needs[strings.SplitN(task, ".", 2)[0]]
	switch {
	case number(body, "deadlineMs") <= l.clock():
		reason = "late"
	case run <= l.ended[task] || l.running[task] != nil:
		reason = "old"
	case l.used()+need > r.CPUMilli:
		reason = "room"
	}
	if reason != "late" {
		l.extend(body)
	}
	if reason != "" {
		r.record.Add("runner %s life %d start %s#%d: %s", r.ID, l.number, task, run, reason)
		return l.conflict(reason)
	}
	length, how := workOf(text(body, "spec"))
	w := &work{run: run, need: need, started: time.Now(), length: length,
		interval: &Interval{Runner: r.ID, Life: l.number, Task: task, Run: run, Start: r.record.Now()}}
	r.intervals = append(r.intervals, w.interval)
	l.running[task] = w
	w.timer = time.AfterFunc(length, func() { r.finish(l, task, w, how) })
	r.record.Add("runner %s life %d run %s#%d starts, token %d, deadlineMs %d at clock %d", r.ID, l.number, task, run, l.token, number(body, "deadlineMs"), l.clock())
	return http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born}
}

// workOf reads the text of a submission: "work=MS" is done after that time, "fail=MS"
// fails after it, and anything else lasts.
func workOf(spec string) (time.Duration, string) {
	kind, value, _ := strings.Cut(spec, "=")
	millis, err := strconv.Atoi(value)
	switch {
	case err == nil && kind == "work":
		return time.Duration(millis) * time.Millisecond, "done"
	case err == nil && kind == "fail":
		return time.Duration(millis) * time.Millisecond, "failed"
	}
	return lasting, "done"
}

func (l *life) used() int64 {
	var sum int64
	for _, w := range l.running {
		sum += w.need
	}
	return sum
}

func (r *Runner) finish(l *life, task string, w *work, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLocked(l, task, w, how)
}

func (r *Runner) finishLocked(l *life, task string, w *work, how string) {
	if l.running[task] != w {
		return
	}
	w.timer.Stop()
	delete(l.running, task)
	l.ended[task] = max(l.ended[task], w.run)
	l.endNumber++
	l.ends = append(l.ends, end{l.endNumber, task, w.run, how})
	w.interval.End, w.interval.How = r.record.Now(), how
	r.record.Add("runner %s life %d run %s#%d ends: %s, number %d", r.ID, l.number, task, w.run, how, l.endNumber)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (r *Runner) runStop(l *life, body map[string]any) (int, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task, run := text(body, "task"), int(number(body, "run"))
	if l.fenced(body) {
		return l.conflict("fence")
	}
	r.record.Add("runner %s life %d stop %s#%d", r.ID, l.number, task, run)
	if w := l.running[task]; w != nil && w.run == run && !w.stopping {
		w.stopping = true
		w.timer.Stop()
		w.timer = time.AfterFunc(stopTime, func() { r.finish(l, task, w, "stopped") })
	}
	l.ended[task] = max(l.ended[task], run)
	return http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born}
}

func (r *Runner) pace(l *life, body map[string]any) (int, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.fenced(body) {
		return l.conflict("fence")
	}
	return http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born}
}

func (r *Runner) hold(l *life, body map[string]any) (int, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.fenced(body) {
		return l.conflict("fence")
	}
	before := l.lease
	l.extend(body)
	if l.lease > before && l.lease-l.clock() > 4000 {
		r.record.Add("runner %s life %d hold: deadlineMs %d at clock %d, lease of %d ms", r.ID, l.number, number(body, "deadlineMs"), l.clock(), l.lease-l.clock())
	}
	l.seen = max(l.seen, uint64(number(body, "lastSeen")))
	for len(l.ends) > 0 && l.ends[0].Number <= l.seen {
		l.ends = l.ends[1:]
	}
	if wait := min(number(body, "waitMs"), 2000); wait > 0 && len(l.ends) == 0 {
		changed := l.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-l.gone:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, w := range l.running {
		percent := min(99, int(100*time.Since(w.started)/w.length))
		if w.length == lasting {
			percent = 100
		}
		running = append(running, []any{task, w.run, "", percent, 100})
	}
	for _, e := range l.ends[:min(len(l.ends), maxListedEnds)] {
		ended = append(ended, []any{e.Number, e.Task, e.Run, e.How, ""})
	}
	return http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born, "running": running, "endedRuns": ended}
}

// expire ends everything when the lease has expired.
func (r *Runner) expire(l *life) {
	for {
		select {
		case <-l.gone:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r.mu.Lock()
		if l.clock() >= l.lease {
			for task, w := range l.running {
				r.finishLocked(l, task, w, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

func (r *Runner) heartbeats(l *life) {
	wait := r.FirstHeartbeat
	for {
		select {
		case <-l.gone:
			return
		case <-time.After(wait):
		}
		wait = heartbeatInterval
		r.heartbeat(l)
	}
}

func (r *Runner) heartbeat(l *life) {
	r.mu.Lock()
	l.sequence++
	body := map[string]any{
		"service": r.Service, "address": r.App, "zone": r.Zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": r.CPUMilli, "memMb": r.MemoryMiB, "gpu": 0}, "labels": []string{"a", r.Rack},
		"clockMs": l.clock(), "sequence": l.sequence, "born": l.born,
	}
	r.mu.Unlock()
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+r.Control+"/instances/"+r.ID+"/heartbeat", "application/json", bytes.NewReader(data))
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// Intervals returns the runs so far.
func (r *Runner) Intervals() []Interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Interval, 0, len(r.intervals))
	for _, i := range r.intervals {
		list = append(list, *i)
	}
	return list
}

// Ends returns how many ends the current life has listed and how many of them were
// taken note of.
func (r *Runner) Ends() (listed, noted uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life.endNumber, min(r.life.seen, r.life.endNumber)
}

func (i Interval) String() string {
	return fmt.Sprintf("%s#%d on %s life %d, %.3f s to %.3f s (%s)", i.Task, i.Run, i.Runner, i.Life, i.Start.Seconds(), i.End.Seconds(), i.How)
}

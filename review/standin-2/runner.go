package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of oys-hire. A case with those of another site sets them first.
var (
	holdMax       = 6 * time.Second // holdMaxMs
	cores   int64 = 32000           // of a runner, in thousandths
)

const (
	stopTime    = 200 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	beatTimeout = time.Second
	maxEnds     = 500 // that a response lists
)

type runKey struct {
	task string
	run  int
}

// activeRun is a run that the runner executes.
type activeRun struct {
	cpu     int64
	fails   bool
	endAt   time.Time // zero: until it is stopped
	stopped time.Time // when it ends because of a stop; zero: not stopped
	began   time.Time
	percent int
}

// ended is a run that has ended, with its row of the list.
type ended struct {
	number    int
	task, how string
	at        time.Time
	row       []any
}

// runner is a stand-in for a runner, as the pages describe it. It may crash and start
// again.
type runner struct {
	w       *world
	machine *machine
	rack    string
	cut     *cut // nil unless a partition may separate it from its machine

	mu       sync.Mutex
	kind     string
	id       string
	born     int64
	cpu      int64
	up       bool
	server   *http.Server
	stop     context.CancelFunc
	sequence int
	started  time.Time
	lease    time.Time
	token    uint64
	running  map[runKey]*activeRun
	highest  map[string]int // highest run of each task that was stopped or ended
	ends     []ended
	endCount int
	endSeen  chan struct{}
	beats    int // check-ins that were answered in this life

	beatFailed chan struct{}        // a check-in had no answer
	lapsedAt   time.Time            // when the lease was last seen to have lapsed
	noted      map[string]time.Time // when tasks ended done, for ends that were taken note of
	lastEnd    map[string]time.Time // when the latest run of each task ended
}

func newRunner(w *world, m *machine, kind, rack string) *runner {
	return &runner{w: w, machine: m, kind: kind, rack: rack, cpu: cores, beatFailed: make(chan struct{}, 1), noted: map[string]time.Time{}, lastEnd: map[string]time.Time{}, id: fmt.Sprintf("i-%02d%06x", len(w.runners), rand.Uint32N(1<<24))}
}

// spec is what this stand-in expects in the spec of a submission: how long a task
// works (0: until it is stopped), what it needs, and whether it can be done.
type spec struct {
	Ms   int64 `json:"ms"`
	CPU  int64 `json:"cpu"`
	Fail bool  `json:"fail,omitempty"` // the task fails once it has worked for ms

	// FailBelow is for steps that last: their tasks with a lower index fail after 200 ms.
	FailBelow int `json:"failBelow,omitempty"`
}

// start begins a life of the runner. Its first check-in follows at once.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.machine.addr(appPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.runStart))
	mux.HandleFunc("POST /run-stop", r.handle(r.runStop))
	mux.HandleFunc("POST /pace", r.handle(r.setPace))
	mux.HandleFunc("POST /hold", r.hold)
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.born, r.started, r.up = time.Now().UnixMilli(), time.Now(), true
	r.sequence, r.endCount, r.token, r.beats = 0, 0, 0, 0
	r.lease = time.Time{}
	r.running, r.highest, r.ends, r.endSeen = map[runKey]*activeRun{}, map[string]int{}, nil, make(chan struct{})
	r.server = &http.Server{Handler: mux}
	r.stop = cancel
	server := r.server
	r.mu.Unlock()
	r.w.record("runner %s starts: id %s, born %d, kind %s", r.machine.name, r.id, r.born, r.kind)
	go func() { _ = server.Serve(listener) }()
	go r.checkIn(ctx)
	go r.work(ctx)
	return nil
}

// crash ends the life of the runner.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	server, stop := r.server, r.stop
	for k := range r.running {
		r.w.record("runner %s: %s#%d is gone with the runner", r.machine.name, k.task, k.run)
	}
	r.running = map[runKey]*activeRun{}
	r.mu.Unlock()
	stop()
	_ = server.Close()
	r.w.record("runner %s crashes", r.machine.name)
}

// clock is the runner's steady clock in milliseconds. The caller holds mu.
func (r *runner) clock() int64 { return time.Since(r.started).Milliseconds() }

func (r *runner) checkIn(ctx context.Context) {
	client := &http.Client{Timeout: beatTimeout, Transport: &http.Transport{}}
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		r.sequence++
		body := map[string]any{
			"service": "svc", "address": r.machine.addr(appPort), "zone": r.machine.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": r.cpu, "memMb": 128000, "gpu": 0}, "labels": []string{r.kind, r.rack},
			"clockMs": r.clock(), "sequence": r.sequence, "born": r.born,
		}
		id := r.id
		r.mu.Unlock()
		to := r.machine.addr(controlPort)
		if r.cut != nil {
			to = r.machine.addr(cutBeatPort)
		}
		data, _ := json.Marshal(body)
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/instances/"+id+"/heartbeat", bytes.NewReader(data))
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				r.mu.Lock()
				r.beats++
				first := r.beats == 1
				r.mu.Unlock()
				if first {
					r.w.record("runner %s: first check-in of this life is answered", r.machine.name)
				}
			}
		} else if ctx.Err() == nil {
			r.w.record("runner %s: no answer to a check-in", r.machine.name)
			client.CloseIdleConnections()
			select {
			case r.beatFailed <- struct{}{}:
			default:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// work ends the runs whose time has come, and all of them when the lease expires.
func (r *runner) work(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		now := time.Now()
		if !r.lease.After(now) {
			r.lapsedAt = now
		}
		for k, a := range r.running {
			if a.endAt.IsZero() {
				a.percent = 100
			} else if total := a.endAt.Sub(a.began); total > 0 {
				a.percent = int(min(99, 100*now.Sub(a.began)/total))
			}
			switch {
			case !r.lease.After(now):
				r.end(k, "lapsed")
			case !a.stopped.IsZero() && !now.Before(a.stopped):
				r.end(k, "stopped")
			case !a.endAt.IsZero() && !now.Before(a.endAt) && a.fails:
				r.end(k, "failed")
			case !a.endAt.IsZero() && !now.Before(a.endAt):
				r.end(k, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (r *runner) end(k runKey, how string) {
	delete(r.running, k)
	r.highest[k.task] = max(r.highest[k.task], k.run)
	r.endCount++
	r.lastEnd[k.task] = time.Now()
	r.ends = append(r.ends, ended{r.endCount, k.task, how, time.Now(), []any{r.endCount, k.task, k.run, how, ""}})
	close(r.endSeen)
	r.endSeen = make(chan struct{})
	r.w.record("runner %s: %s#%d ends %s", r.machine.name, k.task, k.run, how)
}

// call is the body of all calls to a runner.
type call struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	Spec       string  `json:"spec"`
	DeadlineMs *int64  `json:"deadlineMs"`
	Token      *uint64 `json:"fencingToken"`
	LastSeen   int     `json:"lastSeen"`
	WaitMs     int64   `json:"waitMs"`
}

// admit checks the incarnation and the generation number, and takes the lease. The
// caller holds mu. It returns false after it has answered.
func (r *runner) admit(w http.ResponseWriter, q *http.Request, c *call) bool {
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	token := uint64(0)
	if c.Token != nil {
		token = *c.Token
	}
	if token < r.token {
		r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	r.token = token
	if c.DeadlineMs != nil {
		until := r.started.Add(time.Duration(*c.DeadlineMs) * time.Millisecond)
		if longest := time.Now().Add(holdMax); until.After(longest) {
			until = longest
		}
		if until.After(r.lease) {
			r.lease = until
		}
	}
	return true
}

func (r *runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = r.clock(), r.born
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (r *runner) handle(do func(http.ResponseWriter, *call)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var c call
		if json.NewDecoder(q.Body).Decode(&c) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.up {
			panic(http.ErrAbortHandler)
		}
		if r.admit(w, q, &c) {
			do(w, &c)
		}
	}
}

func (r *runner) runStart(w http.ResponseWriter, c *call) {
	k := runKey{c.Task, c.Run}
	var s spec
	used := int64(0)
	for other, a := range r.running {
		used += a.cpu
		if other.task == c.Task && other.run > c.Run {
			r.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
			return
		}
	}
	switch {
	case r.running[k] != nil:
		r.answer(w, http.StatusOK, map[string]any{})
	case c.Run <= r.highest[c.Task]:
		r.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
	case !r.lease.After(time.Now()):
		r.answer(w, http.StatusConflict, map[string]any{"reason": "late"})
	case json.Unmarshal([]byte(c.Spec), &s) != nil:
		w.WriteHeader(http.StatusBadRequest)
	case used+s.CPU > r.cpu:
		r.answer(w, http.StatusConflict, map[string]any{"reason": "room"})
	default:
		a := &activeRun{cpu: s.CPU, fails: s.Fail, began: time.Now()}
		if s.Ms > 0 {
			a.endAt = a.began.Add(time.Duration(s.Ms) * time.Millisecond)
		}
		if index := c.Task[strings.LastIndexByte(c.Task, '.')+1:]; s.FailBelow > 0 && atoi(index) < s.FailBelow {
			a.fails, a.endAt = true, a.began.Add(200*time.Millisecond)
		}
		r.running[k] = a
		r.w.noteStart(r, k)
		r.answer(w, http.StatusOK, map[string]any{})
	}
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func (r *runner) runStop(w http.ResponseWriter, c *call) {
	if a := r.running[runKey{c.Task, c.Run}]; a != nil && a.stopped.IsZero() {
		a.stopped = time.Now().Add(stopTime)
	} else if a == nil {
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	}
	r.answer(w, http.StatusOK, map[string]any{})
}

func (r *runner) setPace(w http.ResponseWriter, _ *call) {
	r.answer(w, http.StatusOK, map[string]any{})
}

// forget drops the ends up to a number, which are taken note of. The caller holds mu.
func (r *runner) forget(lastSeen int) {
	for len(r.ends) > 0 && r.ends[0].number <= lastSeen {
		if e := r.ends[0]; e.how == "done" && e.at.After(r.lapsedAt) {
			if _, known := r.noted[e.task]; !known {
				r.noted[e.task] = e.at
			}
		}
		r.ends = r.ends[1:]
	}
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	var c call
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		panic(http.ErrAbortHandler)
	}
	if !r.admit(w, q, &c) {
		return
	}
	r.forget(c.LastSeen)
	if len(r.ends) == 0 && c.WaitMs > 0 {
		seen := r.endSeen
		r.mu.Unlock()
		select {
		case <-seen:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		case <-q.Context().Done():
		}
		r.mu.Lock()
		if !r.up {
			panic(http.ErrAbortHandler)
		}
	}
	rows := [][]any{}
	for k, a := range r.running {
		rows = append(rows, []any{k.task, k.run, "", a.percent, 1})
	}
	ends := [][]any{}
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		ends = append(ends, e.row)
	}
	r.answer(w, http.StatusOK, map[string]any{"running": rows, "endedRuns": ends})
}

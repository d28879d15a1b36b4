package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageOfEnds is how many ended runs a runner returns at a time.
const pageOfEnds = 500

// activeRun is a run that is present on a runner.
type activeRun struct {
	task  string
	run   int
	begun time.Time
	work  time.Duration // 0 for a task that lasts
	need  need
	timer *time.Timer
}

type need struct{ cpu, mem int64 }

// endRow is a row of endedRuns.
type endRow struct {
	n    int
	task string
	run  int
	how  string
}

// runner is a stand-in for one runner, as the pages describe it: it guards its capacity,
// keeps the highest generation number, kills all runs when its lease ends, and lists the
// ends beyond lastSeen, 500 at a time. All fields below mu are guarded by it.
type runner struct {
	id, rack, zone, service string
	address, agent          string
	room                    need
	kind                    string // its label
	workOf                  func(task string) time.Duration
	needOf                  func(task string) need
	record                  *record
	holdMax                 int64 // longest lease in ms

	born time.Time

	mu        sync.Mutex
	active    map[string]*activeRun
	used      need
	ends      []endRow
	lastEnd   int
	fence     uint64
	deadline  int64
	highest   map[string]int // by task, the highest run that ended or was stopped here
	changed   chan struct{}
	lapsed    bool
	unhealthy bool
	down      bool
	life      int
	sequence  int
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// start serves the agent of this machine and sends check-ins until ctx ends.
func (r *runner) start(ctx context.Context) error {
	r.born, r.active, r.highest = time.Now(), map[string]*activeRun{}, map[string]int{}
	r.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.checked(r.serveStart))
	mux.HandleFunc("POST /run-stop", r.checked(r.serveStop))
	mux.HandleFunc("POST /hold", r.checked(r.serveHold))
	mux.HandleFunc("POST /pace", r.checked(r.servePace))
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	go r.beat(ctx)
	go r.watchLease(ctx)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// call holds the fields of all calls to a runner.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Token    uint64 `json:"fencingToken"`
	Deadline int64  `json:"deadlineMs"`
	LastSeen int    `json:"lastSeen"`
	WaitMS   int64  `json:"waitMs"`
	life     int    // of the runner that the call has reached
}

// checked decodes a call and answers 421 for another incarnation.
func (r *runner) checked(next func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var c call
		if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		life, down := r.life, r.down
		r.mu.Unlock()
		if down {
			silence(q)
		}
		c.life = life
		if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
			r.answer(w, http.StatusMisdirectedRequest, nil)
			return
		}
		next(w, q, c)
	}
}

// silence leaves a call without an answer.
func silence(q *http.Request) {
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

func (r *runner) answer(w http.ResponseWriter, status int, fields map[string]any) {
	body := map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli()}
	for name, value := range fields {
		body[name] = value
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// isFenced keeps the highest generation number. It must be called with mu held.
func (r *runner) isFenced(token uint64) bool {
	if token < r.fence {
		return true
	}
	r.fence = token
	return false
}

// extend extends the lease, which is never shortened, to holdMax at most. It must be called
// with mu held.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+r.holdMax))
}

// startReason returns why a start is rejected, or "". It must be called with mu held.
func (r *runner) startReason(c call) string {
	if r.isFenced(c.Token) {
		return "fence"
	}
	if c.Deadline <= r.clock() {
		return "late"
	}
	r.extend(c.Deadline)
	if c.Run <= r.highest[c.Task] {
		return "old"
	}
	if a := r.active[c.Task]; a != nil && a.run != c.Run {
		return "old"
	}
	n := r.needOf(c.Task)
	if r.active[c.Task] == nil && (r.used.cpu+n.cpu > r.room.cpu || r.used.mem+n.mem > r.room.mem) {
		return "room"
	}
	return ""
}

func (r *runner) serveStart(w http.ResponseWriter, _ *http.Request, c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unhealthy {
		r.record.add("%s rejects start of %s#%d: unhealthy", r.id, c.Task, c.Run)
		r.answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	if reason := r.startReason(c); reason != "" {
		r.record.add("%s rejects start of %s#%d: %s", r.id, c.Task, c.Run, reason)
		r.answer(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	if r.active[c.Task] == nil {
		r.begin(c)
	}
	r.answer(w, http.StatusOK, nil)
}

func (r *runner) begin(c call) {
	a := &activeRun{task: c.Task, run: c.Run, begun: time.Now(), work: r.workOf(c.Task), need: r.needOf(c.Task)}
	r.active[c.Task] = a
	r.used.cpu, r.used.mem = r.used.cpu+a.need.cpu, r.used.mem+a.need.mem
	r.record.begun(r.id, r.kind, c.Task, c.Run)
	if a.work > 0 {
		a.timer = time.AfterFunc(a.work, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.active[a.task] == a {
				r.end(a, "done")
			}
		})
	}
}

// end lists the end of a run. It must be called with mu held.
func (r *runner) end(a *activeRun, how string) {
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(r.active, a.task)
	r.used.cpu, r.used.mem = r.used.cpu-a.need.cpu, r.used.mem-a.need.mem
	r.highest[a.task] = max(r.highest[a.task], a.run)
	r.lastEnd++
	r.ends = append(r.ends, endRow{r.lastEnd, a.task, a.run, how})
	r.record.ended(r.id, a.task, a.run, how, r.lastEnd)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) serveStop(w http.ResponseWriter, _ *http.Request, c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isFenced(c.Token) {
		r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	if a := r.active[c.Task]; a != nil && a.run == c.Run {
		r.end(a, "stopped")
	}
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	r.answer(w, http.StatusOK, nil)
}

func (r *runner) servePace(w http.ResponseWriter, _ *http.Request, _ call) {
	r.answer(w, http.StatusOK, nil)
}

func (r *runner) serveHold(w http.ResponseWriter, q *http.Request, c call) {
	r.mu.Lock()
	if r.isFenced(c.Token) {
		r.mu.Unlock()
		r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.extend(c.Deadline)
	r.forget(c.LastSeen)
	until := time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	for waiting := c.WaitMS > 0; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		}
		r.mu.Lock()
	}
	if r.down || r.life != c.life {
		r.mu.Unlock()
		silence(q)
	}
	fields := r.lists()
	r.mu.Unlock()
	r.answer(w, http.StatusOK, fields)
}

// forget drops the ends up to lastSeen, of which the caller thereby takes note.
func (r *runner) forget(lastSeen int) {
	r.ends = slices.DeleteFunc(r.ends, func(e endRow) bool {
		if e.n <= lastSeen {
			r.record.noted(r.id, e.task, e.run, e.how, e.n)
		}
		return e.n <= lastSeen
	})
}

func (r *runner) lists() map[string]any {
	running, ended := []any{}, []any{}
	for _, a := range r.active {
		percent := 100
		if a.work > 0 {
			percent = min(99, int(100*time.Since(a.begun)/a.work))
		}
		running = append(running, []any{a.task, a.run, "", percent, a.need.cpu})
	}
	for _, e := range r.ends[:min(len(r.ends), pageOfEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"running": running, "endedRuns": ended}
}

// watchLease kills everything when the lease ends.
func (r *runner) watchLease(ctx context.Context) {
	for tick := time.NewTicker(10 * time.Millisecond); ctx.Err() == nil; <-tick.C {
		r.mu.Lock()
		late := r.clock() > r.deadline
		if late && !r.lapsed {
			r.record.lapsed(r.id)
			for _, a := range r.active {
				r.end(a, "lapsed")
			}
		}
		r.lapsed = late
		r.mu.Unlock()
	}
}

// beat sends check-ins to the agent.
func (r *runner) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		r.mu.Lock()
		silent := r.down
		kind := r.kind
		r.sequence++
		r.mu.Unlock()
		if silent {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":%d,"memMb":%d,"gpu":0},"labels":[%q,%q],"clockMs":%d,"sequence":%d,"born":%d}`,
			r.service, r.address, r.zone, r.room.cpu, r.room.mem, kind, r.rack, r.clock(), r.sequence, r.born.UnixMilli())
		response, err := client.Post("http://"+r.agent+"/instances/"+r.id+"/heartbeat", "application/json", strings.NewReader(body))
		wait := 300 * time.Millisecond
		r.record.add("%s checks in as kind %s: %t", r.id, kind, err == nil)
		if err == nil {
			_ = response.Body.Close()
			wait = 1500 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (r *runner) setUnhealthy(unhealthy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhealthy = unhealthy
}

// crash ends the life of the runner, silently: calls get no answer any more. After down it
// serves again under the same id.
func (r *runner) crash(down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.add("%s crashes", r.id)
	r.down = true
	for _, a := range r.active {
		if a.timer != nil {
			a.timer.Stop()
		}
		r.record.ended(r.id, a.task, a.run, "crash", 0)
	}
	r.active, r.used = map[string]*activeRun{}, need{}
	time.AfterFunc(down, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.born, r.highest, r.ends, r.lastEnd, r.fence, r.deadline, r.sequence = time.Now(), map[string]int{}, nil, 0, 0, 0, 0
		r.down = false
		r.life++
		r.record.add("%s starts again", r.id)
	})
}

func runName(task string, run int) string { return task + "#" + strconv.Itoa(run) }

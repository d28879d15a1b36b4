package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	targetCPUMilli     = 16_000 // thousandths of a core
	heartbeatInterval  = 300 * time.Millisecond
	maxLease           = 8 * time.Second
	checkpointInterval = 100 * time.Millisecond
	maxRunTime         = 600 * time.Millisecond
	failShare          = 0.05
)

// taskRun is a run of a task on a target.
type taskRun struct {
	task       string
	run        int
	startedAt  time.Time
	endsAt     time.Time // zero for a long-running task
	willFail   bool
	checkpoint string
}

// endRecord is an entry of the list of ended runs.
type endRecord struct {
	number     uint64
	task       string
	run        int
	outcome    string
	checkpoint string
	// lapsed is set when the lease expired after the end. The end then counts as not
	// taken note of, whatever is acknowledged later.
	lapsed bool
}

// target is a stand-in for the platform's target. It runs tasks under a lease,
// rejects orders with an outdated fencing token, and lists ended runs until they
// are acknowledged.
type target struct {
	ip     string // listen address
	agent  string // address to which it announces itself
	oracle *oracle
	server *http.Server

	mu         sync.Mutex
	id         string
	born       int64
	sequence   uint64
	token      uint64
	leaseEnd   time.Time
	running    map[string]*taskRun
	highestRun map[string]int // by task: highest run that was started or stopped
	ends       []endRecord
	lastEnd    uint64
	changed    chan struct{}
	lateShare  float64 // share of orders that are executed late and get no response
	random     *rand.Rand
	stopped    chan struct{}
}

func newTarget(ip, agent string, o *oracle, seed uint64) (*target, error) {
	t := &target{ip: ip, agent: agent, oracle: o, random: rand.New(rand.NewPCG(seed, 7)), stopped: make(chan struct{})}
	t.startIncarnation()
	socket, err := net.Listen("tcp", ip+":8080")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", t.handleOrder(t.start))
	mux.HandleFunc("POST /run-stop", t.handleOrder(t.stop))
	mux.HandleFunc("POST /pace", t.handleOrder(func(request) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", t.hold)
	t.server = &http.Server{Handler: mux}
	go func() { _ = t.server.Serve(socket) }()
	go t.sendHeartbeats()
	return t, nil
}

// startIncarnation begins a new incarnation with empty state.
func (t *target) startIncarnation() {
	t.id, t.born = "i-"+t.ip, time.Now().UnixMilli()
	t.sequence, t.token, t.lastEnd, t.leaseEnd = 0, 0, 0, time.Time{}
	t.running, t.highestRun, t.ends = map[string]*taskRun{}, map[string]int{}, nil
	t.changed = make(chan struct{})
}

// crash ends all runs without a record and begins a new incarnation.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.running {
		t.oracle.recordStopped(t.ip, w)
	}
	close(t.changed)
	time.Sleep(2 * time.Millisecond) // incarnations are told apart by their start time in milliseconds
	t.startIncarnation()
}

func (t *target) close() {
	close(t.stopped)
	_ = t.server.Close()
}

func (t *target) setLateShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateShare = share
}

func (t *target) clock() int64 { return time.Now().UnixMilli() - t.born }

// sendHeartbeats announces the target periodically and advances its runs.
func (t *target) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	var announced time.Time
	for {
		select {
		case <-t.stopped:
			return
		case <-ticker.C:
		}
		t.mu.Lock()
		t.advance(time.Now())
		t.sequence++
		path := fmt.Sprintf("http://%s/instances/%s/heartbeat", t.agent, t.id)
		body := fmt.Sprintf(`{"service":"s","address":"%s:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,`+
			`"capacity":{"cpu":%d,"memMb":65536,"gpu":0},"labels":["a","r1"],"clockMs":%d,"sequence":%d,"born":%d}`,
			t.ip, targetCPUMilli, t.clock(), t.sequence, t.born)
		t.mu.Unlock()
		if time.Since(announced) < heartbeatInterval {
			continue
		}
		announced = time.Now()
		if r, err := client.Post(path, "application/json", strings.NewReader(body)); err == nil {
			_ = r.Body.Close()
		}
	}
}

// advance ends the runs that are complete and, once the lease has expired, all
// runs.
func (t *target) advance(now time.Time) {
	if now.After(t.leaseEnd) {
		for i := range t.ends {
			t.ends[i].lapsed = true
		}
	}
	for _, w := range t.running {
		switch {
		case now.After(t.leaseEnd):
			t.end(w, "lapsed")
		case !w.endsAt.IsZero() && now.After(w.endsAt) && w.willFail:
			t.end(w, "failed")
		case !w.endsAt.IsZero() && now.After(w.endsAt):
			t.end(w, "done")
		default:
			w.checkpoint = fmt.Sprintf("%x", now.Sub(w.startedAt)/checkpointInterval)
		}
	}
}

func (t *target) end(w *taskRun, outcome string) {
	delete(t.running, w.task)
	t.lastEnd++
	t.ends = append(t.ends, endRecord{number: t.lastEnd, task: w.task, run: w.run, outcome: outcome, checkpoint: w.checkpoint})
	t.oracle.recordEnd(t.ip, w, outcome)
	close(t.changed)
	t.changed = make(chan struct{})
}

// request is the body of an order.
type request struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"lastCheckpoint"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

func (t *target) decode(w http.ResponseWriter, r *http.Request) (request, bool) {
	var q request
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &q)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return q, false
	}
	t.mu.Lock()
	expected := r.Header.Get("Expect-Instance") == t.id
	t.mu.Unlock()
	if !expected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return q, false
	}
	return q, true
}

// handleOrder returns a handler that executes an order at once, or, for a random
// share of orders, later and without a response.
func (t *target) handleOrder(execute func(request) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, ok := t.decode(w, r)
		if !ok {
			return
		}
		t.mu.Lock()
		if t.random.Float64() < t.lateShare {
			born, after := t.born, time.Duration(500+t.random.IntN(3000))*time.Millisecond
			t.mu.Unlock()
			go func() {
				time.Sleep(after)
				t.mu.Lock()
				defer t.mu.Unlock()
				if t.born == born {
					t.executeOrder(q, execute)
				}
			}()
			<-r.Context().Done()
			return
		}
		status, reason := t.executeOrder(q, execute)
		clock := t.clock()
		t.mu.Unlock()
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"clockMs":%d,"reason":%q}`, clock, reason)
	}
}

func (t *target) executeOrder(q request, execute func(request) (int, string)) (int, string) {
	t.advance(time.Now())
	if q.Token < t.token {
		return http.StatusConflict, "fence"
	}
	t.token = q.Token
	return execute(q)
}

// renew extends the lease but never shortens it.
func (t *target) renew(q request) {
	if q.DeadlineMS == 0 {
		return
	}
	until := time.UnixMilli(t.born + q.DeadlineMS)
	if latest := time.Now().Add(maxLease); until.After(latest) {
		until = latest
	}
	if until.After(t.leaseEnd) {
		t.leaseEnd = until
	}
}

func (t *target) start(q request) (int, string) {
	now := time.Now()
	if w := t.running[q.Task]; w != nil && w.run == q.Run {
		return http.StatusOK, ""
	}
	t.renew(q)
	switch {
	case q.Run <= t.highestRun[q.Task]:
		return http.StatusConflict, "old"
	case t.clock() >= q.DeadlineMS:
		return http.StatusConflict, "late"
	case len(t.running) >= targetCPUMilli/1000:
		return http.StatusConflict, "room"
	}
	w := &taskRun{task: q.Task, run: q.Run, startedAt: now, checkpoint: q.Checkpoint}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s#%d", q.Task, q.Run)
	runRandom := rand.New(rand.NewPCG(h.Sum64(), 1))
	if q.Payload != lastingPayload {
		w.endsAt = now.Add(time.Duration(runRandom.Int64N(int64(maxRunTime))))
		w.willFail = runRandom.Float64() < failShare
	}
	t.highestRun[q.Task] = q.Run
	t.running[q.Task] = w
	t.oracle.checkStart(t.ip, w, q.Payload)
	return http.StatusOK, ""
}

func (t *target) stop(q request) (int, string) {
	t.highestRun[q.Task] = max(t.highestRun[q.Task], q.Run)
	if w := t.running[q.Task]; w != nil && w.run <= q.Run {
		t.end(w, "stopped")
	}
	return http.StatusOK, ""
}

// hold renews the lease and responds with the runs in progress and the ended ones.
func (t *target) hold(w http.ResponseWriter, r *http.Request) {
	q, ok := t.decode(w, r)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if status, reason := t.executeOrder(q, func(q request) (int, string) { t.renew(q); return http.StatusOK, "" }); status != http.StatusOK {
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"clockMs":%d,"reason":%q}`, t.clock(), reason)
		return
	}
	for len(t.ends) > 0 && t.ends[0].number <= q.LastSeen {
		t.oracle.recordAcknowledged(t.ends[0])
		t.ends = t.ends[1:]
	}
	if len(t.ends) == 0 && q.WaitMS > 0 {
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(q.WaitMS) * time.Millisecond):
		}
		t.mu.Lock()
	}
	t.advance(time.Now())
	answer := map[string]any{"clockMs": t.clock(), "born": t.born, "running": [][]any{}, "endedRuns": [][]any{}}
	rows := [][]any{}
	for _, x := range t.running {
		rows = append(rows, []any{x.task, x.run, x.checkpoint, 100, 1000})
	}
	answer["running"] = rows
	rows = [][]any{}
	for _, e := range t.ends {
		rows = append(rows, []any{e.number, e.task, e.run, e.outcome, e.checkpoint})
	}
	answer["endedRuns"] = rows
	_ = json.NewEncoder(w).Encode(answer)
}

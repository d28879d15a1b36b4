package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host       = "svc.example"
	timeBudget = 3 * time.Second // of the clients
)

// started is a start that a runner has carried out.
type started struct {
	runner *runner
	kind   string // of the runner at that time
	born   int64
	key    runKey
	at     time.Time
}

var (
	startsMu sync.Mutex
	starts   []started
)

// noteStart is called by a runner that has begun a run. The caller holds its mu.
func (w *world) noteStart(r *runner, k runKey) {
	startsMu.Lock()
	starts = append(starts, started{r, r.kind, r.born, k, time.Now()})
	startsMu.Unlock()
	w.record("runner %s (kind %s) starts %s#%d", r.machine.name, r.kind, k.task, k.run)
}

// startsOf returns the starts of the tasks of a submission.
func startsOf(id string) []started {
	startsMu.Lock()
	defer startsMu.Unlock()
	var list []started
	for _, s := range starts {
		if strings.HasPrefix(s.key.task, id+".") {
			list = append(list, s)
		}
	}
	return list
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request on a channel of its own. The status is 0 without a response.
func send(timeout time.Duration, method, to, path string, body any) (int, http.Header, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+to+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	client := http.Client{
		Timeout:       timeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, response.Header, content
}

// request is a call of a client at a front machine, which it records.
func (w *world) request(m *machine, method, path string, body any) (int, []byte) {
	w.record("client: %s %s at %s", method, path, m.name)
	status, _, content := send(timeBudget, method, m.addr(frontPort), path, body)
	w.record("client: %s %s at %s is answered %d %s", method, path, m.name, status, strings.TrimSpace(string(content)))
	return status, content
}

// step is a step of a submission.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMb        int64  `json:"memMb"`
	EstimateMs   int64  `json:"estimateMs,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// submission returns the body of a submission with one step. A task works for ms.
func submission(ms int64, s step) map[string]any {
	text, _ := json.Marshal(spec{Ms: ms, CPU: s.CPU})
	s.MemMb, s.EstimateMs = 100, ms
	return map[string]any{"spec": string(text), "steps": []step{s}}
}

// hopeless returns the body of a submission whose tasks all fail after ms.
func hopeless(ms int64, s step) map[string]any {
	body := submission(ms, s)
	text, _ := json.Marshal(spec{Ms: ms, CPU: s.CPU, Fail: true})
	body["spec"] = string(text)
	return body
}

// putManifest sends a manifest with the queues until it is acknowledged.
func (w *world) putManifest(version int, prefixes ...string) error {
	routes := []map[string]any{}
	for i, prefix := range prefixes {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r%d", i), "hostname": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"sloMs": 1000, "priority": 0, "service": "svc", "maxAttempts": 4, "stretch": 1.5})
	}
	manifest := map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{{"name": "svc", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0, "admissionCheck": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	for i := range 60 {
		to := w.cores[i%len(w.cores)].addr(controlPort)
		for range 3 {
			status, header, _ := send(time.Second, http.MethodPost, to, "/config/put", manifest)
			if status == http.StatusOK {
				w.record("operator: manifest %d with queues %v is acknowledged", version, prefixes)
				return nil
			}
			if status != http.StatusTemporaryRedirect {
				break
			}
			to = strings.TrimSuffix(strings.TrimPrefix(header.Get("Location"), "http://"), "/config/put")
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("manifest %d was not acknowledged", version)
}

// warmUp waits until every runner has been given work, so that the system is known to
// serve: it submits small jobs until as many starts were seen on each runner.
func (w *world) warmUp(prefix string) error {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		id := newID()
		status, _, _ := send(timeBudget, http.MethodPost, w.fronts[0].addr(frontPort), prefix+id, submission(300, step{Count: 4 * len(w.runners), CPU: w.runners[0].cpu / 4}))
		if status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(1200 * time.Millisecond)
		used := map[*runner]bool{}
		for _, s := range startsOf(id) {
			used[s.runner] = true
		}
		if len(used) == len(w.runners) {
			time.Sleep(4 * time.Second) // calm before the case begins
			w.record("warm: all %d runners have worked", len(used))
			return nil
		}
	}
	return fmt.Errorf("the system did not come up")
}

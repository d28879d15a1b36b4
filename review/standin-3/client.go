package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answerOf is an answer to a request. status is 0 without an answer.
type answerOf struct {
	status int
	body   []byte
}

// request sends one request and returns the answer.
func (w *world) request(method, address, path string, body []byte, patience time.Duration) answerOf {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answerOf{}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Deadline", strconv.FormatInt(patience.Milliseconds(), 10))
	client := &http.Client{Timeout: patience}
	response, err := client.Do(request)
	if err != nil {
		return answerOf{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answerOf{}
	}
	return answerOf{response.StatusCode, data}
}

// put has the operator send a manifest until it is confirmed.
func (w *world) put(manifest string) error {
	for try, until := 0, time.Now().Add(30*time.Second); time.Now().Before(until); try++ {
		p := w.cores[try%len(w.cores)]
		a := w.request(http.MethodPost, at(p.ip, w.ports.control), "/config/put", []byte(manifest), time.Second)
		w.record.add("operator sends a manifest to %s: %d", p.name, a.status)
		if a.status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return cannotRun("the manifest was not confirmed")
}

func manifest(version, attempts int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-wrr6x73","hostname":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"sloMs":250,"priority":0,"service":%q,"maxAttempts":%d,"stretch":1.5}],"services":[{"name":%q,"healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"admissionCheck":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, host, prefix, service, attempts, service)
}

type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"memMb"`
	EstimateMS   int64  `json:"estimateMs,omitempty"`
	DependsOn    []int  `json:"dependsOn,omitempty"`
	Lasts        bool   `json:"longRunning,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Image        string `json:"image,omitempty"`
}

type submission struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	StartAtMS   int64  `json:"startAtMs,omitempty"`
	IntervalMS  int64  `json:"intervalMs,omitempty"`
	RepeatCount int    `json:"repeatCount,omitempty"`
}

func idOf(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d9400000+n) }

// submit hands a submission in, again at the other entry after no clear answer, and
// returns the last status.
func (w *world) submit(id string, s submission) int {
	body, err := json.Marshal(s)
	if err != nil {
		return 0
	}
	status := 0
	for try := range 5 {
		p := w.entries[try%len(w.entries)]
		status = w.request(http.MethodPost, at(p.ip, w.ports.front), prefix+id, body, 3*time.Second).status
		w.record.add("client submits %s at %s: %d", id, p.name, status)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// state asks for the state of a submission.
func (w *world) state(id string) (string, int) {
	var body struct {
		State string `json:"state"`
	}
	a := w.request(http.MethodGet, at(w.entries[0].ip, w.ports.front), prefix+id, nil, 3*time.Second)
	_ = json.Unmarshal(a.body, &body)
	w.record.add("client asks for %s: %d %s", id, a.status, body.State)
	return body.State, a.status
}

// waiting asks an entry process for the number of waiting submissions.
func (w *world) waiting(p *process) (int, int) {
	var body struct {
		Waiting int `json:"waiting"`
	}
	a := w.request(http.MethodGet, at(p.ip, w.ports.front), prefix, nil, 3*time.Second)
	_ = json.Unmarshal(a.body, &body)
	w.record.add("client asks %s for the count: %d, waiting %d", p.name, a.status, body.Waiting)
	return body.Waiting, a.status
}

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Route is a route of a manifest.
type Route struct {
	Name       string  `json:"name"`
	Host       string  `json:"hostname"`
	Prefix     string  `json:"pathPrefix"`
	Kind       string  `json:"kind"`
	Timeout    int     `json:"timeoutMs"`
	SLO        int     `json:"sloMs"`
	Priority   int     `json:"priority"`
	Service    string  `json:"service"`
	Attempts   int     `json:"maxAttempts"`
	Stretch    float64 `json:"stretch"`
	cpuDefault int64
}

// NewRoute returns a route with usual values.
func NewRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Kind: "non_idempotent", Timeout: 3000, SLO: 1000, Priority: 1, Service: "desk", Attempts: 3, Stretch: 2}
}

// Manifest returns the body of a manifest.
func Manifest(version int, routes ...Route) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
			"coldStartS": 0.0, "coldPerS": 0.0, "admissionCheck": true, "standby": false}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return data
}

// call sends one request and returns the status, or 0 without a response.
func (f *Fleet) call(client *http.Client, method, address, host, path string, body []byte, deadline time.Duration) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		request.Host = host
		request.Header.Set("Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// Operator sends an order until it is confirmed or refused, to each node in turn, and
// follows redirects as the operator does.
func (f *Fleet) Operator(method, path string, body []byte, patience time.Duration) (int, []byte) {
	client := &http.Client{Timeout: 2 * time.Second}
	until := time.Now().Add(patience)
	for i := 0; time.Now().Before(until); i++ {
		status, data := f.call(client, method, f.Operators()[i%controlCount], "", path, body, 0)
		f.record.Add("operator %s %s (%d bytes) at %d: %d", method, path, len(body), i%controlCount, status)
		if status >= 200 && status < 300 || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status, data
		}
		time.Sleep(150 * time.Millisecond)
	}
	return 0, nil
}

// Client sends a request of a client to one entry instance.
func (f *Fleet) Client(entry int, method, host, path string, body []byte) (int, []byte) {
	client := &http.Client{Timeout: 3 * time.Second}
	status, data := f.call(client, method, f.Fronts()[entry%entryCount], host, path, body, 3*time.Second)
	f.record.Add("client %s %s%s at entry-%d: %d %s", method, host, path, entry%entryCount+1, status, bytes.TrimSpace(data))
	return status, data
}

// ErrNoAnswer is returned when the deployment does not become ready in time.
var ErrNoAnswer = errors.New("the deployment does not answer")

// Configure sends a manifest until it is confirmed.
func (f *Fleet) Configure(manifest []byte) error {
	if status, _ := f.Operator("POST", "/config/put", manifest, 25*time.Second); status != http.StatusOK {
		return fmt.Errorf("manifest answered with %d: %w", status, ErrNoAnswer)
	}
	return nil
}

// Step is a step of a submission.
type Step struct {
	Count    int   `json:"count"`
	CPU      int64 `json:"cpu"`
	Memory   int64 `json:"memMb"`
	Estimate int64 `json:"estimateMs"`
	After    []int `json:"dependsOn,omitempty"`
	Lasting  bool  `json:"longRunning,omitempty"`
	Apart    int   `json:"antiAffinity,omitempty"`
}

// Submit hands a submission in until it is accepted.
func (f *Fleet) Submit(host, prefix, id, spec string, steps ...Step) error {
	for _, r := range f.Runners {
		r.SetNeed(id, steps[0].CPU)
	}
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	for i := range 20 {
		if status, _ := f.Client(i, "POST", host, prefix+id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("submission %s not accepted: %w", id, ErrNoAnswer)
}

// State returns the status and the state of a submission.
func (f *Fleet) State(entry int, host, prefix, id string) (int, string) {
	status, data := f.Client(entry, "GET", host, prefix+id, nil)
	var body struct{ State string }
	_ = json.Unmarshal(data, &body)
	return status, body.State
}

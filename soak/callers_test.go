package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	callTimeout = 3 * time.Second
	maxAttempts = 6
)

// callers submits jobs, queries them, cancels some, and sends manifests.
type callers struct {
	cluster *cluster
	client  *http.Client
	calls   sync.WaitGroup
}

func newCallers(c *cluster) *callers {
	return &callers{cluster: c, client: &http.Client{Timeout: callTimeout}}
}

// call sends a request to an entry instance. The status is 0 without a response.
func (a *callers) call(ctx context.Context, entry int, method, path string, body []byte) (int, []byte) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.cluster.entryIP(entry)+":8161"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = "h.example"
	r.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(r)
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

// submit submits a random job in the background, with as many attempts as callers
// of the platform make, and cancels some of the jobs.
func (a *callers) submit(ctx context.Context, r *rand.Rand) {
	j := &submittedJob{id: fmt.Sprintf("%016x", r.Uint64()), payload: fmt.Sprintf("p%x", r.Uint32())}
	steps := fmt.Sprintf(`{"count":%d,"cpu":1000,"memMb":64,"estimateMs":300,"checkpointing":true}`, 1+r.IntN(4))
	if r.IntN(3) == 0 {
		steps += fmt.Sprintf(`,{"count":%d,"cpu":1000,"memMb":64,"estimateMs":300,"dependsOn":[0]}`, 1+r.IntN(3))
	}
	cancel := r.IntN(8) == 0
	if r.IntN(10) == 0 {
		j.payload, cancel = lastingPayload, true
		steps = `{"count":2,"cpu":1000,"memMb":64,"longRunning":true}`
	}
	a.cluster.oracle.mu.Lock()
	a.cluster.oracle.jobs[j.id] = j
	a.cluster.oracle.mu.Unlock()
	body := fmt.Appendf(nil, `{"spec":%q,"steps":[%s]}`, j.payload, steps)
	first, pause := r.IntN(entries), time.Duration(200+r.IntN(400))*time.Millisecond
	a.calls.Go(func() {
		a.submitWithRetries(ctx, j, first, body)
		if cancel {
			time.Sleep(pause)
			a.cancel(ctx, j)
		}
	})
}

func (a *callers) submitWithRetries(ctx context.Context, j *submittedJob, entry int, body []byte) {
	unknown := 0
	for n := range maxAttempts {
		status, _ := a.call(ctx, (entry+n)%entries, http.MethodPost, "/q/"+j.id, body)
		switch {
		case status/100 == 2:
			a.cluster.oracle.updateJob(j.id, func(j *submittedJob) { j.accepted = true })
			return
		case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		default:
			unknown++
		}
		time.Sleep(200 * time.Millisecond)
	}
	a.cluster.oracle.updateJob(j.id, func(j *submittedJob) { j.refused = unknown == 0 })
}

func (a *callers) cancel(ctx context.Context, j *submittedJob) {
	for n := 0; ctx.Err() == nil; n++ {
		status, _ := a.call(ctx, n%entries, http.MethodDelete, "/q/"+j.id, nil)
		if status/100 == 2 || status == http.StatusGone {
			a.cluster.oracle.updateJob(j.id, func(j *submittedJob) { j.cancelledAt = time.Now() })
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state returns the state of a job, "" without a response, or "gone" for a job that
// the system does not know.
func (a *callers) state(ctx context.Context, id string, entry int) string {
	status, data := a.call(ctx, entry, http.MethodGet, "/q/"+id, nil)
	if status == http.StatusGone {
		return "gone"
	}
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.State
}

func manifest(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","hostname":"h.example","pathPrefix":"/q/","kind":"non_idempotent",`+
		`"timeoutMs":3000,"sloMs":1000,"priority":0,"service":"s","maxAttempts":8,"stretch":2.0}],`+
		`"services":[{"name":"s","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"admissionCheck":true}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version)
}

// sendManifest sends a manifest to one member after another until one confirms it.
func (a *callers) sendManifest(ctx context.Context, version uint64) {
	for n := int(version); ctx.Err() == nil; n++ {
		address := "http://" + a.cluster.relayIP(n%controls) + ":8166/config/put"
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(manifest(version)))
		if err != nil {
			return
		}
		if response, err := a.client.Do(r); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				a.cluster.oracle.confirmManifest(version)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// readManifest reads the manifest from one member and checks its version.
func (a *callers) readManifest(ctx context.Context, member int) {
	confirmedBefore := a.cluster.oracle.confirmedManifest()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.cluster.relayIP(member)+":8166/config/get", nil)
	if err != nil {
		return
	}
	response, err := a.client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var body struct {
		Version uint64 `json:"version"`
	}
	if response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&body) == nil {
		a.cluster.oracle.checkManifest(confirmedBefore, body.Version, a.cluster.controls[member].Name)
	}
}

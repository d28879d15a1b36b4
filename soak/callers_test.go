package soak

import (
	"bytes"
	"context"
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
	callTimeout = 3 * time.Second
	maxAttempts = 6
	// impatience is how long a caller waits that goes away before the answer.
	impatience = 4 * time.Millisecond
	// promptCancelShare of the pause before other cancels passes before those that come
	// while the starts of the job are still on their way.
	promptCancelShare = 0.05
	// maxIdleRoutes is the largest growth of a manifest in the users' site files.
	maxIdleRoutes = 1400
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

func (a *callers) entryCount() int { return len(a.cluster.entries) }

// call sends a request to an entry instance. The status is 0 without a response.
func (a *callers) call(ctx context.Context, entry int, method, path string, body []byte) (int, []byte) {
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", a.cluster.entryIP(entry), callerPort, path), bytes.NewReader(body))
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

// newJob returns a job with a random id, which the oracle knows from here on.
func (a *callers) newJob(r *rand.Rand, payload string) *submittedJob {
	j := &submittedJob{id: fmt.Sprintf("%016x", r.Uint64()), payload: payload}
	a.cluster.oracle.mu.Lock()
	defer a.cluster.oracle.mu.Unlock()
	a.cluster.oracle.jobs[j.id] = j
	return j
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
	first, pause := r.IntN(a.entryCount()), time.Duration(200+r.IntN(400))*time.Millisecond
	if pause < 400*time.Millisecond {
		pause = time.Duration(promptCancelShare * float64(pause))
	}
	impatient := r.IntN(12) == 0
	if givesUp := j.id[0] == '0'; givesUp {
		a.calls.Go(func() { a.giveUp(ctx, j, first, body, impatience) })
		return
	}
	a.calls.Go(func() {
		if impatient {
			// The answer to the first attempt is lost.
			short, cancel := context.WithTimeout(ctx, impatience)
			status, _ := a.call(short, first, http.MethodPost, "/q/"+j.id, body)
			cancel()
			if status/100 == 2 {
				a.cluster.oracle.updateJob(j.id, func(j *submittedJob) { j.accepted = true })
			}
		}
		a.submitWithRetries(ctx, j, first, body, impatient)
		if cancel {
			time.Sleep(pause)
			a.cancel(ctx, j)
		}
	})
}

// submitWithRetries submits a job until it is accepted, or given up. An earlier attempt
// may be unanswered.
func (a *callers) submitWithRetries(ctx context.Context, j *submittedJob, entry int, body []byte, unanswered bool) {
	unknown := 0
	if unanswered {
		unknown++
	}
	for n := range maxAttempts {
		status, _ := a.call(ctx, (entry+n)%a.entryCount(), http.MethodPost, "/q/"+j.id, body)
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

// giveUp submits a job once, leaves without an answer, and cancels it at other entry
// instances. The submission may arrive after that.
func (a *callers) giveUp(ctx context.Context, j *submittedJob, entry int, body []byte, patience time.Duration) {
	short, leave := context.WithTimeout(ctx, patience)
	defer leave()
	a.call(short, entry, http.MethodPost, "/q/"+j.id, body)
	a.cancelAt(ctx, j, entry+1)
}

func (a *callers) cancel(ctx context.Context, j *submittedJob) { a.cancelAt(ctx, j, 0) }

// cancelAt cancels a job at one entry instance after another until one confirms it.
func (a *callers) cancelAt(ctx context.Context, j *submittedJob, entry int) {
	for n := entry; ctx.Err() == nil; n++ {
		status, _ := a.call(ctx, n%a.entryCount(), http.MethodDelete, "/q/"+j.id, nil)
		if status/100 == 2 || status == http.StatusGone {
			a.cluster.oracle.updateJob(j.id, func(j *submittedJob) { j.cancelledAt = time.Now() })
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkRoom submits a job with a lasting task for each target that takes the whole of it,
// when no other work is left, and checks that all of them run in time.
func (a *callers) checkRoom(ctx context.Context, r *rand.Rand) {
	j := a.submitLasting(ctx, r, len(a.cluster.targets), targetCPUMilli)
	for end := time.Now().Add(roomBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a.cluster.oracle.lastingTasksAway() == 0 {
			a.cancel(ctx, j)
			return
		}
	}
	a.cluster.oracle.addViolation("%d tasks of %s, one for each target, do not run after %s; all other work has ended", a.cluster.oracle.lastingTasksAway(), j.id, roomBound)
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

// submitLasting submits a job whose tasks last until the end of the run.
func (a *callers) submitLasting(ctx context.Context, r *rand.Rand, tasks, cpuMilli int) *submittedJob {
	j := a.newJob(r, lastingPayload)
	a.cluster.oracle.updateJob(j.id, func(j *submittedJob) { j.lasting = tasks })
	body := fmt.Appendf(nil, `{"spec":%q,"steps":[{"count":%d,"cpu":%d,"memMb":64,"longRunning":true}]}`, j.payload, tasks, cpuMilli)
	a.submitWithRetries(ctx, j, r.IntN(a.entryCount()), body, false)
	return j
}

// manifest returns a manifest with idle routes, one of which is new with each version.
func manifest(version uint64, idleRoutes int) []byte {
	var routes strings.Builder
	for i := range idleRoutes {
		fmt.Fprintf(&routes, `{"name":"i%d","hostname":"h.example","pathPrefix":"/idle%d/","kind":"non_idempotent","timeoutMs":3000,"service":"s"},`, i, i)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s{"name":"v%d","hostname":"h.example","pathPrefix":"/v%d/","kind":"non_idempotent","timeoutMs":3000,"service":"s"},`+
		`{"name":"r","hostname":"h.example","pathPrefix":"/q/","kind":"non_idempotent",`+
		`"timeoutMs":3000,"sloMs":1000,"priority":0,"service":"s","maxAttempts":8,"stretch":2.0}],`+
		`"services":[{"name":"s","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"admissionCheck":true}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, routes.String(), version, version)
}

// idleRoutes returns the number of idle routes of a version: manifests grow.
func (a *callers) idleRoutes(version uint64) int {
	if !a.cluster.shape.replaces {
		return 0
	}
	return int(min(40*version, maxIdleRoutes))
}

func (a *callers) operatorURL(m *member, path string) string {
	return fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path)
}

// sendManifest sends a manifest to one member after another until one confirms it.
func (a *callers) sendManifest(ctx context.Context, version uint64) {
	body := manifest(version, a.idleRoutes(version))
	for n := int(version); ctx.Err() == nil; n++ {
		live := a.cluster.live()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, a.operatorURL(live[n%len(live)], "/config/put"), bytes.NewReader(body))
		if err != nil {
			return
		}
		if response, err := a.client.Do(r); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				a.cluster.oracle.confirmManifest(version, response.Request.URL.Hostname())
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// readManifest reads the manifest from one member and checks its version. It reports
// whether the member answered with a manifest.
func (a *callers) readManifest(ctx context.Context, m *member) bool {
	confirmedBefore := a.cluster.oracle.confirmedManifest()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, a.operatorURL(m, "/config/get"), nil)
	if err != nil {
		return false
	}
	response, err := a.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var body struct {
		Version uint64 `json:"version"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&body) != nil {
		return false
	}
	a.cluster.oracle.checkManifest(confirmedBefore, body.Version, m.Name)
	return true
}

// checkMember checks that a member answers a read of the manifest, itself or by a
// redirect to the leader. One that was never admitted to the group knows no leader.
func (a *callers) checkMember(ctx context.Context, m *member) {
	for start := time.Now(); time.Since(start) < leaderBound; time.Sleep(50 * time.Millisecond) {
		if a.readManifest(ctx, m) {
			return
		}
	}
	a.cluster.oracle.addViolation("%s answers no read of the manifest for %s without faults", m.Name, leaderBound)
}

// awaitLeader waits until a member answers a read of the manifest, which needs a
// leader that a majority has confirmed.
func (a *callers) awaitLeader(ctx context.Context) {
	start := time.Now()
	for time.Since(start) < recoveryTimeout {
		for _, m := range a.cluster.live() {
			if a.readManifest(ctx, m) {
				if took := time.Since(start); took > leaderBound {
					a.cluster.oracle.addViolation("no leader for %s after the last fault", took.Round(time.Millisecond))
				}
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	a.cluster.oracle.addViolation("no leader %s after the last fault", recoveryTimeout)
}

// checkLastManifest sends one more manifest without faults, and checks that it is
// confirmed in time and that each entry instance then serves its new route.
func (a *callers) checkLastManifest(ctx context.Context, version uint64) {
	start := time.Now()
	a.sendManifest(ctx, version)
	if took := time.Since(start); took > confirmBound {
		a.cluster.oracle.addViolation("manifest %d was confirmed after %s", version, took.Round(time.Millisecond))
	}
	time.Sleep(inForceBound)
	newest := a.cluster.oracle.confirmedManifest()
	for i := range a.entryCount() {
		if status, _ := a.call(ctx, i, http.MethodGet, fmt.Sprintf("/v%d/", newest), nil); status != http.StatusOK {
			a.cluster.oracle.addViolation("entry %d answers %d on the route of manifest %d, %s after its confirmation", i, status, newest, inForceBound)
		}
	}
}

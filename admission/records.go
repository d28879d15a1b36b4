package admission

import (
	"time"

	"github.com/ibispier/ibispier/request"
)

const (
	defaultRecords = 65536
	defaultBytes   = 64 << 20
	// fenceRetention is how long a refused epoch is remembered. No frame of a claim
	// can arrive later: it is twice the longest deadline, and a link without
	// frames is closed after 600 ms.
	fenceRetention = 10 * time.Minute
	// recordRetention is the retention window of claims in the quorum. A record whose
	// outcome nobody recorded until then is not asked about any more.
	recordRetention = 24 * time.Hour
	// recordedRetention outlasts questions that were sent before the outcome was
	// recorded. Without the record they would be answered with not run.
	recordedRetention = time.Minute
	pruneInterval     = time.Minute
)

// records remembers the non-idempotent requests that this agent accepted.
//
// Invariant: for one key, an epoch is accepted at most once and only when no
// lower or equal epoch was accepted without proof of not run, or fenced.
type records struct {
	maxRecords    int
	maxBytes      int64
	retainedBytes int64
	byKey         map[request.Key]*record
	prunedAt      time.Time
}

type record struct {
	epoch       uint64 // highest epoch accepted, 0 for none
	state       request.ClaimState
	response    *request.Response // nil when it was too large to keep
	fencedEpoch uint64            // epochs up to this one are refused
	recorded    bool              // the quorum has the outcome
	updatedAt   time.Time
}

func newRecords(o Options) *records {
	r := &records{maxRecords: o.MaxRecords, maxBytes: o.MaxRecordBytes, byKey: map[request.Key]*record{}}
	if r.maxRecords == 0 {
		r.maxRecords = defaultRecords
	}
	if r.maxBytes == 0 {
		r.maxBytes = defaultBytes
	}
	return r
}

// allowsEpoch reports whether the epoch of a may run as far as its key is concerned.
func (r *records) allowsEpoch(a *request.Attempt) bool {
	known := r.byKey[request.KeyOf(a.Request)]
	if known == nil {
		return a.ClaimEpoch > 0
	}
	ran := known.epoch > 0 && known.state != request.ClaimNotRun
	return !ran && a.ClaimEpoch > known.epoch && a.ClaimEpoch > known.fencedEpoch
}

// accept records an attempt that allows has passed. It reports false when there
// is no room: without a record there would be no proof.
func (r *records) accept(now time.Time, a *request.Attempt) bool {
	key := request.KeyOf(a.Request)
	known := r.byKey[key]
	if known == nil {
		if len(r.byKey) >= r.maxRecords {
			return false
		}
		known = &record{}
		r.byKey[key] = known
	}
	known.epoch, known.state, known.updatedAt = a.ClaimEpoch, request.ClaimRunning, now
	return true
}

// finish records the outcome of an accepted attempt.
func (r *records) finish(now time.Time, a *request.Attempt, resp *request.Response) {
	if a.Request.Idempotent {
		return
	}
	known := r.byKey[request.KeyOf(a.Request)]
	if known == nil || known.epoch != a.ClaimEpoch {
		return
	}
	known.updatedAt = now
	switch resp.Outcome {
	case request.Done:
		known.state = request.ClaimDone
		r.retainResponse(known, resp)
	case request.NotRun:
		known.state = request.ClaimNotRun
		known.fencedEpoch = max(known.fencedEpoch, a.ClaimEpoch)
	default:
		known.state = request.ClaimUnknown
	}
}

// retainResponse holds a response until it is recorded, as far as there is room.
func (r *records) retainResponse(known *record, resp *request.Response) {
	size := int64(len(resp.Body))
	if r.retainedBytes+size > r.maxBytes {
		return
	}
	r.retainedBytes += size
	known.response = resp
}

// query tells what became of (key, epoch).
func (r *records) query(now time.Time, key request.Key, epoch uint64) (request.ClaimState, *request.Response) {
	known := r.byKey[key]
	if known != nil && known.epoch == epoch {
		if known.recorded {
			return request.ClaimRunning, nil // the next look at the claim finds the outcome
		}
		if known.state == request.ClaimDone && known.response == nil {
			return request.ClaimUnknown, nil
		}
		return known.state, known.response
	}
	if known == nil {
		if len(r.byKey) >= r.maxRecords {
			return request.ClaimUnknown, nil // the refusal could not be remembered
		}
		known = &record{updatedAt: now}
		r.byKey[key] = known
	}
	known.fencedEpoch = max(known.fencedEpoch, epoch)
	return request.ClaimNotRun, nil
}

// forget drops the response of a finished record.
func (r *records) forget(now time.Time, key request.Key, epoch uint64) {
	known := r.byKey[key]
	if known == nil || known.epoch != epoch || known.state == request.ClaimRunning || known.fencedEpoch >= epoch {
		return
	}
	r.releaseResponse(known)
	known.recorded, known.updatedAt = true, now
}

func (r *records) releaseResponse(known *record) {
	if known.response != nil {
		r.retainedBytes -= int64(len(known.response.Body))
		known.response = nil
	}
}

func (r *records) drop(key request.Key, known *record) {
	r.releaseResponse(known)
	delete(r.byKey, key)
}

// prune drops what is too old to matter.
func (r *records) prune(now time.Time) {
	if now.Sub(r.prunedAt) < pruneInterval {
		return
	}
	r.prunedAt = now
	for key, known := range r.byKey {
		if known.state == request.ClaimRunning && known.epoch > 0 {
			continue
		}
		if now.Sub(known.updatedAt) > known.retention() {
			r.drop(key, known)
		}
	}
}

func (k *record) retention() time.Duration {
	switch {
	case k.recorded && k.fencedEpoch == 0:
		return recordedRetention
	case k.recorded || k.epoch <= k.fencedEpoch:
		return fenceRetention
	}
	return recordRetention
}

package admission

import (
	"time"

	"github.com/ibispier/ibispier/request"
)

const (
	defaultRecords = 65536
	defaultBytes   = 64 << 20
	// fenceRetention is how long a refused epoch is remembered. No frame of a
	// claim can arrive later: it is twice the longest deadline, and a link
	// without frames is closed after 600 ms.
	fenceRetention = 10 * time.Minute
	// recordRetention equals the retention window of claims in the quorum.
	// After that, nobody asks for a record whose outcome was never recorded.
	recordRetention = 24 * time.Hour
	// recordedRetention covers queries that were sent before the outcome was
	// recorded. Without the record, they would be answered with ClaimNotRun.
	recordedRetention = time.Minute
	pruneInterval     = time.Minute
)

// records holds the non-idempotent requests that this agent accepted.
//
// Invariant: for each key, an epoch is accepted at most once, and only if no
// lower or equal epoch was fenced or was accepted without proof that it did not
// run.
type records struct {
	maxRecords    int
	maxBytes      int64
	retainedBytes int64
	byKey         map[request.Key]*record
	prunedAt      time.Time
}

type record struct {
	epoch       uint64 // highest accepted epoch, 0 if none
	state       request.ClaimState
	response    *request.Response // nil if it exceeded the space left
	fencedEpoch uint64            // epochs up to this one are refused
	recorded    bool              // the quorum has recorded the outcome
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

// allowsEpoch reports whether the epoch of a may run, given what is known about
// its key.
func (r *records) allowsEpoch(a *request.Attempt) bool {
	known := r.byKey[request.KeyOf(a.Request)]
	if known == nil {
		return a.ClaimEpoch > 0
	}
	ran := known.epoch > 0 && known.state != request.ClaimNotRun
	return !ran && a.ClaimEpoch > known.epoch && a.ClaimEpoch > known.fencedEpoch
}

// accept records an attempt that allowsEpoch has approved. It reports false if
// there is no room: without a record, there would be no proof of the outcome.
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

// retainResponse keeps a response until the quorum has recorded it, if there is
// room.
func (r *records) retainResponse(known *record, resp *request.Response) {
	size := int64(len(resp.Body))
	if r.retainedBytes+size > r.maxBytes {
		return
	}
	r.retainedBytes += size
	known.response = resp
}

// query returns the state of the claim with an epoch, and fences an epoch that
// was never accepted.
func (r *records) query(now time.Time, key request.Key, epoch uint64) (request.ClaimState, *request.Response) {
	known := r.byKey[key]
	if known != nil && known.epoch == epoch {
		if known.recorded {
			return request.ClaimRunning, nil // the caller finds the outcome in the quorum
		}
		if known.state == request.ClaimDone && known.response == nil {
			return request.ClaimUnknown, nil
		}
		return known.state, known.response
	}
	if known == nil {
		if len(r.byKey) >= r.maxRecords {
			return request.ClaimUnknown, nil // the fence could not be recorded
		}
		known = &record{updatedAt: now}
		r.byKey[key] = known
	}
	known.fencedEpoch = max(known.fencedEpoch, epoch)
	return request.ClaimNotRun, nil
}

// forget drops the response of a finished claim and marks the claim as
// recorded.
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

// prune drops records whose retention has passed.
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

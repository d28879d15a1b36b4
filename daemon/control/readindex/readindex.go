// Package readindex batches reads until a quorum has confirmed, later than each
// read arrived, that this member leads.
package readindex

import (
	"time"

	"github.com/ibispier/ibispier/daemon/control/replica"
)

// readTimeout is the time after which a read that the replica has not
// confirmed is asked again. It is above a round of heartbeats across zones.
const readTimeout = 300 * time.Millisecond

// Read waits for the confirmation that this member leads.
type Read struct {
	Deadline time.Time
	Run      func(now time.Time)
	Fail     func()
}

// confirmedReads wait until the entry with index is applied.
type confirmedReads struct {
	index uint64
	reads []Read
}

// Queue batches read requests: those that arrive while a confirmation is under
// way wait for the next one, because a confirmation counts only for requests
// that arrived before it was asked for.
type Queue struct {
	context     uint64 // of the confirmation under way, 0 without one
	lastContext uint64
	issuedAt    time.Time
	confirming  []Read // wait for the confirmation under way
	waiting     []Read // wait for the next one
	confirmed   []confirmedReads
}

// Add takes a read.
func (q *Queue) Add(x Read) { q.waiting = append(q.waiting, x) }

// RequestConfirmation asks for a confirmation when requests wait and none is under way.
func (q *Queue) RequestConfirmation(now time.Time, submit func(replica.Input) error) {
	if q.context != 0 || len(q.waiting) == 0 {
		return
	}
	if submit(replica.Input{ReadContext: q.lastContext + 1}) != nil {
		return // the next flush tries again
	}
	q.lastContext++
	q.context = q.lastContext
	q.issuedAt = now
	q.confirming, q.waiting = q.waiting, q.confirming[:0]
}

// HandleConfirmation takes the answer of the replica. An answer to an earlier question
// is dropped: its requests were asked again.
func (q *Queue) HandleConfirmation(answer replica.ReadReady) {
	if answer.Context != q.context {
		return
	}
	q.context = 0
	q.confirmed = append(q.confirmed, confirmedReads{index: answer.Index, reads: q.confirming})
	q.confirming = nil
}

// RunConfirmed answers the confirmed reads whose entry is applied.
func (q *Queue) RunConfirmed(now time.Time, applied uint64) {
	for len(q.confirmed) > 0 && q.confirmed[0].index <= applied {
		batch := q.confirmed[0].reads
		q.confirmed = q.confirmed[1:]
		for _, x := range batch {
			x.Run(now)
		}
	}
}

// Expire asks again for a confirmation that has not come, and fails requests
// whose deadline has passed.
func (q *Queue) Expire(now time.Time) {
	if q.context != 0 && now.Sub(q.issuedAt) >= readTimeout {
		q.context = 0
		q.waiting = append(q.confirming, q.waiting...)
		q.confirming = nil
	}
	var failed []Read
	kept := q.waiting[:0]
	for _, x := range q.waiting {
		if x.Deadline.After(now) {
			kept = append(kept, x)
		} else {
			failed = append(failed, x)
		}
	}
	q.waiting = kept
	for _, x := range failed {
		x.Fail() // may add a read
	}
}

// FailAll fails every request that waits.
func (q *Queue) FailAll() {
	all := append(q.confirming, q.waiting...)
	for _, c := range q.confirmed {
		all = append(all, c.reads...)
	}
	*q = Queue{lastContext: q.lastContext}
	for _, x := range all {
		x.Fail()
	}
}

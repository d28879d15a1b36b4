// Package readindex batches reads. Each read waits until a quorum has confirmed,
// after the read arrived, that this member leads.
package readindex

import (
	"time"

	"github.com/ibispier/ibispier/daemon/control/replica"
)

// readTimeout is the time after which a confirmation is requested again. It is
// longer than a round of heartbeats across zones.
const readTimeout = 300 * time.Millisecond

// Read is a read that waits for the confirmation that this member leads.
type Read struct {
	Deadline time.Time
	Run      func(now time.Time)
	Fail     func()
}

// confirmedReads are reads that wait until the entry at index is applied.
type confirmedReads struct {
	index uint64
	reads []Read
}

// Queue batches reads. Reads that arrive while a confirmation is pending wait for
// the next one, because a confirmation counts only for reads that arrived before it
// was requested.
type Queue struct {
	context     uint64 // context of the pending confirmation, 0 if none
	lastContext uint64
	issuedAt    time.Time
	confirming  []Read // waiting for the pending confirmation
	waiting     []Read // waiting for the next confirmation
	confirmed   []confirmedReads
}

// Add queues a read.
func (q *Queue) Add(x Read) { q.waiting = append(q.waiting, x) }

// RequestConfirmation requests a confirmation if reads wait and none is pending.
func (q *Queue) RequestConfirmation(now time.Time, submit func(replica.Input) error) {
	if q.context != 0 || len(q.waiting) == 0 {
		return
	}
	if submit(replica.Input{ReadContext: q.lastContext + 1}) != nil {
		return // the next call retries
	}
	q.lastContext++
	q.context = q.lastContext
	q.issuedAt = now
	q.confirming, q.waiting = q.waiting, q.confirming[:0]
}

// HandleConfirmation handles the confirmation from the replica. One for an earlier
// request is dropped: its reads are part of a later request.
func (q *Queue) HandleConfirmation(answer replica.ReadReady) {
	if answer.Context != q.context {
		return
	}
	q.context = 0
	q.confirmed = append(q.confirmed, confirmedReads{index: answer.Index, reads: q.confirming})
	q.confirming = nil
}

// RunConfirmed runs the confirmed reads whose entry is applied.
func (q *Queue) RunConfirmed(now time.Time, applied uint64) {
	for len(q.confirmed) > 0 && q.confirmed[0].index <= applied {
		batch := q.confirmed[0].reads
		q.confirmed = q.confirmed[1:]
		for _, x := range batch {
			x.Run(now)
		}
	}
}

// Expire requeues the reads of a confirmation that timed out, and fails the reads
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

// FailAll fails all reads.
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

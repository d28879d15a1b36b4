package applier

import (
	"time"

	"github.com/ibispier/ibispier/daemon/control/replica"
)

// readTimeout is the time after which a read that the replica has not
// confirmed is asked again. It is above a round of heartbeats across zones.
const readTimeout = 300 * time.Millisecond

// read waits for the confirmation that this member leads.
type read struct {
	deadline time.Time
	run      func(now time.Time)
	fail     func()
}

// confirmedReads wait until the entry with index is applied.
type confirmedReads struct {
	index uint64
	reads []read
}

// reads batches read requests: those that arrive while a confirmation is under
// way wait for the next one, because a confirmation counts only for requests
// that arrived before it was asked for.
type reads struct {
	context  uint64 // of the confirmation under way, 0 without one
	last     uint64
	issuedAt time.Time
	asked    []read // wait for the confirmation under way
	waiting  []read // wait for the next one
	ready    []confirmedReads
}

func (r *reads) add(x read) { r.waiting = append(r.waiting, x) }

// issue asks for a confirmation when requests wait and none is under way.
func (r *reads) issue(now time.Time, submit func(replica.Input) error) {
	if r.context != 0 || len(r.waiting) == 0 {
		return
	}
	if submit(replica.Input{Read: r.last + 1}) != nil {
		return // the next flush tries again
	}
	r.last++
	r.context = r.last
	r.issuedAt = now
	r.asked, r.waiting = r.waiting, r.asked[:0]
}

// confirmed takes the answer of the replica. An answer to an earlier question
// is dropped: its requests were asked again.
func (r *reads) confirmed(answer replica.ReadReady) {
	if answer.Context != r.context {
		return
	}
	r.context = 0
	r.ready = append(r.ready, confirmedReads{index: answer.Index, reads: r.asked})
	r.asked = nil
}

// run answers the confirmed reads whose entry is applied.
func (r *reads) run(now time.Time, applied uint64) {
	for len(r.ready) > 0 && r.ready[0].index <= applied {
		batch := r.ready[0].reads
		r.ready = r.ready[1:]
		for _, x := range batch {
			x.run(now)
		}
	}
}

// expire asks again for a confirmation that has not come, and fails requests
// whose deadline has passed.
func (r *reads) expire(now time.Time) {
	if r.context != 0 && now.Sub(r.issuedAt) >= readTimeout {
		r.context = 0
		r.waiting = append(r.asked, r.waiting...)
		r.asked = nil
	}
	r.waiting = failExpired(now, r.waiting)
}

func failExpired(now time.Time, list []read) []read {
	kept := list[:0]
	for _, x := range list {
		if x.deadline.After(now) {
			kept = append(kept, x)
			continue
		}
		x.fail()
	}
	return kept
}

// failAll fails every request that waits.
func (r *reads) failAll() {
	all := append(r.asked, r.waiting...)
	for _, c := range r.ready {
		all = append(all, c.reads...)
	}
	*r = reads{last: r.last}
	for _, x := range all {
		x.fail()
	}
}

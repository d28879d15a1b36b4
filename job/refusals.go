package job

// MaxRefusals bounds the records of refused submissions in the store. A record takes about
// 150 bytes in a snapshot. When there is no room for one, a submission is accepted: a
// refusal without a record could not be kept.
const MaxRefusals = 8192

// Refusal is the record of a submission that was refused because it could not be done in
// time. It is committed before the caller is told. For HoldMillis after that, every copy of
// the submission is refused; a submission that is sent later is a new attempt.
//
// The record holds a length and no end, because the clocks of the members may be
// stepped: each leader counts the length on its own steady clock, and a new leader counts
// it anew.
type Refusal struct {
	Count       int // how often submissions with the ID were refused
	HoldMillis  int64
	FirstMillis int64 // Unix time of the first refusal; used only to order jobs
	Service     string
	Filling     bool  `json:",omitempty"`
	Work        int64 // core-milliseconds that the job needs by its estimates
}

// NewRefusal refuses the submission with the ID. After is the number of its refusals that
// the proposer knew of. If it has changed meanwhile, the refusal has no effect.
type NewRefusal struct {
	ID         string
	After      int `json:",omitempty"`
	HoldMillis int64
	AtMillis   int64 // Unix time
	Service    string
	Filling    bool `json:",omitempty"`
	Work       int64
}

// ExpiredRefusal removes the record of the ID, unless a later refusal has renewed it.
type ExpiredRefusal struct {
	ID    string
	Count int
}

// RefusalCount returns how often submissions with the ID were refused, as far as there is a
// record of it.
func (st *Store) RefusalCount(id string) int { return st.Refusals[id].Count }

// refuseJob records a refusal. It has no effect on an ID that a job or a tombstone has: the
// entry that comes first in the log decides.
func (st *Store) refuseJob(r *NewRefusal) {
	record, known := st.Refusals[r.ID]
	if st.Jobs[r.ID] != nil || st.HasTombstone(r.ID) || record.Count != r.After {
		return
	}
	if !known && len(st.Refusals) >= MaxRefusals {
		return
	}
	if st.Refusals == nil {
		st.Refusals = map[string]Refusal{}
	}
	first := r.AtMillis
	if known {
		first = record.FirstMillis
	}
	st.Refusals[r.ID] = Refusal{
		Count: r.After + 1, HoldMillis: r.HoldMillis, FirstMillis: first, Service: r.Service, Filling: r.Filling, Work: r.Work,
	}
}

func (st *Store) expireRefusal(x ExpiredRefusal) {
	if st.RefusalCount(x.ID) == x.Count {
		delete(st.Refusals, x.ID)
	}
}

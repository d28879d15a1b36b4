package replica

import "slices"

// statusTicks is the interval, in ticks, at which the progress of the members is
// reported. Everything else in the status is reported when it changes.
const statusTicks = 10

// changedStatus returns the status if it is due, or nil.
func (r *run) changedStatus() *Status {
	if r.status.Members != nil && !r.leadershipChanged() && r.statusAgeTicks < statusTicks {
		return nil
	}
	s := r.currentStatus()
	r.statusAgeTicks = 0
	if r.status.Members != nil && s.equal(r.status) {
		return nil
	}
	r.status = s
	return &s
}

func (r *run) leadershipChanged() bool {
	return r.status.Leader != r.node.Leader().ID ||
		r.status.IsLeader != (r.node.Leader() == r.duty.options.Self) ||
		r.status.Term != r.node.Term() ||
		r.status.ReadOnly != r.readOnly ||
		len(r.status.Members) != len(r.node.Membership().Members)
}

func (r *run) currentStatus() Status {
	s := Status{
		Leader:   r.node.Leader().ID,
		IsLeader: r.node.Leader() == r.duty.options.Self,
		Term:     r.node.Term(),
		Members:  []MemberStatus{},
		ReadOnly: r.readOnly,
	}
	for _, m := range r.node.Members() {
		s.Members = append(s.Members, MemberStatus{ID: m.ID, Voter: m.Voter, Match: m.Match, Active: m.Active})
	}
	return s
}

func (s Status) equal(other Status) bool {
	return s.Leader == other.Leader && s.IsLeader == other.IsLeader && s.Term == other.Term &&
		s.ReadOnly == other.ReadOnly && slices.Equal(s.Members, other.Members)
}

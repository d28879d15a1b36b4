package consensus

import (
	"encoding/json"
	"slices"
)

// Member is one replica of a group.
type Member struct {
	ID    ReplicaID
	Voter bool // false for a learner
}

// Membership is the set of replicas of a group.
type Membership struct {
	// Group is the incarnation of the replica that bootstrapped the group.
	// Messages of another group are dropped, so that a second bootstrap by
	// mistake cannot overwrite the log of an existing group.
	Group   uint64
	Members []Member
	// Excluded lists the ids that an operator has removed. They are admitted
	// again only on request.
	Excluded []string
}

// Bootstrap returns the state of a new group with self as its only member.
func Bootstrap(self ReplicaID) State {
	m := Membership{Group: self.Incarnation, Members: []Member{{ID: self, Voter: true}}}
	return State{
		HardState: HardState{Term: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: m.encode()}},
	}
}

// Find returns the member that is r.
func (m Membership) Find(r ReplicaID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == r {
			return member, true
		}
	}
	return Member{}, false
}

// Contains reports whether r is a voter or a learner.
func (m Membership) Contains(r ReplicaID) bool {
	_, found := m.Find(r)
	return found
}

// IsVoter reports whether r is a voter.
func (m Membership) IsVoter(r ReplicaID) bool {
	member, _ := m.Find(r)
	return member.Voter
}

// MembersWithID returns the members with the id under any incarnation.
func (m Membership) MembersWithID(id string) []Member {
	var named []Member
	for _, member := range m.Members {
		if member.ID.ID == id {
			named = append(named, member)
		}
	}
	return named
}

// Voters returns the voters.
func (m Membership) Voters() []ReplicaID {
	var voters []ReplicaID
	for _, member := range m.Members {
		if member.Voter {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// Quorum returns the number of voters that make a majority.
func (m Membership) Quorum() int { return len(m.Voters())/2 + 1 }

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is one membership change.
type Change struct {
	Kind    ChangeKind
	Replica ReplicaID
	Exclude bool // Remove: admit the id again only on request
}

// apply returns the membership after c. A change adds or removes at most one
// voter, so that any quorum before it overlaps any quorum after it.
func (m Membership) apply(c Change) (Membership, error) {
	next := Membership{
		Group:    m.Group,
		Members:  slices.Clone(m.Members),
		Excluded: slices.Clone(m.Excluded),
	}
	at := slices.IndexFunc(next.Members, func(member Member) bool { return member.ID == c.Replica })
	switch c.Kind {
	case AddLearner:
		if len(m.MembersWithID(c.Replica.ID)) > 0 {
			return m, Error.New("step=add-learner peer=%s: id is a member already", c.Replica)
		}
		next.Members = append(next.Members, Member{ID: c.Replica})
		next.Excluded = slices.DeleteFunc(next.Excluded, func(id string) bool { return id == c.Replica.ID })
	case Promote:
		if at < 0 {
			return m, ErrNoSuchMember
		}
		next.Members[at].Voter = true
	case Remove:
		if at < 0 {
			return m, ErrNoSuchMember
		}
		next.Members = slices.Delete(next.Members, at, at+1)
		if c.Exclude && !slices.Contains(next.Excluded, c.Replica.ID) {
			next.Excluded = append(next.Excluded, c.Replica.ID)
		}
	}
	if len(next.Voters()) == 0 {
		return m, Error.New("step=remove peer=%s: the last voter cannot be removed", c.Replica)
	}
	return next, nil
}

// Encode returns the encoding of m in entries and snapshots.
func (m Membership) Encode() []byte { return m.encode() }

func (m Membership) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // the type has only fields that JSON can hold
	}
	return data
}

// DecodeMembership is the inverse of Encode. Empty data yields an empty
// membership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if len(data) == 0 {
		return m, nil
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, Error.New("step=decode-membership: %w", err)
	}
	return m, nil
}

package consensus

import "testing"

// Guards against a lost voter that stays a voter while a learner that has caught up
// could replace it, and against more voters than desired.
func TestLearnerTakesThePlaceOfALostVoter(t *testing.T) {
	a, b, c, d := ReplicaID{"a", 1}, ReplicaID{"b", 1}, ReplicaID{"c", 1}, ReplicaID{"d", 1}
	lost := false
	v := ReconcileInput{
		Self: a, DesiredVoters: 3, DesiredIDs: []string{"b", "c", "d"},
		Membership:       Membership{Members: []Member{{a, true}, {b, true}, {c, true}}},
		SeenIncarnations: map[string]uint64{"b": 1, "c": 1, "d": 1},
		IsCaughtUp:       func(id ReplicaID) bool { return id == d },
		IsLost:           func(id ReplicaID) bool { return lost && id == c },
	}
	expect := func(want Change, needed bool) {
		t.Helper()
		if got, ok := NextChange(v); ok != needed || got != want {
			t.Fatalf("change %+v, %v, want %+v, %v", got, ok, want, needed)
		}
	}
	expect(Change{Kind: AddLearner, Replica: d}, true)
	v.Membership.Members = append(v.Membership.Members, Member{ID: d})
	expect(Change{}, false)
	lost = true
	expect(Change{Kind: Remove, Replica: c}, true)
	v.Membership.Members = []Member{{a, true}, {b, true}, {ID: d}}
	expect(Change{Kind: Promote, Replica: d}, true)
}

package replica

import (
	"testing"

	"github.com/ibispier/ibispier/consensus"
)

// Guards against a healthy voter that is replaced by a leader that was itself cut off or
// suspended, and against a lost one whose silence is forgotten.
func TestSilenceIsCountedOnlyBesideAMajority(t *testing.T) {
	ids := make([]consensus.ReplicaID, 6)
	members := consensus.Membership{}
	for i := range ids {
		ids[i] = consensus.ReplicaID{ID: string(rune('a' + i)), Incarnation: 1}
		members.Members = append(members.Members, consensus.Member{ID: ids[i], Voter: i < 5})
	}
	self, lost, learner := ids[0], ids[1], ids[5]
	var counts map[consensus.ReplicaID]int
	tick := func(silent ...consensus.ReplicaID) {
		set := map[consensus.ReplicaID]bool{}
		for _, id := range silent {
			set[id] = true
		}
		counts = countSilence(counts, members, self, set)
	}
	for range 3 {
		tick(lost, learner)
	}
	if counts[lost] != 3 || counts[learner] != 3 || counts[self] != 0 {
		t.Fatalf("counts %v, want 3 for the silent ones", counts)
	}
	tick(lost, ids[2])
	if counts[lost] != 4 || counts[ids[2]] != 1 || counts[learner] != 0 {
		t.Fatalf("counts %v, want them to go on, and none for the learner that is back", counts)
	}
	tick(lost, ids[2], ids[3], ids[4])
	if len(counts) != 0 {
		t.Fatalf("counts %v while this member hears no majority, want none", counts)
	}
	tick(lost)
	if counts[lost] != 1 {
		t.Fatalf("count %d after this member was cut off, want 1", counts[lost])
	}
}

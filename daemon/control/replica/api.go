// Package replica is the duty that drives the consensus state machine of a
// control member.
package replica

import "github.com/ibispier/ibispier/consensus"

// Input is what the applier asks of the replica. Exactly one field is set.
type Input struct {
	Propose      []byte        // append a command; refused silently when not the leader or above MaxCommandBytes
	ReadContext  uint64        // confirm leadership for the read with this context, which is not 0
	Snapshot     *SnapshotData // state of the applier for a snapshot
	MemberChange *MemberChange // change of the control members
}

// SnapshotData is the state of the applier after the entry with Index.
type SnapshotData struct {
	Index uint64
	Data  []byte
}

// MemberChange asks for a change of the control members.
type MemberChange struct {
	Action  string // bootstrap, admit, remove or transfer
	ID      string
	Context uint64 // returned in Update.Members
}

// Update is what the replica tells the applier. Updates are in order: entries
// have consecutive indexes, and a snapshot replaces the whole state.
type Update struct {
	Snapshot       *SnapshotData
	Entries        []consensus.Entry
	Reads          []ReadReady
	MemberResults  []MemberResult
	Status         *Status // set when it has changed
	SnapshotWanted bool    // the log has grown enough for a snapshot
}

// ReadReady confirms a read: it may be answered once Index is applied.
type ReadReady struct {
	Context uint64
	Index   uint64
}

// MemberResult answers a MemberChange.
type MemberResult struct {
	Context uint64
	Err     error
}

// Status is the view that the replica has of its group.
type Status struct {
	Leader   string // "" when unknown
	IsLeader bool
	Term     uint64
	Members  []MemberStatus
	ReadOnly bool // the disk is full: proposals are refused, reads go on
}

// MemberStatus is one member as the replica sees it.
type MemberStatus struct {
	ID     consensus.ReplicaID
	Voter  bool
	Match  uint64
	Active bool
}

// Package replica drives the consensus state machine of a control member. It runs
// as one duty, which connects the state machine to the applier, the log writer and
// the other members.
package replica

import "github.com/ibispier/ibispier/consensus"

// Input is a request of the applier to the replica. Exactly one field is set.
type Input struct {
	Propose      []byte        // command to append; dropped if this replica does not lead or if it exceeds MaxCommandBytes
	ReadContext  uint64        // nonzero context of a read for which leadership is to be confirmed
	Snapshot     *SnapshotData // application state to save as a snapshot
	MemberChange *MemberChange // change of the control members
}

// SnapshotData is the state of the applier after the entry at Index.
type SnapshotData struct {
	Index uint64
	Data  []byte
}

// MemberChange requests a change of the control members or a leadership transfer.
type MemberChange struct {
	Action  string // one of the Action constants
	ID      string
	Context uint64 // returned in MemberResult
}

// Update is what the replica reports to the applier. Updates are in order: entries
// have consecutive indexes, and a snapshot replaces the whole state.
type Update struct {
	Snapshot       *SnapshotData
	Entries        []consensus.Entry
	Reads          []ReadReady
	MemberResults  []MemberResult
	Status         *Status // set if it has changed
	SnapshotWanted bool    // the log has grown enough for a snapshot
}

// ReadReady confirms a read: it may be answered once the entry at Index is applied.
type ReadReady struct {
	Context uint64
	Index   uint64
}

// MemberResult is the result of a MemberChange.
type MemberResult struct {
	Context uint64
	Err     error
}

// Status is the state of the group as the replica knows it.
type Status struct {
	Leader   string // "" if unknown
	IsLeader bool
	Term     uint64
	Members  []MemberStatus
	ReadOnly bool // the disk is full: proposals are rejected, reads continue
}

// MemberStatus is the state of one member as the replica knows it.
type MemberStatus struct {
	ID     consensus.ReplicaID
	Voter  bool
	Match  uint64
	Active bool
}

package consensus

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("consensus")

// Errors of proposals, reads and changes.
var (
	ErrNotLeader     = Error.New("not leader")
	ErrTransferring  = Error.New("leadership transfer in progress")
	ErrChangePending = Error.New("another membership change is not committed yet")
	ErrNoSuchMember  = Error.New("no such member")
	ErrNoQuorumLeft  = Error.New("no quorum of the remaining voters answers")
)

// ReplicaID names a replica together with the data folder it was formatted in.
// A replica whose disk was lost comes back under a new incarnation and is a
// different replica.
type ReplicaID struct {
	ID          string
	Incarnation uint64
}

// String returns the id with the incarnation in hexadecimal.
func (r ReplicaID) String() string { return fmt.Sprintf("%s/%x", r.ID, r.Incarnation) }

// IsZero reports whether r names no replica.
func (r ReplicaID) IsZero() bool { return r == ReplicaID{} }

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNormal     EntryKind = iota // a command of the state machine
	EntryMembership                  // a change of the members
	EntryNoOp                        // appended by a new leader
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be synced before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote ReplicaID
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageType is the type of a Message.
type MessageType uint8

// Types of messages.
const (
	MsgPreVote        MessageType = iota + 1 // would the receiver vote in Term
	MsgPreVoteReply                          //
	MsgVote                                  // vote for the sender in Term
	MsgVoteReply                             //
	MsgAppend                                // entries that follow (LogIndex, LogTerm)
	MsgAppendReply                           // the log matches up to LogIndex and is synced, or Reject with Hint
	MsgHeartbeat                             // the sender leads Term
	MsgHeartbeatReply                        //
	MsgSnapshot                              // replaces the log of a replica that is too far behind
	MsgTimeoutNow                            // start an election: leadership is handed over
)

// contextLeadershipTransfer marks the MsgVote of a candidate that the leader has chosen.
const contextLeadershipTransfer = 1

// Message is sent from one replica to another.
type Message struct {
	Type     MessageType
	Term     uint64
	From, To ReplicaID
	Group    uint64 // group of the sender; 0 when it has no state yet
	LogIndex uint64
	LogTerm  uint64
	Commit   uint64
	Reject   bool
	Hint     uint64 // last index at which the logs may match
	Context  uint64 // read round of heartbeats, epoch of appends
	Entries  []Entry
	Snapshot *Snapshot
}

// State is what a replica recovers from its disk.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries are consecutive. The first one may precede the end of the snapshot.
	Entries []Entry
}

// Batch is written to disk as one unit: first the snapshot, then the rest.
type Batch struct {
	Sequence  uint64
	HardState *HardState
	Snapshot  *Snapshot
	Reset     bool // the snapshot came from the leader and replaces the whole log
	Entries   []Entry
}

// ReadReady confirms a read: it may be answered once Index is applied.
type ReadReady struct {
	Context uint64
	Index   uint64
}

// Output is what a step asks of its driver.
type Output struct {
	Batch           *Batch    // to write and sync; then call Synced with its sequence
	Messages        []Message // to send now
	InstallSnapshot *Snapshot // replaces the state of the state machine
	Committed       []Entry   // to apply, in order
	Reads           []ReadReady
}

// Role is the role of a replica in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

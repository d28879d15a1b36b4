package consensus

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("consensus")

// Errors returned by proposals, reads and membership changes.
var (
	ErrNotLeader     = Error.New("not leader")
	ErrTransferring  = Error.New("leadership transfer in progress")
	ErrChangePending = Error.New("another membership change is not committed yet")
	ErrNoSuchMember  = Error.New("no such member")
	ErrNoQuorumLeft  = Error.New("no quorum of the remaining voters responds")
)

// ReplicaID identifies a replica by its configured id and the incarnation of its
// data folder. A replica that lost its disk returns under a new incarnation and
// counts as a different replica.
type ReplicaID struct {
	ID          string
	Incarnation uint64
}

// String returns the id with the incarnation in hexadecimal.
func (r ReplicaID) String() string { return fmt.Sprintf("%s/%x", r.ID, r.Incarnation) }

// IsZero reports whether r identifies no replica.
func (r ReplicaID) IsZero() bool { return r == ReplicaID{} }

// EntryKind is the kind of content that an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNormal     EntryKind = iota // a command of the state machine
	EntryMembership                  // a new membership
	EntryNoOp                        // appended by a new leader, to commit the entries before it
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that must be synced before any message that depends on
// it is sent.
type HardState struct {
	Term uint64
	Vote ReplicaID
}

// Snapshot is the state that replaces the log up to and including Index.
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
	MsgPreVote MessageType = iota + 1 // asks whether the receiver would vote for the sender in Term
	MsgPreVoteReply
	MsgVote // requests a vote for the sender in Term
	MsgVoteReply
	MsgAppend      // entries that follow (LogIndex, LogTerm)
	MsgAppendReply // the log matches and is synced up to LogIndex, or Reject with Hint
	MsgHeartbeat   // asserts that the sender leads Term
	MsgHeartbeatReply
	MsgSnapshot   // replaces the log of a replica that is too far behind
	MsgTimeoutNow // tells the receiver to start an election for a leadership transfer
)

// contextLeadershipTransfer marks the MsgVote of a candidate to which the leader
// transfers its leadership. Leader stickiness does not apply to it.
const contextLeadershipTransfer = 1

// Message is sent from one replica to another.
type Message struct {
	Type     MessageType
	Term     uint64
	From, To ReplicaID
	Group    uint64 // group of the sender; 0 if it has no state yet
	LogIndex uint64
	LogTerm  uint64
	Commit   uint64
	Reject   bool
	Hint     uint64 // last index at which the logs may match
	Context  uint64 // read round of a heartbeat, epoch of an append
	Entries  []Entry
	Snapshot *Snapshot
}

// State is the persistent state that a replica recovers from its disk.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries are consecutive. The first one may precede the end of the snapshot.
	Entries []Entry
}

// Batch is written to disk as one unit: the snapshot first, then the rest.
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

// Output is the work that the inputs of a Node ask its driver to carry out.
type Output struct {
	Batch           *Batch    // to write and sync; then call MarkSynced with its sequence
	Messages        []Message // to send now
	InstallSnapshot *Snapshot // replaces the state of the application's state machine
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

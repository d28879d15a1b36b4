package consensus

// ReplicaID names a replica together with the data folder it was formatted in.
// A replica whose disk was lost comes back under a new incarnation and is a
// different replica.
type ReplicaID struct {
	ID          string
	Incarnation uint64
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNormal     EntryKind = iota // a command of the state machine
	EntryMembership                  // a change of the members
	EntryEmpty                       // appended by a new leader
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

package consensus

import (
	"math/rand/v2"
)

// Defaults of Config.
const (
	DefaultElectionTicks       = 10
	DefaultMaxInFlightAppends  = 64
	DefaultMaxEntriesPerAppend = 1024
	DefaultMaxBytesPerAppend   = 512 << 10
	DefaultTrailingEntries     = 4096
	DefaultTrailingBytes       = 8 << 20
)

// Config configures a Node.
type Config struct {
	Self                ReplicaID
	ElectionTicks       int    // least number of ticks without a leader before an election
	MaxInFlightAppends  int    // unacknowledged appends to one replica
	MaxEntriesPerAppend int    // entries in one append
	MaxBytesPerAppend   int    // bytes of entries in one append
	TrailingEntries     uint64 // entries below the snapshot that stay in memory for slow followers
	TrailingBytes       int    // bytes of these entries
	Seed                uint64 // seed of the randomized election timeout
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.MaxInFlightAppends, DefaultMaxInFlightAppends)
	setDefault(&c.MaxEntriesPerAppend, DefaultMaxEntriesPerAppend)
	setDefault(&c.MaxBytesPerAppend, DefaultMaxBytesPerAppend)
	setDefault(&c.TrailingBytes, DefaultTrailingBytes)
	if c.TrailingEntries == 0 {
		c.TrailingEntries = DefaultTrailingEntries
	}
	return c
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Node is the consensus state of one replica. Its methods are the inputs of the
// step function; TakeOutput returns the resulting work. It is not safe for
// concurrent use.
type Node struct {
	config Config
	random *rand.Rand

	hardState   HardState
	log         *entryLog
	snapshot    Snapshot // newest snapshot, sent to replicas that are too far behind
	role        Role
	leader      ReplicaID
	commitIndex uint64

	electionElapsed int
	electionTimeout int
	votes           map[ReplicaID]bool // votes granted in this election

	matchIndex  uint64 // follower: last index at which the log matches the leader's
	ackedIndex  uint64 // follower: last index acknowledged to the leader
	appendEpoch uint64 // follower: epoch of the newest append received

	leaderState *leaderState // nil unless this replica leads

	persistence  persistence
	pending      Output // messages, reads and snapshots to install, not yet taken
	appliedIndex uint64 // last committed entry returned for application
}

// New returns a node that continues from the recovered state.
func New(c Config, s State) (*Node, error) {
	log, err := newEntryLog(s)
	if err != nil {
		return nil, err
	}
	c = c.withDefaults()
	n := &Node{
		config:       c,
		random:       rand.New(rand.NewPCG(c.Seed, c.Self.Incarnation)),
		hardState:    s.HardState,
		log:          log,
		snapshot:     s.Snapshot,
		commitIndex:  s.Snapshot.Index,
		appliedIndex: s.Snapshot.Index,
	}
	n.persistence.initRecovered(n.hardState, log.lastIndex())
	n.resetElectionTimer()
	if voters := log.membership().Voters(); len(voters) == 1 && voters[0] == c.Self {
		n.electionTimeout = 1 // the only voter has no other leader to wait for
	}
	return n, nil
}

// Membership returns the membership in effect. It is empty on a replica that
// has no state yet.
func (n *Node) Membership() Membership { return n.log.membership() }

// Role returns the role in the current term.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, or a zero id if it is unknown.
func (n *Node) Leader() ReplicaID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// CommitIndex returns the index of the last entry known to be committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// AppliedIndex returns the index of the last entry that TakeOutput has returned
// for application.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// FirstIndex returns the index of the first entry that is still in memory.
func (n *Node) FirstIndex() uint64 { return n.log.base + 1 }

// SnapshotIndex returns the last index that the newest snapshot covers.
func (n *Node) SnapshotIndex() uint64 { return n.snapshot.Index }

func (n *Node) self() ReplicaID { return n.config.Self }

// Tick advances the timers by one tick.
func (n *Node) Tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}
	if !n.log.membership().IsVoter(n.self()) {
		n.leader = ReplicaID{}
		return
	}
	n.startPreVote()
}

// resetElectionTimer restarts the timer with a random timeout between one and one
// and a half times the election timeout. The range is wide enough to separate
// candidates and narrow enough to keep the time without a leader short.
func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.config.ElectionTicks + n.random.IntN(n.config.ElectionTicks/2+1)
}

// Step handles a message from another replica.
func (n *Node) Step(m Message) {
	if !n.shouldHandle(m) {
		return
	}
	if m.Term > n.hardState.Term && !n.handleHigherTerm(m) {
		return
	}
	if m.Term < n.hardState.Term {
		n.replyStaleTerm(m)
		return
	}
	n.dispatch(m)
}

// shouldHandle reports whether m comes from a member of this replica's group.
// Only a leader may be unknown: it was elected by replicas that know it, and this
// replica may not have received the entry that added it.
func (n *Node) shouldHandle(m Message) bool {
	if m.To != n.self() || m.From.IsZero() || m.From == n.self() {
		return false
	}
	membership := n.log.membership()
	if m.Group != 0 && membership.Group != 0 && m.Group != membership.Group {
		return false
	}
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return m.Group != 0
	}
	return membership.Contains(m.From)
}

// handleHigherTerm adopts the higher term of m, unless m requests or grants a
// pre-vote, or requests a vote that could depose a live leader. It reports whether
// m is to be processed.
func (n *Node) handleHigherTerm(m Message) bool {
	switch {
	case m.Type == MsgPreVote, m.Type == MsgPreVoteReply && !m.Reject:
		return true
	case m.Type == MsgVote && m.Context != contextLeadershipTransfer && n.hasLiveLeader():
		// Leader stickiness: a replica that lost contact must not depose a leader
		// from which this replica still receives heartbeats.
		return false
	}
	n.becomeFollower(m.Term, ReplicaID{})
	return true
}

func (n *Node) hasLiveLeader() bool {
	if n.role == Leader {
		return true
	}
	return !n.leader.IsZero() && n.electionElapsed < n.config.ElectionTicks
}

// replyStaleTerm replies with the current term, so that a leader or candidate of
// an older term steps down.
func (n *Node) replyStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Type {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgPreVoteReply:
		n.handlePreVoteReply(m)
	case MsgVote:
		n.handleVote(m)
	case MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	case MsgAppendReply, MsgHeartbeatReply:
		n.handleFollowerReply(m)
	}
}

func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
	if n.role == Leader || n.leader != leader {
		n.resetElectionTimer()
	}
	n.role = Follower
	n.leader = leader
	n.leaderState = nil
	n.votes = nil
	n.matchIndex, n.ackedIndex, n.appendEpoch = 0, 0, 0
}

func (n *Node) send(m Message) {
	m.From = n.self()
	m.Group = n.log.membership().Group
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.pending.Messages = append(n.pending.Messages, m)
}

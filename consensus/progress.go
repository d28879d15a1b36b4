package consensus

// progressState is the way in which the leader sends entries to one replica.
type progressState uint8

const (
	probing      progressState = iota // one append at a time until the logs match
	replicating                       // pipelined appends
	snapshotting                      // a snapshot is being sent
)

// progress is the replication progress of one replica, as the leader knows it.
type progress struct {
	state             progressState
	matchIndex        uint64   // last index that the replica has synced
	nextIndex         uint64   // index of the next entry to send
	inFlight          []uint64 // last indexes of unacknowledged appends
	isProbeInFlight   bool     // probing: an append is unacknowledged
	epoch             uint64   // incremented with each probe; replies to appends carry it
	isActive          bool     // replied since the last quorum check
	wasActive         bool     // replied in the period before that
	readRound         uint64   // last read round that the replica confirmed
	idleReplies       int      // heartbeat replies without progress
	lossThreshold     int      // idle replies after which appends count as lost
	probeLastIndex    uint64   // probing: last index of the unacknowledged append
	snapshotIndex     uint64   // snapshotting: index of the snapshot
	snapshotTicksLeft int      // snapshotting: ticks until the replica is probed again
}

func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.epoch++
	p.nextIndex = max(next, p.matchIndex+1)
	p.inFlight = nil
	p.isProbeInFlight = false
	p.probeLastIndex = 0
	p.idleReplies = 0
}

// startReplicating switches to pipelined appends. The entries of the acknowledged
// probe count as in flight.
func (p *progress) startReplicating() {
	p.state = replicating
	if p.probeLastIndex >= p.nextIndex {
		p.nextIndex = p.probeLastIndex + 1
		p.inFlight = []uint64{p.probeLastIndex}
	}
}

// probeAfterLoss probes because appends count as lost, and doubles the threshold
// for the next time: a replica that is only slow must not be sent the same entries
// faster than it handles them.
func (p *progress) probeAfterLoss() {
	p.lossThreshold = min(2*p.lossThreshold, maxLossThreshold)
	p.startProbing(p.matchIndex + 1)
}

// recordAck records that the replica has synced up to index, and reports whether
// that is progress. A reply to an append of an earlier epoch does not complete the
// current probe.
func (p *progress) recordAck(index, epoch uint64) bool {
	advanced := index > p.matchIndex
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	if epoch == p.epoch {
		p.isProbeInFlight = false
	}
	if advanced {
		p.idleReplies, p.lossThreshold = 0, minLossThreshold
	}
	return advanced
}

// isRecent reports whether the replica replied within the last two periods of the
// quorum check.
func (p *progress) isRecent() bool { return p.isActive || p.wasActive }

// leaderState is the state that only a leader has.
type leaderState struct {
	progress           map[ReplicaID]*progress
	termStartIndex     uint64 // index of the first entry of the leader's term
	quorumCheckElapsed int    // ticks since the last quorum check
	readRound          uint64 // last read round that was started
	pendingReads       []pendingReadRound
	queuedReads        []uint64 // contexts of the reads for the next round
	transferTo         ReplicaID
	transferTicksLeft  int    // ticks until the transfer is abandoned
	previousTickCommit uint64 // commit index at the previous tick
}

// pendingReadRound is a round of reads that a quorum has not confirmed yet.
type pendingReadRound struct {
	round    uint64
	index    uint64
	contexts []uint64
}

func newLeaderState(n *Node) *leaderState {
	l := &leaderState{progress: map[ReplicaID]*progress{}, termStartIndex: n.log.lastIndex() + 1}
	l.updateMembers(n.log.membership(), n.log.lastIndex()+1)
	return l
}

// updateMembers adds and removes progress to match the membership.
func (l *leaderState) updateMembers(m Membership, next uint64) {
	for _, member := range m.Members {
		if l.progress[member.ID] == nil {
			l.progress[member.ID] = &progress{nextIndex: next, isActive: true, lossThreshold: minLossThreshold}
		}
	}
	for id := range l.progress {
		if !m.Contains(id) {
			delete(l.progress, id)
		}
	}
}

package consensus

// progressState is how the leader sends entries to one replica.
type progressState uint8

const (
	probing      progressState = iota // one append at a time until the logs match
	replicating                       // pipelined appends
	snapshotting                      // a snapshot is on its way
)

// progress is what the leader knows about one replica.
type progress struct {
	state    progressState
	match    uint64   // synced there
	next     uint64   // next entry to send
	inFlight []uint64 // last indexes of unacknowledged appends
	waiting  bool     // probing: an append is unanswered
	epoch    uint64   // raised with each probe; answers to appends carry it
	active   bool     // heard since the last quorum check
	before   bool     // heard in the period before that
	round    uint64   // last read round that was answered
	idle     int      // heartbeat replies since the last progress
	patience int      // idle replies after which appends count as lost
	probed   uint64   // probing: last index of the unanswered append
	snapshot uint64   // snapshotting: its index
	timeout  int      // snapshotting: ticks until it is sent again
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.epoch++
	p.next = max(next, p.match+1)
	p.inFlight = nil
	p.waiting = false
	p.probed = 0
	p.idle = 0
}

// pipeline starts to send without waiting for answers. The entries of the
// answered probe count as in flight.
func (p *progress) pipeline() {
	p.state = replicating
	if p.probed >= p.next {
		p.next = p.probed + 1
		p.inFlight = []uint64{p.probed}
	}
}

// probeAgain probes because appends count as lost, and is more patient the next
// time: a replica that is only slow must not be sent the same entries faster than
// it takes them.
func (p *progress) probeAgain() {
	p.patience = min(2*p.patience, maxIdleHeartbeats)
	p.probe(p.match + 1)
}

// acknowledged records that the replica has synced up to index. An answer to an
// append of an earlier epoch says nothing about the probe under way.
func (p *progress) acknowledged(index, epoch uint64) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	if epoch == p.epoch {
		p.waiting = false
	}
	if advanced {
		p.idle, p.patience = 0, idleHeartbeats
	}
	return advanced
}

// isRecent reports whether the replica was heard within the last two periods of
// the quorum check.
func (p *progress) isRecent() bool { return p.active || p.before }

// leadership is the state that only a leader has.
type leadership struct {
	progress map[ReplicaID]*progress
	firstOwn uint64 // index of the first entry of the term
	elapsed  int    // ticks since the last quorum check
	round    uint64 // last read round that was sent
	reads    []openRead
	newReads []uint64 // contexts that wait for the next round
	transfer ReplicaID
	timeout  int    // ticks until the transfer is given up
	lagged   uint64 // commit index at the previous tick
}

// openRead is a round of reads that a quorum has not confirmed yet.
type openRead struct {
	round    uint64
	index    uint64
	contexts []uint64
}

func newLeadership(n *Node) *leadership {
	l := &leadership{progress: map[ReplicaID]*progress{}, firstOwn: n.log.lastIndex() + 1}
	l.follow(n.log.membership(), n.log.lastIndex()+1)
	return l
}

// follow adds and removes progress so that it fits the membership.
func (l *leadership) follow(m Membership, next uint64) {
	for _, member := range m.Members {
		if l.progress[member.ID] == nil {
			l.progress[member.ID] = &progress{next: next, active: true, patience: idleHeartbeats}
		}
	}
	for id := range l.progress {
		if !m.Contains(id) {
			delete(l.progress, id)
		}
	}
}

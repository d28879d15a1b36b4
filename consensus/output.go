package consensus

// persistence tracks which state the driver has been given to write and which part
// of it is synced.
type persistence struct {
	sequence          uint64 // sequence of the last batch
	stableIndex       uint64 // last synced index
	batchedIndex      uint64 // last index that is part of a batch
	hardState         HardState
	hardStateSequence uint64 // sequence of the batch with the last hard state
	syncedSequence    uint64 // sequence of the last synced batch
	snapshot          *Snapshot
	isReset           bool
	unsyncedBatches   []unsyncedBatch
	heldMessages      []Message // wait for the sync of batch hardStateSequence
}

// unsyncedBatch is a batch that is not synced yet.
type unsyncedBatch struct {
	sequence  uint64
	lastIndex uint64    // stable index once the batch is synced
	install   *Snapshot // snapshot of the leader, installed once the batch is synced
	compactTo *Snapshot // own snapshot, which compacts the log once the batch is synced
}

func (p *persistence) initRecovered(h HardState, last uint64) {
	p.hardState = h
	p.stableIndex, p.batchedIndex = last, last
}

// truncate forgets the entries from index on, also in batches that are being
// written: the sync of those batches does not cover the entries that replace them.
func (p *persistence) truncate(index uint64) {
	p.stableIndex = min(p.stableIndex, index-1)
	p.batchedIndex = min(p.batchedIndex, index-1)
	for i := range p.unsyncedBatches {
		p.unsyncedBatches[i].lastIndex = min(p.unsyncedBatches[i].lastIndex, index-1)
	}
}

// reset makes s the start of the log.
func (p *persistence) reset(s *Snapshot) {
	for i := range p.unsyncedBatches {
		p.unsyncedBatches[i].lastIndex = 0
		p.unsyncedBatches[i].compactTo = nil
	}
	p.stableIndex, p.batchedIndex = 0, s.Index
	p.snapshot, p.isReset = s, true
}

// TakeOutput returns the work that the inputs since the last call ask for.
func (n *Node) TakeOutput() Output {
	n.startReadRound()
	out := n.pending
	n.pending = Output{}
	out.Batch = n.takeBatch()
	out.Messages = n.holdMessages(out.Messages)
	out.Committed = n.takeCommitted()
	return out
}

func (n *Node) takeBatch() *Batch {
	p := &n.persistence
	b := &Batch{Snapshot: p.snapshot, Reset: p.isReset}
	if n.hardState != p.hardState {
		hard := n.hardState
		b.HardState = &hard
	}
	if last := n.log.lastIndex(); last > p.batchedIndex {
		b.Entries = n.log.slice(p.batchedIndex+1, last)
	}
	if b.HardState == nil && b.Snapshot == nil && len(b.Entries) == 0 {
		return nil
	}
	p.sequence++
	b.Sequence = p.sequence
	unsynced := unsyncedBatch{sequence: b.Sequence, lastIndex: n.log.lastIndex()}
	switch {
	case p.isReset:
		unsynced.install = p.snapshot
	case p.snapshot != nil:
		unsynced.compactTo = p.snapshot
	}
	if b.HardState != nil {
		p.hardState, p.hardStateSequence = n.hardState, b.Sequence
	}
	p.unsyncedBatches = append(p.unsyncedBatches, unsynced)
	p.batchedIndex = n.log.lastIndex()
	p.snapshot, p.isReset = nil, false
	return b
}

// holdMessages returns the messages that may be sent now. All messages wait until
// the last change of term or vote is synced, because they depend on it.
func (n *Node) holdMessages(messages []Message) []Message {
	p := &n.persistence
	p.heldMessages = append(p.heldMessages, messages...)
	if p.hardStateSequence > p.syncedSequence {
		return nil
	}
	ready := p.heldMessages
	p.heldMessages = nil
	return ready
}

// takeCommitted returns the committed entries that this replica has synced.
func (n *Node) takeCommitted() []Entry {
	last := min(n.commitIndex, n.persistence.stableIndex)
	if last <= n.appliedIndex {
		return nil
	}
	entries := n.log.slice(n.appliedIndex+1, last)
	n.appliedIndex = last
	return entries
}

// MarkSynced reports that the batches up to sequence are synced.
func (n *Node) MarkSynced(sequence uint64) {
	p := &n.persistence
	p.syncedSequence = max(p.syncedSequence, sequence)
	for len(p.unsyncedBatches) > 0 && p.unsyncedBatches[0].sequence <= sequence {
		n.handleBatchSynced(p.unsyncedBatches[0])
		p.unsyncedBatches = p.unsyncedBatches[1:]
	}
	if n.role == Leader {
		n.advanceLeaderCommit()
		return
	}
	n.acknowledge(false)
}

func (n *Node) handleBatchSynced(b unsyncedBatch) {
	n.persistence.stableIndex = max(n.persistence.stableIndex, b.lastIndex)
	if b.install != nil && b.install.Index > n.appliedIndex {
		n.pending.InstallSnapshot = b.install
		n.appliedIndex = b.install.Index
	}
	if b.compactTo != nil {
		n.compactLog(b.compactTo)
	}
}

// CreateSnapshot makes data the newest snapshot: the state of the application's
// state machine after the entry at index. The log is compacted once the snapshot
// is synced.
func (n *Node) CreateSnapshot(index uint64, data []byte) error {
	term, known := n.log.term(index)
	if !known || index <= n.snapshot.Index || index > n.appliedIndex || n.persistence.isReset {
		return Error.New("step=snapshot: index %d is not between the snapshot %d and the applied %d",
			index, n.snapshot.Index, n.appliedIndex)
	}
	n.persistence.snapshot = &Snapshot{
		Index:      index,
		Term:       term,
		Membership: n.log.membershipAt(index).membership,
		Data:       data,
	}
	return nil
}

func (n *Node) compactLog(s *Snapshot) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = *s
	n.log.compact(n.log.trailingFrom(s.Index, n.config.TrailingEntries, n.config.TrailingBytes))
}

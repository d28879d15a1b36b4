package consensus

// persistence tracks what the driver has been given to write and what of it is
// synced.
type persistence struct {
	sequence  uint64 // of the last batch
	stable    uint64 // last index that is synced
	handedOut uint64 // last index that is in a batch
	hard      HardState
	hardAt    uint64 // batch with the last hard state
	synced    uint64 // last batch that is synced
	snapshot  *Snapshot
	isReset   bool
	batches   []openBatch
	held      []Message // wait for the batch hardAt
}

// openBatch is a batch that is not synced yet.
type openBatch struct {
	sequence uint64
	last     uint64    // stable index once it is synced
	install  *Snapshot // to install once it is synced
	own      *Snapshot // to compact the log with once it is synced
}

func (p *persistence) recovered(h HardState, last uint64) {
	p.hard = h
	p.stable, p.handedOut = last, last
}

// truncate forgets entries from index on, also in batches that are being
// written: their sync no longer says anything about the new entries.
func (p *persistence) truncate(index uint64) {
	p.stable = min(p.stable, index-1)
	p.handedOut = min(p.handedOut, index-1)
	for i := range p.batches {
		p.batches[i].last = min(p.batches[i].last, index-1)
	}
}

// reset makes s the start of the log.
func (p *persistence) reset(s *Snapshot) {
	for i := range p.batches {
		p.batches[i].last = 0
		p.batches[i].own = nil
	}
	p.stable, p.handedOut = 0, s.Index
	p.snapshot, p.isReset = s, true
}

// TakeOutput returns what the steps since the last call ask for.
func (n *Node) TakeOutput() Output {
	n.takeReads()
	out := n.pending
	n.pending = Output{}
	out.Batch = n.takeBatch()
	out.Messages = n.holdMessages(out.Messages)
	out.Committed = n.takeCommitted()
	return out
}

func (n *Node) takeBatch() *Batch {
	p := &n.persist
	b := &Batch{Snapshot: p.snapshot, Reset: p.isReset}
	if n.hard != p.hard {
		hard := n.hard
		b.HardState = &hard
	}
	if last := n.log.lastIndex(); last > p.handedOut {
		b.Entries = n.log.slice(p.handedOut+1, last)
	}
	if b.HardState == nil && b.Snapshot == nil && len(b.Entries) == 0 {
		return nil
	}
	p.sequence++
	b.Sequence = p.sequence
	open := openBatch{sequence: b.Sequence, last: n.log.lastIndex()}
	switch {
	case p.isReset:
		open.install = p.snapshot
	case p.snapshot != nil:
		open.own = p.snapshot
	}
	if b.HardState != nil {
		p.hard, p.hardAt = n.hard, b.Sequence
	}
	p.batches = append(p.batches, open)
	p.handedOut = n.log.lastIndex()
	p.snapshot, p.isReset = nil, false
	return b
}

// holdMessages returns the messages that may leave now. Messages wait while a
// change of term or vote is not synced, because they promise it.
func (n *Node) holdMessages(messages []Message) []Message {
	p := &n.persist
	p.held = append(p.held, messages...)
	if p.hardAt > p.synced {
		return nil
	}
	ready := p.held
	p.held = nil
	return ready
}

// takeCommitted returns the committed entries that are synced here.
func (n *Node) takeCommitted() []Entry {
	last := min(n.commit, n.persist.stable)
	if last <= n.emitted {
		return nil
	}
	entries := n.log.slice(n.emitted+1, last)
	n.emitted = last
	return entries
}

// MarkSynced tells that the batches up to sequence are on disk.
func (n *Node) MarkSynced(sequence uint64) {
	p := &n.persist
	p.synced = max(p.synced, sequence)
	for len(p.batches) > 0 && p.batches[0].sequence <= sequence {
		n.batchSynced(p.batches[0])
		p.batches = p.batches[1:]
	}
	if n.role == Leader {
		n.advanceLeaderCommit()
		return
	}
	n.acknowledge(false)
}

func (n *Node) batchSynced(b openBatch) {
	n.persist.stable = max(n.persist.stable, b.last)
	if b.install != nil && b.install.Index > n.emitted {
		n.pending.InstallSnapshot = b.install
		n.emitted = b.install.Index
	}
	if b.own != nil {
		n.compactTo(b.own)
	}
}

// CreateSnapshot makes data, the state of the state machine after the entry with
// index, the newest snapshot. The log is compacted once it is synced.
func (n *Node) CreateSnapshot(index uint64, data []byte) error {
	term, known := n.log.term(index)
	if !known || index <= n.snapshot.Index || index > n.emitted || n.persist.isReset {
		return Error.New("step=snapshot: index %d is not between the snapshot %d and the applied %d",
			index, n.snapshot.Index, n.emitted)
	}
	n.persist.snapshot = &Snapshot{
		Index:      index,
		Term:       term,
		Membership: n.log.configAt(index).membership,
		Data:       data,
	}
	return nil
}

func (n *Node) compactTo(s *Snapshot) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = *s
	if s.Index > n.config.TrailingEntries {
		n.log.compact(s.Index - n.config.TrailingEntries)
	}
}

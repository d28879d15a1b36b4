package consensus

import (
	"encoding/binary"
	"hash/crc64"
	"math/rand/v2"
	"slices"
)

// simulatedReplica is one replica with its disk. Only the content of the disk
// survives a crash.
type simulatedReplica struct {
	id            ReplicaID
	node          *Node // nil while it is down
	isPaused      bool
	isDiskStalled bool // syncs nothing while the other replicas continue
	disk          State
	writing       []*Batch // returned by the node and not synced
	applied       uint64
	hash          uint64 // hash of the applied entries, which stands for the application state
}

// tester is the common part of testing.T and rapid.T.
type tester interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// network simulates a group of replicas, a network that delays, reorders,
// duplicates and loses messages, and an oracle that checks their behavior.
type network struct {
	t               tester
	random          *rand.Rand
	replicas        []*simulatedReplica
	messages        []Message
	blocked         map[[2]string]bool // from, to
	nextIncarnation uint64
	oracle          oracle
}

// oracle holds what the checks compare with: committed entries never change, a
// term has one leader, and reads return everything committed before them.
type oracle struct {
	committed []Entry  // by index-1
	hashes    []uint64 // hash of the committed entries up to each index
	leaders   map[uint64]ReplicaID
	reads     map[uint64]uint64 // least index that a read may return, by context
	context   uint64
	commands  uint64
}

var crcTable = crc64.MakeTable(crc64.ECMA)

func hashEntry(hash uint64, e Entry) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, hash)
	buf = binary.LittleEndian.AppendUint64(buf, e.Term)
	return crc64.Update(hash, crcTable, append(append(buf, byte(e.Kind)), e.Data...))
}

func newNetwork(t tester, size int, seed uint64) *network {
	w := &network{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		blocked: map[[2]string]bool{},
		oracle:  oracle{leaders: map[uint64]ReplicaID{}, reads: map[uint64]uint64{}},
	}
	for i := range size {
		w.replicas = append(w.replicas, &simulatedReplica{id: ReplicaID{ID: string(rune('a' + i))}})
		w.wipe(w.replicas[i])
	}
	w.replicas[0].disk = Bootstrap(w.replicas[0].id)
	for _, r := range w.replicas {
		w.restart(r)
	}
	return w
}

func (w *network) wipe(r *simulatedReplica) {
	w.nextIncarnation++
	r.node = nil
	r.id.Incarnation = w.nextIncarnation
	r.disk = State{}
	r.writing = nil
}

// crash stops the replica. Any number of the batches that it was writing may have
// reached the disk.
func (w *network) crash(r *simulatedReplica) {
	if r.node == nil {
		return
	}
	for range w.random.IntN(len(r.writing) + 1) {
		r.write(r.writing[0])
		r.writing = r.writing[1:]
	}
	r.node, r.writing = nil, nil
}

func (w *network) restart(r *simulatedReplica) {
	if r.node != nil {
		return
	}
	node, err := New(Config{
		Self:                r.id,
		ElectionTicks:       6,
		MaxInFlightAppends:  4,
		MaxEntriesPerAppend: 4,
		TrailingEntries:     1 + w.random.Uint64N(8),
		Seed:                w.random.Uint64(),
	}, r.disk)
	if err != nil {
		w.t.Fatalf("replica %s does not restart: %v", r.id, err)
	}
	r.node, r.isPaused = node, false
	r.applied, r.hash = r.disk.Snapshot.Index, decodeHash(r.disk.Snapshot.Data)
}

func decodeHash(data []byte) uint64 {
	if len(data) == 0 {
		return 0
	}
	return binary.LittleEndian.Uint64(data)
}

// write applies a batch to the disk by the rules of package wal.
func (r *simulatedReplica) write(b *Batch) {
	if b.HardState != nil {
		r.disk.HardState = *b.HardState
	}
	if b.Snapshot != nil {
		r.disk.Snapshot = *b.Snapshot
	}
	if b.Reset {
		r.disk.Entries = nil
	}
	if len(b.Entries) == 0 {
		return
	}
	keep := slices.IndexFunc(r.disk.Entries, func(e Entry) bool { return e.Index == b.Entries[0].Index })
	if keep >= 0 {
		r.disk.Entries = r.disk.Entries[:keep]
	}
	r.disk.Entries = append(slices.Clip(r.disk.Entries), b.Entries...)
}

// sync completes the oldest batches, at most count.
func (w *network) sync(r *simulatedReplica, count int) {
	if r.node == nil || r.isPaused {
		return
	}
	for range min(count, len(r.writing)) {
		b := r.writing[0]
		r.writing = r.writing[1:]
		r.write(b)
		r.node.MarkSynced(b.Sequence)
	}
	w.collect(r)
}

// collect carries out the output of the node and checks it with the oracle.
func (w *network) collect(r *simulatedReplica) {
	out := r.node.TakeOutput()
	if out.Batch != nil {
		r.writing = append(r.writing, out.Batch)
	}
	w.messages = append(w.messages, out.Messages...)
	if out.InstallSnapshot != nil {
		r.applied, r.hash = out.InstallSnapshot.Index, decodeHash(out.InstallSnapshot.Data)
		w.checkState(r)
	}
	for _, e := range out.Committed {
		if e.Index != r.applied+1 {
			w.t.Fatalf("replica %s applies %d after %d", r.id, e.Index, r.applied)
		}
		r.applied, r.hash = e.Index, hashEntry(r.hash, e)
		w.recordCommitted(r, e)
	}
	for _, read := range out.Reads {
		if read.Index < w.oracle.reads[read.Context] {
			w.t.Fatalf("stale read at %s: index %d, want at least %d", r.id, read.Index, w.oracle.reads[read.Context])
		}
	}
	w.checkLeader(r)
}

func (w *network) recordCommitted(r *simulatedReplica, e Entry) {
	o := &w.oracle
	if e.Index == uint64(len(o.committed))+1 {
		o.committed = append(o.committed, e)
		o.hashes = append(o.hashes, r.hash)
	}
	w.checkState(r)
}

func (w *network) checkState(r *simulatedReplica) {
	if r.applied > uint64(len(w.oracle.hashes)) || w.oracle.hashes[r.applied-1] != r.hash {
		w.t.Fatalf("replica %s differs from the committed entries at %d", r.id, r.applied)
	}
}

// checkLeader checks that the term has one leader and that a new leader has every
// committed entry.
func (w *network) checkLeader(r *simulatedReplica) {
	n := r.node
	if n.Role() != Leader {
		return
	}
	o := &w.oracle
	if other, known := o.leaders[n.Term()]; known && other != r.id {
		w.t.Fatalf("term %d has leaders %s and %s", n.Term(), other, r.id)
	}
	if _, known := o.leaders[n.Term()]; known {
		return
	}
	o.leaders[n.Term()] = r.id
	for _, e := range o.committed[min(n.log.base, uint64(len(o.committed))):] {
		if !n.log.matches(e.Index, e.Term) {
			w.t.Fatalf("leader %s of term %d lacks committed entry %d", r.id, n.Term(), e.Index)
		}
	}
}

func (w *network) find(id ReplicaID) *simulatedReplica {
	for _, r := range w.replicas {
		if r.id.ID == id.ID {
			return r
		}
	}
	return nil
}

// deliver delivers the message at i. The message stays in the network if it is
// duplicated or if the receiver is paused.
func (w *network) deliver(i int, duplicate bool) {
	m := w.messages[i]
	to := w.find(m.To)
	if to.isPaused {
		return
	}
	if !duplicate {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	if to.node == nil || w.blocked[[2]string{m.From.ID, m.To.ID}] {
		return
	}
	to.node.Step(m)
	w.collect(to)
}

func (w *network) tick(r *simulatedReplica) {
	if r.node == nil || r.isPaused {
		return
	}
	r.node.Tick()
	w.reconcile(r)
	w.collect(r)
}

// reconcile proposes membership changes as package replica does, with every
// replica desired as a member.
func (w *network) reconcile(r *simulatedReplica) {
	if r.node.Role() != Leader {
		return
	}
	v := ReconcileInput{Self: r.id, Membership: r.node.Membership(), SeenIncarnations: map[string]uint64{}, Progress: r.node.Members(), IsCaughtUp: r.node.IsCaughtUp}
	for _, other := range w.replicas {
		v.DesiredIDs = append(v.DesiredIDs, other.id.ID)
		if other.node != nil && other != r {
			v.SeenIncarnations[other.id.ID] = other.id.Incarnation
		}
	}
	if c, needed := NextChange(v); needed {
		_, _ = r.node.ChangeMembership(c)
	}
}

// round advances time: every replica ticks and syncs, and messages are delivered.
// With faults, syncs are delayed and messages are reordered, duplicated or lost.
func (w *network) round(faults bool) {
	for _, r := range w.replicas {
		w.tick(r)
	}
	for range 2 + w.random.IntN(4) {
		for _, r := range w.replicas {
			if !faults || (!r.isDiskStalled && w.random.IntN(3) > 0) {
				w.sync(r, 1+w.random.IntN(3))
			}
		}
		for range len(w.messages) {
			w.deliverOne(faults)
		}
	}
}

func (w *network) deliverOne(faults bool) {
	if len(w.messages) == 0 {
		return
	}
	if !faults {
		w.deliver(0, false)
		return
	}
	i := w.random.IntN(len(w.messages))
	switch chance := w.random.IntN(100); {
	case chance < 5:
		w.messages = slices.Delete(w.messages, i, i+1)
	case chance < 10:
		w.deliver(i, true)
	case chance < 80:
		w.deliver(i, false)
	}
}

func (w *network) leader() *simulatedReplica {
	var leader *simulatedReplica
	for _, r := range w.replicas {
		if r.node != nil && r.node.Role() == Leader && (leader == nil || r.node.Term() > leader.node.Term()) {
			leader = r
		}
	}
	return leader
}

// settle runs rounds without faults until done holds.
func (w *network) settle(what string, done func() bool) {
	for range 400 {
		if done() {
			return
		}
		w.round(false)
	}
	for _, r := range w.replicas {
		if r.node != nil {
			w.t.Logf("%s role=%d term=%d commit=%d last=%d members=%v", r.id, r.node.Role(), r.node.Term(),
				r.node.CommitIndex(), r.node.LastIndex(), r.node.Membership())
		}
	}
	w.t.Fatalf("%s not reached after 400 rounds without faults", what)
}

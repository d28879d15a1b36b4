package peers

import (
	"context"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/wire/convert"
)

// maxSnapshotBytes bounds a received snapshot: the control state of a deployment
// stays below 256 MB.
const maxSnapshotBytes = 512 << 20

// receiver is the duty that reassembles the snapshots of one member.
type receiver struct {
	member *member
	events *ring.Ring[replica.Event]
	log    *zap.Logger
}

// partialSnapshot is a snapshot of which parts have been received.
type partialSnapshot struct {
	from  consensus.ReplicaID
	index uint64
	term  uint64
	data  []byte
}

func (a *partialSnapshot) matches(r *wire.Replication) bool {
	c := r.GetSnapshot()
	return a != nil && a.from == convert.ReplicaFromWire(r.GetFrom()) &&
		a.index == c.GetIndex() && a.term == c.GetTerm()
}

// Run receives until ctx ends.
func (d *receiver) Run(ctx context.Context) error {
	var a *partialSnapshot
	for {
		r, err := d.member.chunks.Take(ctx)
		if err != nil {
			return nil
		}
		c := r.GetSnapshot()
		if c.GetTotal() > maxSnapshotBytes {
			continue
		}
		if !a.matches(r) {
			a = &partialSnapshot{from: convert.ReplicaFromWire(r.GetFrom()), index: c.GetIndex(), term: c.GetTerm()}
		}
		if c.GetOffset() == uint64(len(a.data)) {
			a.data = append(a.data, c.GetData()...)
		}
		d.acknowledge(r, uint64(len(a.data)))
		if uint64(len(a.data)) >= c.GetTotal() {
			d.complete(ctx, r, a.data)
			a = nil
		}
	}
}

// acknowledge requests the part from offset on.
func (d *receiver) acknowledge(r *wire.Replication, offset uint64) {
	c := r.GetSnapshot()
	_ = d.member.out.PutLatest(replica.Outgoing{ChunkAck: &replica.ChunkAck{
		From:   convert.ReplicaFromWire(r.GetTo()),
		Index:  c.GetIndex(),
		Term:   c.GetTerm(),
		Offset: offset,
	}})
}

func (d *receiver) complete(ctx context.Context, r *wire.Replication, data []byte) {
	m, err := convert.SnapshotFromChunks(r, data)
	if err != nil {
		d.log.Warn("snapshot rejected", zap.String("peer", d.member.id), zap.Error(err))
		return
	}
	d.log.Info("snapshot received", zap.String("peer", d.member.id), zap.Uint64("index", m.Snapshot.Index))
	if err := put(ctx, d.events, replica.Event{Message: m}); err != nil {
		d.log.Warn("snapshot dropped", zap.String("peer", d.member.id), zap.Error(err))
	}
}

package peers

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/wire/convert"
)

const (
	// chunkBytes is the size of the parts of a snapshot. Only one part is in flight
	// at a time, so that appends and snapshots share the data stream fairly.
	chunkBytes = 256 << 10
	// chunkTimeout is the time that the sender waits for the reply to a part before
	// it resends the part.
	chunkTimeout = 500 * time.Millisecond
	// chunkAttempts is the number of attempts without a reply that end a transfer.
	chunkAttempts = 10
)

// sender is the duty that sends to one member.
type sender struct {
	member *member
	log    *zap.Logger
}

// Run sends until ctx ends.
func (s *sender) Run(ctx context.Context) error {
	r := &senderRun{sender: s}
	ticker := time.NewTicker(chunkTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.member.links.C():
			r.updateLink(e)
		case out := <-s.member.out.C():
			r.send(out)
		case ack := <-s.member.acks.C():
			r.acknowledged(ack)
		case <-ticker.C:
			r.resend()
		}
	}
}

// senderRun is the state of one run of a sender.
type senderRun struct {
	*sender
	conn     *link.Conn
	transfer *transfer
}

// transfer is a snapshot that is being sent.
type transfer struct {
	message  *consensus.Message
	crc      uint32
	offset   int
	attempts int
	sentAt   time.Time
}

func (r *senderRun) updateLink(e linkEvent) {
	switch {
	case e.up:
		r.conn = e.conn
	case r.conn == e.conn:
		r.conn = nil
	}
}

// send sends one message. Without a link the message is dropped: consensus sends it
// again.
func (r *senderRun) send(out replica.Outgoing) {
	if r.conn == nil {
		return
	}
	switch {
	case out.State != nil:
		_ = r.conn.Send(stateFrame(out.State))
		return
	case out.ChunkAck != nil:
		_ = r.conn.Send(ackFrame(out.ChunkAck))
		return
	}
	m := out.Message
	switch m.Type {
	case consensus.MsgSnapshot:
		r.startTransfer(m)
	case consensus.MsgAppend:
		_ = r.conn.SendData(frame(convert.MessageToWire(m)))
	default:
		_ = r.conn.Send(frame(convert.MessageToWire(m)))
	}
}

// startTransfer starts to send the snapshot of m. A transfer in progress continues,
// because the receiver can use an older snapshot too.
func (r *senderRun) startTransfer(m *consensus.Message) {
	if t := r.transfer; t != nil && t.message.To == m.To && t.message.Term == m.Term {
		return
	}
	r.transfer = &transfer{message: m, crc: convert.SnapshotCRC(m.Snapshot.Data)}
	r.log.Info("snapshot transfer started", zap.Stringer("peer", m.To),
		zap.Uint64("index", m.Snapshot.Index), zap.Int("bytes", len(m.Snapshot.Data)))
	r.sendChunk()
}

func (r *senderRun) sendChunk() {
	t := r.transfer
	t.sentAt = time.Now()
	if r.conn != nil {
		_ = r.conn.SendData(frame(convert.SnapshotChunkToWire(t.message, t.offset, chunkBytes, t.crc)))
	}
}

func (r *senderRun) acknowledged(ack *wire.SnapshotChunk) {
	t := r.transfer
	if t == nil || ack.GetIndex() != t.message.Snapshot.Index || ack.GetTerm() != t.message.Snapshot.Term {
		return
	}
	t.attempts = 0
	if ack.GetOffset() >= uint64(len(t.message.Snapshot.Data)) {
		r.transfer = nil
		return
	}
	t.offset = int(ack.GetOffset())
	r.sendChunk()
}

func (r *senderRun) resend() {
	t := r.transfer
	if t == nil || time.Since(t.sentAt) < chunkTimeout {
		return
	}
	if t.attempts++; t.attempts >= chunkAttempts {
		r.log.Warn("snapshot transfer abandoned", zap.Stringer("peer", t.message.To), zap.Int("offset", t.offset))
		r.transfer = nil
		return
	}
	r.sendChunk()
}

func frame(r *wire.Replication) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Replication{Replication: r}}
}

func stateFrame(s *replica.PeerState) *wire.Frame {
	r := &wire.Replication{
		Type:   convert.ReplicationPeerState,
		From:   convert.ReplicaToWire(s.ID),
		Group:  s.Group,
		Reject: s.Bootstrapping,
	}
	if s.Ask {
		r.Context = 1
	}
	if len(s.Membership.Members) > 0 {
		r.Entries = []*wire.Entry{{Kind: uint32(consensus.EntryMembership), Data: s.Membership.Encode()}}
	}
	return frame(r)
}

func ackFrame(a *replica.ChunkAck) *wire.Frame {
	return frame(&wire.Replication{
		Type:     convert.ReplicationSnapshotChunkAck,
		From:     convert.ReplicaToWire(a.From),
		Snapshot: &wire.SnapshotChunk{Index: a.Index, Term: a.Term, Offset: a.Offset},
	})
}

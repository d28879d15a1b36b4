package convert

import (
	"hash/crc32"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/wire"
)

// Types of wire.Replication in addition to those of consensus.MessageType.
const (
	ReplicationPeerState        uint32 = 100 + iota // state of a member, for bootstrap
	ReplicationSnapshotChunk                        // part of a snapshot
	ReplicationSnapshotChunkAck                     // offset that the receiver expects next
)

// MessageToWire encodes a consensus message without its snapshot.
func MessageToWire(m *consensus.Message) *wire.Replication {
	r := &wire.Replication{
		Type:     uint32(m.Type),
		Term:     m.Term,
		From:     ReplicaToWire(m.From),
		To:       ReplicaToWire(m.To),
		LogIndex: m.LogIndex,
		LogTerm:  m.LogTerm,
		Commit:   m.Commit,
		Reject:   m.Reject,
		Hint:     m.Hint,
		Context:  m.Context,
		Group:    m.Group,
	}
	for _, e := range m.Entries {
		r.Entries = append(r.Entries, &wire.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return r
}

// MessageFromWire decodes a consensus message without its snapshot.
func MessageFromWire(r *wire.Replication) *consensus.Message {
	m := &consensus.Message{
		Type:     consensus.MessageType(r.GetType()),
		Term:     r.GetTerm(),
		From:     ReplicaFromWire(r.GetFrom()),
		To:       ReplicaFromWire(r.GetTo()),
		LogIndex: r.GetLogIndex(),
		LogTerm:  r.GetLogTerm(),
		Commit:   r.GetCommit(),
		Reject:   r.GetReject(),
		Hint:     r.GetHint(),
		Context:  r.GetContext(),
		Group:    r.GetGroup(),
	}
	for _, e := range r.GetEntries() {
		m.Entries = append(m.Entries, consensus.Entry{
			Index: e.GetIndex(),
			Term:  e.GetTerm(),
			Kind:  consensus.EntryKind(e.GetKind()),
			Data:  e.GetData(),
		})
	}
	return m
}

// ReplicaToWire encodes a replica id.
func ReplicaToWire(r consensus.ReplicaID) *wire.ReplicaID {
	return &wire.ReplicaID{Id: r.ID, Incarnation: r.Incarnation}
}

// ReplicaFromWire decodes a replica id.
func ReplicaFromWire(r *wire.ReplicaID) consensus.ReplicaID {
	return consensus.ReplicaID{ID: r.GetId(), Incarnation: r.GetIncarnation()}
}

// SnapshotChunkToWire encodes the chunk of the snapshot of m that starts at offset
// and has at most limit bytes. crc is the checksum of all data of the snapshot.
func SnapshotChunkToWire(m *consensus.Message, offset, limit int, crc uint32) *wire.Replication {
	r := MessageToWire(m)
	s := m.Snapshot
	r.Type = ReplicationSnapshotChunk
	r.Snapshot = &wire.SnapshotChunk{
		Index:      s.Index,
		Term:       s.Term,
		Offset:     uint64(offset),
		Total:      uint64(len(s.Data)),
		Data:       s.Data[offset:min(offset+limit, len(s.Data))],
		Membership: s.Membership.Encode(),
		Crc:        crc,
	}
	return r
}

// SnapshotFromChunks decodes a snapshot that was received in chunks: r is the
// last chunk and data is the data of all of them. It returns ErrDamaged when data
// does not have the length or the checksum in r.
func SnapshotFromChunks(r *wire.Replication, data []byte) (*consensus.Message, error) {
	c := r.GetSnapshot()
	if uint64(len(data)) != c.GetTotal() || crc32.Checksum(data, castagnoli) != c.GetCrc() {
		return nil, ErrDamaged
	}
	membership, err := consensus.DecodeMembership(c.GetMembership())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m := MessageFromWire(r)
	m.Type = consensus.MsgSnapshot
	m.Snapshot = &consensus.Snapshot{Index: c.GetIndex(), Term: c.GetTerm(), Membership: membership, Data: data}
	return m, nil
}

// SnapshotCRC returns the checksum of all data of a snapshot.
func SnapshotCRC(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

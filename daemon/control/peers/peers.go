// Package peers supervises the links to the other control members.
//
// Each member dials every other one and sends on the link that it has dialed; it
// receives on the links that the others have dialed. There are two duties for each
// other member: the sender owns the dialed link and the snapshot that is being
// sent, and the receiver reassembles received snapshots.
package peers

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/wire/convert"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peers")

// Options configure the links.
type Options struct {
	Self     consensus.ReplicaID
	Zone     string
	Members  []settings.Member // including this one
	Observer supervise.Observer
	Log      *zap.Logger

	// Address returns the address of a member that the settings do not name. It is
	// nil if the settings name all members.
	Address func(id string) (string, error)

	HeartbeatInterval time.Duration // between heartbeats; 0 for the default of package link
	SilenceTimeout    time.Duration // time after which a silent link is closed; 0 for the default of package link
}

// Peers is the supervisor of the links and their handler.
type Peers struct {
	*supervise.Supervisor
	options Options
	events  *ring.Ring[replica.Event]
	members atomic.Pointer[map[string]*member] // replaced as a whole when a member is added
	log     *zap.Logger
}

// member holds the rings of one other member.
type member struct {
	id     string
	out    *ring.Ring[replica.Outgoing]
	links  *ring.Ring[linkEvent]
	acks   *ring.Ring[*wire.SnapshotChunk]
	chunks *ring.Ring[*wire.Replication]
}

// linkEvent tells the sender that the dialed link is up or down.
type linkEvent struct {
	conn *link.Conn
	up   bool
}

// New returns the supervisor. It connects the outgoing rings of the replica to the
// links, and the links to the replica's ring of events.
func New(o Options, r *replica.Duty) *Peers {
	p := &Peers{
		Supervisor: supervise.New("peers", supervise.Policy{MaxFailures: supervise.Unlimited}, o.Observer),
		options:    o,
		events:     r.Events,
		log:        o.Log,
	}
	members := map[string]*member{}
	for _, s := range o.Members {
		if s.ID == o.Self.ID {
			continue
		}
		m := newMember(s, r.Outgoing(s.ID))
		members[s.ID] = m
		for _, d := range p.duties(s.Address, m) {
			p.Add(d.name, d.duty)
		}
	}
	p.members.Store(&members)
	return p
}

func (p *Peers) member(id string) *member { return (*p.members.Load())[id] }

// EnsureMember starts the link to a member that the settings do not name, unless it
// exists. Options.Address maps the id to the address.
func (p *Peers) EnsureMember(ctx context.Context, id string) error {
	if id == p.options.Self.ID || p.member(id) != nil || p.options.Address == nil {
		return nil
	}
	address, err := p.options.Address(id)
	if err != nil {
		return Error.New("step=ensure peer=%s: %w", id, err)
	}
	m := newMember(settings.Member{ID: id, Address: address}, replica.NewOutgoing(id))
	if !p.store(m) {
		return nil // added by another link meanwhile
	}
	if err := put(ctx, p.events, replica.Event{Peer: &replica.Peer{ID: id, Out: m.out}}); err != nil {
		return err
	}
	p.log.Info("control member added", zap.String("peer", id), zap.String("addr", address))
	own := supervise.New("peer "+id, supervise.Policy{MaxFailures: supervise.Unlimited}, p.options.Observer)
	for _, d := range p.duties(address, m) {
		own.Add(d.name, d.duty)
	}
	return p.StartTemporary(ctx, "peer "+id, own)
}

// store adds m unless a member with its id exists.
func (p *Peers) store(m *member) bool {
	for {
		old := p.members.Load()
		if (*old)[m.id] != nil {
			return false
		}
		next := maps.Clone(*old)
		next[m.id] = m
		if p.members.CompareAndSwap(old, &next) {
			return true
		}
	}
}

type namedDuty struct {
	name string
	duty supervise.Duty
}

func newMember(s settings.Member, out *ring.Ring[replica.Outgoing]) *member {
	return &member{
		id:     s.ID,
		out:    out,
		links:  ring.New[linkEvent]("peer."+s.ID+".links", 16),
		acks:   ring.New[*wire.SnapshotChunk]("peer."+s.ID+".acks", 16),
		chunks: ring.New[*wire.Replication]("peer."+s.ID+".chunks", 16),
	}
}

// duties returns the duties for one member.
func (p *Peers) duties(address string, m *member) []namedDuty {
	o := p.options
	dialer := link.NewDialer(address, link.Options{
		Local: link.Identity{
			Role:        wire.Role_ROLE_CONTROL,
			ID:          o.Self.ID,
			Zone:        o.Zone,
			Incarnation: o.Self.Incarnation,
		},
		Accept:   []wire.Role{wire.Role_ROLE_CONTROL},
		Observer: o.Observer,

		HeartbeatInterval: o.HeartbeatInterval,
		SilenceTimeout:    o.SilenceTimeout,
	}, &dialedLink{peers: p, member: m})
	return []namedDuty{
		{"dialer " + m.id, dialer},
		{"sender " + m.id, &sender{member: m, log: o.Log}},
		{"receiver " + m.id, &receiver{member: m, events: p.events, log: o.Log}},
	}
}

// dialedLink handles the link that this member has dialed to another member.
type dialedLink struct {
	peers  *Peers
	member *member
}

// Up implements link.Handler.
func (d *dialedLink) Up(ctx context.Context, c *link.Conn) error {
	if c.Peer().ID != d.member.id {
		return Error.New("step=up peer=%s: the address belongs to member %s", d.member.id, c.Peer().ID)
	}
	if err := d.peers.Up(ctx, c); err != nil {
		return err
	}
	return put(ctx, d.member.links, linkEvent{conn: c, up: true})
}

// Frame implements link.Handler.
func (d *dialedLink) Frame(ctx context.Context, c *link.Conn, f *wire.Frame) error {
	return d.peers.Frame(ctx, c, f)
}

// Down implements link.Handler. Without the event the replica counts the silence of the
// member later, which is safe, so that a full ring may drop it.
func (d *dialedLink) Down(c *link.Conn, _ error) {
	_ = put(context.Background(), d.member.links, linkEvent{conn: c})
	_ = d.peers.events.Offer(replica.Event{Down: &consensus.ReplicaID{ID: c.Peer().ID, Incarnation: c.Peer().Incarnation}})
}

// Up implements link.Handler for the links that other members have dialed.
func (p *Peers) Up(ctx context.Context, c *link.Conn) error {
	id := consensus.ReplicaID{ID: c.Peer().ID, Incarnation: c.Peer().Incarnation}
	if err := p.EnsureMember(ctx, id.ID); err != nil {
		return err
	}
	if p.member(id.ID) == nil || id.Incarnation == 0 {
		return Error.New("step=up peer=%s: not a control member named in the settings", id)
	}
	return put(ctx, p.events, replica.Event{Up: &id})
}

// Down implements link.Handler.
func (p *Peers) Down(*link.Conn, error) {}

// Frame implements link.Handler.
func (p *Peers) Frame(ctx context.Context, c *link.Conn, f *wire.Frame) error {
	r := f.GetReplication()
	if r == nil {
		return Error.New("step=receive peer=%s: unexpected frame %T", c.Peer().ID, f.GetBody())
	}
	from := convert.ReplicaFromWire(r.GetFrom())
	if from.ID != c.Peer().ID || from.Incarnation != c.Peer().Incarnation {
		return Error.New("step=receive peer=%s: message from replica %s", c.Peer().ID, from)
	}
	if r.GetType() == convert.ReplicationPeerState {
		return p.receiveState(ctx, from, r)
	}
	p.receive(p.member(from.ID), from, r)
	return nil
}

// receiveState passes the state of a peer to the replica, and opens links to the
// members that it names.
func (p *Peers) receiveState(ctx context.Context, from consensus.ReplicaID, r *wire.Replication) error {
	state := &replica.PeerState{
		ID:            from,
		Group:         r.GetGroup(),
		Bootstrapping: r.GetReject(),
		Ask:           r.GetContext() != 0,
	}
	for _, e := range r.GetEntries() {
		m, err := consensus.DecodeMembership(e.GetData())
		if err != nil {
			return Error.New("step=receive peer=%s: %w", from, err)
		}
		state.Membership = m
	}
	_ = p.events.Offer(replica.Event{State: state})
	for _, m := range state.Membership.Members {
		if err := p.EnsureMember(ctx, m.ID.ID); err != nil {
			p.log.Warn("linking control member failed", zap.String("peer", m.ID.ID), zap.Stringer("named_by", from), zap.Error(err))
		}
	}
	return nil
}

// receive passes r to its duty. A full ring drops it: consensus and the snapshot
// transfer send it again.
func (p *Peers) receive(m *member, from consensus.ReplicaID, r *wire.Replication) {
	switch r.GetType() {
	case convert.ReplicationSnapshotChunk:
		_ = m.chunks.Offer(r)
	case convert.ReplicationSnapshotChunkAck:
		_ = m.acks.Offer(r.GetSnapshot())
	default:
		_ = p.events.Offer(replica.Event{Message: convert.MessageFromWire(r)})
	}
}

func put[T any](ctx context.Context, to *ring.Ring[T], v T) error {
	return to.PutWithin(ctx, link.EventTimeout, v)
}

// Package peers is the supervisor of the links to the other control members.
//
// This member dials every other one and sends on that link; what it receives
// comes on the links that the others have dialed. Each member has a sender duty,
// which owns the dialed link and the snapshot that is being sent, and a receiver
// duty, which puts received snapshots together.
package peers

import (
	"context"
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
	Members  []settings.Member // with this one
	Observer supervise.Observer
	Log      *zap.Logger

	Heartbeat time.Duration // between heartbeats; 0 for the default of package link
	Silence   time.Duration // after which a link is closed; 0 for the default of package link
}

// Peers is the supervisor and the handler of the links.
type Peers struct {
	*supervise.Supervisor
	events  *ring.Ring[replica.Event]
	members map[string]*member
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

// New returns the supervisor. Messages go from the replica's outgoing rings to
// the links, and from the links to its ring of events.
func New(o Options, r *replica.Duty) *Peers {
	p := &Peers{
		Supervisor: supervise.New("peers", supervise.Policy{Intensity: supervise.Unlimited}, o.Observer),
		events:     r.Events,
		members:    map[string]*member{},
		log:        o.Log,
	}
	for _, m := range o.Members {
		if m.ID != o.Self.ID {
			p.add(o, m, r.Outgoing(m.ID))
		}
	}
	return p
}

func (p *Peers) add(o Options, s settings.Member, out *ring.Ring[replica.Outgoing]) {
	m := &member{
		id:     s.ID,
		out:    out,
		links:  ring.New[linkEvent]("peer."+s.ID+".links", 16),
		acks:   ring.New[*wire.SnapshotChunk]("peer."+s.ID+".acks", 16),
		chunks: ring.New[*wire.Replication]("peer."+s.ID+".chunks", 16),
	}
	p.members[s.ID] = m
	p.Add("dialer "+s.ID, link.NewDialer(s.Address, link.Options{
		Local: link.Identity{
			Role:        wire.Role_ROLE_CONTROL,
			ID:          o.Self.ID,
			Zone:        o.Zone,
			Incarnation: o.Self.Incarnation,
		},
		Accept:   []wire.Role{wire.Role_ROLE_CONTROL},
		Observer: o.Observer,

		HeartbeatInterval: o.Heartbeat,
		SilenceTimeout:    o.Silence,
	}, &dialed{peers: p, member: m}))
	p.Add("sender "+s.ID, &sender{member: m, log: o.Log})
	p.Add("receiver "+s.ID, &receiver{member: m, events: p.events, log: o.Log})
}

// dialed handles the link that this member has dialed to one other member.
type dialed struct {
	peers  *Peers
	member *member
}

// Up implements link.Handler.
func (d *dialed) Up(ctx context.Context, c *link.Conn) error {
	if c.Peer().ID != d.member.id {
		return Error.New("step=up peer=%s: address belongs to %s", d.member.id, c.Peer().ID)
	}
	if err := d.peers.Up(ctx, c); err != nil {
		return err
	}
	return put(ctx, d.member.links, linkEvent{conn: c, up: true})
}

// Frame implements link.Handler.
func (d *dialed) Frame(ctx context.Context, c *link.Conn, f *wire.Frame) error {
	return d.peers.Frame(ctx, c, f)
}

// Down implements link.Handler.
func (d *dialed) Down(c *link.Conn, _ error) {
	_ = put(context.Background(), d.member.links, linkEvent{conn: c})
}

// Up implements link.Handler for links that other members have dialed.
func (p *Peers) Up(ctx context.Context, c *link.Conn) error {
	id := consensus.ReplicaID{ID: c.Peer().ID, Incarnation: c.Peer().Incarnation}
	if p.members[id.ID] == nil || id.Incarnation == 0 {
		return Error.New("step=up peer=%s: not a control member of the settings", id)
	}
	return put(ctx, p.events, replica.Event{Up: &id})
}

// Down implements link.Handler.
func (p *Peers) Down(*link.Conn, error) {}

// Frame implements link.Handler.
func (p *Peers) Frame(_ context.Context, c *link.Conn, f *wire.Frame) error {
	r := f.GetReplication()
	if r == nil {
		return Error.New("step=receive peer=%s: unexpected frame %T", c.Peer().ID, f.GetBody())
	}
	from := convert.ReplicaFromWire(r.GetFrom())
	if from.ID != c.Peer().ID || from.Incarnation != c.Peer().Incarnation {
		return Error.New("step=receive peer=%s: message of %s", c.Peer().ID, from)
	}
	p.receive(p.members[from.ID], from, r)
	return nil
}

// receive hands r to the duty it is for. A full ring drops it: consensus and the
// snapshot transfer send again.
func (p *Peers) receive(m *member, from consensus.ReplicaID, r *wire.Replication) {
	switch r.GetType() {
	case convert.ReplicationState:
		_ = p.events.Offer(replica.Event{State: &replica.PeerState{
			ID:            from,
			Group:         r.GetGroup(),
			Bootstrapping: r.GetReject(),
			Ask:           r.GetContext() != 0,
		}})
	case convert.ReplicationChunk:
		_ = m.chunks.Offer(r)
	case convert.ReplicationChunkAck:
		_ = m.acks.Offer(r.GetSnapshot())
	default:
		_ = p.events.Offer(replica.Event{Message: convert.MessageFromWire(r)})
	}
}

func put[T any](ctx context.Context, to *ring.Ring[T], v T) error {
	return to.PutWithin(ctx, link.EventTimeout, v)
}

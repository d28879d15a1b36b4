package replica

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/logwriter"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replica")

// Capacities of the rings.
const (
	inputCapacity    = 4096
	updateCapacity   = 1024
	eventCapacity    = 4096
	outgoingCapacity = 1024
	drainCapacity    = 4
	// maxInputsPerStep bounds the inputs of each ring in one step, so that a burst
	// of them does not delay heartbeats.
	maxInputsPerStep = 1024
)

// MaxCommandBytes bounds the size of a command. A larger one could exceed the
// largest frame, which would close the links to the other members repeatedly.
const MaxCommandBytes = wire.MaxFrameBytes / 2

// PeerState is the state that a control member reports about itself.
type PeerState struct {
	ID            consensus.ReplicaID
	Group         uint64 // 0 if it has no state
	Membership    consensus.Membership
	Bootstrapping bool
	Ask           bool // requests the state of the receiver
}

// Outgoing is a message to another member. Exactly one field is set.
type Outgoing struct {
	Message  *consensus.Message
	State    *PeerState
	ChunkAck *ChunkAck
}

// ChunkAck requests the part of a snapshot that starts at Offset.
type ChunkAck struct {
	From   consensus.ReplicaID
	Index  uint64
	Term   uint64
	Offset uint64
}

// Event is an event from another member. Exactly one field is set.
type Event struct {
	Message *consensus.Message
	State   *PeerState
	Up      *consensus.ReplicaID // a link to this replica is established
	Down    *consensus.ReplicaID // the link that this member has dialed to the replica has ended
	Peer    *Peer
}

// Peer is another member that the settings do not name.
type Peer struct {
	ID  string
	Out *ring.Ring[Outgoing]
}

// NewOutgoing returns the ring of messages to the member with the id.
func NewOutgoing(id string) *ring.Ring[Outgoing] {
	return ring.New[Outgoing]("peer."+id+".out", outgoingCapacity)
}

// Options configure the duty.
type Options struct {
	Self            consensus.ReplicaID
	Members         []string // ids of the control members in the settings, including this one
	DesiredVoters   int      // voters to keep if the settings do not name the members; 0 for all that they name
	Tick            time.Duration
	ElectionTicks   int
	SnapshotEntries int
	SnapshotBytes   int64 // bytes of entries after which a snapshot is taken earlier; 0 for no limit
	Log             *zap.Logger
}

// Duty drives the consensus state machine. Only its thread uses the node.
type Duty struct {
	Inputs  *ring.Ring[Input]
	Updates *ring.Ring[Update]
	Events  *ring.Ring[Event]

	options Options
	writer  *ring.Ring[logwriter.Request]
	peers   map[string]*ring.Ring[Outgoing]
	drains  *ring.Ring[*ring.Ring[error]]
}

// New returns the duty. It submits batches to the ring of the log writer.
func New(o Options, writer *ring.Ring[logwriter.Request]) *Duty {
	d := &Duty{
		Inputs:  ring.New[Input]("replica.in", inputCapacity),
		Updates: ring.New[Update]("applier.committed", updateCapacity),
		Events:  ring.New[Event]("replica.events", eventCapacity),
		options: o,
		writer:  writer,
		peers:   map[string]*ring.Ring[Outgoing]{},
		drains:  ring.New[*ring.Ring[error]]("replica.drains", drainCapacity),
	}
	for _, id := range o.Members {
		if id != o.Self.ID {
			d.peers[id] = NewOutgoing(id)
		}
	}
	return d
}

// Outgoing returns the ring of messages to the member. If the ring is full, the
// replica drops the oldest message.
func (d *Duty) Outgoing(id string) *ring.Ring[Outgoing] { return d.peers[id] }

// Drain transfers leadership and returns once this replica does not lead.
func (d *Duty) Drain(ctx context.Context) error {
	reply := ring.New[error]("replica.drain", 1)
	if err := d.drains.Put(ctx, reply); err != nil {
		return Error.New("step=drain: %w", err)
	}
	err, takeErr := reply.Take(ctx)
	if takeErr != nil {
		return Error.New("step=drain: leadership not transferred: %w", takeErr)
	}
	return err
}

// Run recovers the state and drives the node until ctx ends.
//
// Updates that the applier has not taken when Run returns are dropped: the next run
// starts with a snapshot that replaces the state of the applier.
func (d *Duty) Run(ctx context.Context) error {
	defer d.Updates.Drain(nil, updateCapacity)
	session := logwriter.NewSession()
	if err := d.writer.Put(ctx, logwriter.Request{Open: session}); err != nil {
		return nil
	}
	recovered, err := session.Recovered.Take(ctx)
	if err != nil {
		return nil
	}
	r := &run{
		duty:             d,
		session:          session,
		seenIncarnations: map[string]uint64{},
		unlinked:         map[consensus.ReplicaID]bool{},
		silentTicks:      map[consensus.ReplicaID]int{},
	}
	if err := r.start(ctx, recovered.State); err != nil {
		return err
	}
	return r.loop(ctx)
}

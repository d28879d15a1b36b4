// Package control is the supervisor of the control role. Its core consists of the
// log writer, the replica and the applier, which restart together because their
// state is rebuilt from the same files. Its other children are the links to the
// other control members and the server for clients.
package control

import (
	"cmp"
	"context"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/logwriter"
	"github.com/ibispier/ibispier/daemon/control/peers"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

// Restart policies of the role and of its core.
var (
	rolePolicy = supervise.Policy{MaxFailures: 3}
	corePolicy = supervise.Policy{Strategy: supervise.OneForAll, MaxFailures: 3}
)

// Role is the control role of a process.
type Role struct {
	// Inputs carries requests to the replica. Producers must not block: they offer an
	// input and handle a full ring.
	Inputs *ring.Ring[replica.Input]
	// Updates carries the updates of the replica to the applier.
	Updates *ring.Ring[replica.Update]

	settings *settings.Settings
	log      *zap.Logger
	observer supervise.Observer

	folder    *datafolder.Folder
	socket    *link.Socket
	writer    *logwriter.Duty
	replica   *replica.Duty
	peerLinks *peers.Peers
	clients   link.Handler
	core      []namedDuty
}

type namedDuty struct {
	name string
	duty supervise.Duty
}

// New locks the data folder, opens the listening socket and returns the role. The log
// and the snapshots are kept in files.
func New(s *settings.Settings, log *zap.Logger, observer supervise.Observer, files datafolder.FileSystem) (*Role, error) {
	r := &Role{settings: s, log: log, observer: observer}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.writer = logwriter.New(logwriter.Options{
		Files:       files,
		Dir:         r.folder.Path,
		Incarnation: r.folder.Incarnation,
		Log:         log,

		SegmentBytes: diskBytes(s) / diskSegments,
	})
	r.replica = replica.New(replica.Options{
		Self:            r.Self(),
		Members:         memberIDs(s.Cluster.Control),
		DesiredVoters:   desiredVoters(s),
		Tick:            s.Control.TickInterval,
		ElectionTicks:   s.Control.ElectionTicks,
		SnapshotEntries: s.Control.SnapshotEntries,
		SnapshotBytes:   diskBytes(s) / diskSnapshotIntervals,
		Log:             log,
	}, r.writer.Requests)
	r.Inputs, r.Updates = r.replica.Inputs, r.replica.Updates
	r.peerLinks = r.newPeers()
	return r, nil
}

const (
	// defaultDiskMB is the disk size that is assumed where the settings name none.
	defaultDiskMB = 128
	// diskSnapshotIntervals is how often the bytes of entries between two snapshots
	// fit on the disk. The log covers two intervals and what arrives while a snapshot
	// is being saved; three snapshots and a reserve need the rest.
	diskSnapshotIntervals = 8
	// diskSegments is how many segments of the log fit on the disk. Only whole
	// segments are removed.
	diskSegments = 32
)

// diskBytes returns the size of the disk that the log and the snapshots share.
func diskBytes(s *settings.Settings) int64 { return cmp.Or(s.Control.DiskMB, defaultDiskMB) << 20 }

// desiredVoters returns the number of voters to maintain where members join and
// leave at run time: the smallest group that survives the tolerated number of
// losses. It returns 0 where the settings name all members.
func desiredVoters(s *settings.Settings) int {
	if len(s.Cluster.Seeds) == 0 {
		return 0
	}
	return 2*s.Jobs.ToleratedDiskLosses + 1
}

func memberIDs(members []settings.Member) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

func (r *Role) open() error {
	folder, err := datafolder.Open(r.settings.Daemon.DataFolder)
	if err != nil {
		return Error.New("step=open: %w", err)
	}
	if r.folder != nil && r.folder.Incarnation != folder.Incarnation {
		_ = folder.Close()
		return supervise.Fatal(Error.New("step=open path=%s: data folder was replaced while running", folder.Path))
	}
	socket, err := link.Listen(r.settings.Control.Listen, r.settings.Bounds().Links)
	if err != nil {
		_ = folder.Close()
		return Error.Wrap(err)
	}
	r.folder, r.socket = folder, socket
	return nil
}

// Self returns the identity of this replica.
func (r *Role) Self() consensus.ReplicaID {
	return consensus.ReplicaID{ID: r.settings.Daemon.ID, Incarnation: r.folder.Incarnation}
}

// AddCoreDuty adds a duty that restarts together with the replica, such as the
// applier. It must be called before Run.
func (r *Role) AddCoreDuty(name string, d supervise.Duty) {
	r.core = append(r.core, namedDuty{name, d})
}

// SetClientHandler sets the handler of the links from entry instances, agents and
// operators. It must be called before Run. Without a handler, these links are
// refused.
func (r *Role) SetClientHandler(h link.Handler) { r.clients = h }

// Drain transfers leadership to another member.
func (r *Role) Drain(ctx context.Context) error { return r.replica.Drain(ctx) }

// Run runs the role until ctx ends. It closes the data folder and the socket when it
// returns, and opens them again when the role is restarted.
func (r *Role) Run(ctx context.Context) error {
	if r.socket == nil {
		if err := r.open(); err != nil {
			return err
		}
	}
	defer r.close()
	return r.newSupervisor().Run(ctx)
}

func (r *Role) close() {
	_ = r.socket.Close()
	_ = r.folder.Close()
	r.socket = nil
}

func (r *Role) newSupervisor() *supervise.Supervisor {
	core := supervise.New("control.core", corePolicy, r.observer)
	core.Add("logwriter", supervise.OnOSThread(r.writer))
	core.Add("replica", r.replica)
	for _, d := range r.core {
		core.Add(d.name, d.duty)
	}
	peerLinks := r.peerLinks
	role := supervise.New("control", rolePolicy, r.observer)
	role.Add("core", core)
	role.Add("peers", peerLinks)
	role.Add("server", r.newListener(peerLinks))
	return role
}

func (r *Role) newPeers() *peers.Peers {
	o := peers.Options{
		Self:    r.Self(),
		Zone:    r.settings.Daemon.Zone,
		Members: r.settings.Cluster.Control,

		HeartbeatInterval: r.settings.Cluster.HeartbeatInterval,
		SilenceTimeout:    r.settings.Cluster.SilenceTimeout,

		Observer: r.observer,
		Log:      r.log,
	}
	if len(r.settings.Cluster.Seeds) > 0 {
		o.Address = r.settings.Cluster.MemberAddress
	}
	return peers.New(o, r.replica)
}

// EnsureMembers opens links to those of the members that are not linked yet. It is
// used where members join that the settings do not name.
func (r *Role) EnsureMembers(ctx context.Context, ids []string) error {
	for _, id := range ids {
		if err := r.peerLinks.EnsureMember(ctx, id); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (r *Role) newListener(peerLinks *peers.Peers) *supervise.Supervisor {
	handler := &roleHandler{peers: peerLinks, clients: r.clients}
	return link.NewListener("control.server", r.socket, link.Options{
		Local: link.Identity{
			Role:        wire.Role_ROLE_CONTROL,
			ID:          r.settings.Daemon.ID,
			Zone:        r.settings.Daemon.Zone,
			Incarnation: r.folder.Incarnation,
		},
		Accept:        handler.acceptedRoles(),
		MaxHandshakes: r.settings.Bounds().Handshakes,
		Observer:      r.observer,

		HeartbeatInterval: r.settings.Cluster.HeartbeatInterval,
		SilenceTimeout:    r.settings.Cluster.SilenceTimeout,
	}, handler)
}

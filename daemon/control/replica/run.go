package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/logwriter"
	"github.com/ibispier/ibispier/ring"
)

// run is the state of one run of the duty.
type run struct {
	duty          *Duty
	session       *logwriter.Session
	node          *consensus.Node
	proposals     [][]byte
	pendingUpdate Update // not sent to the applier yet
	lastSubmitted uint64 // sequence of the last batch given to the log writer
	synced        uint64 // sequence of the last synced batch
	readOnly      bool
	ticks         int

	seenIncarnations map[string]uint64            // newest incarnation of each other member
	unlinked         map[consensus.ReplicaID]bool // replicas whose link has ended and is not up again
	silentTicks      map[consensus.ReplicaID]int  // ticks for which each member has been silent
	bootstrap        *bootstrapRequest            // nil unless a bootstrap is in progress
	bootstrapped     bool                         // a bootstrap has succeeded in this run
	pendingChanges   []pendingChange              // requests that wait for their entry to be committed
	drainReplies     []*ring.Ring[error]

	status              Status // last status sent
	statusAgeTicks      int    // ticks since the last status was sent
	snapshotRequestedAt uint64 // index at which a snapshot was last requested
	lastSnapshot        uint64
	appliedBytes        int64 // bytes of the entries applied since a snapshot was last requested
}

// start initializes the node and the applier with the recovered state.
func (r *run) start(ctx context.Context, s consensus.State) error {
	o := r.duty.options
	node, err := consensus.New(consensus.Config{
		Self:            o.Self,
		ElectionTicks:   o.ElectionTicks,
		TrailingEntries: uint64(max(o.SnapshotEntries/4, 1)),
		Seed:            rand.Uint64(),
	}, s)
	if err != nil {
		return Error.Wrap(err)
	}
	r.node = node
	r.lastSubmitted, r.synced = 0, 0
	r.lastSnapshot = s.Snapshot.Index
	r.pendingUpdate = Update{Snapshot: &SnapshotData{Index: s.Snapshot.Index, Data: s.Snapshot.Data}}
	return r.flush(ctx)
}

func (r *run) loop(ctx context.Context) error {
	ticker := time.NewTicker(r.duty.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.tick()
		case in := <-r.duty.Inputs.C():
			r.handleInput(in)
		case e := <-r.duty.Events.C():
			r.handleEvent(e)
		case done := <-r.session.SyncResults.C():
			r.handleSyncResult(done)
		case reply := <-r.duty.drains.C():
			r.drainReplies = append(r.drainReplies, reply)
		}
		r.drainRings()
		if err := r.step(ctx); err != nil {
			return err
		}
	}
}

// drainRings handles the inputs that have arrived meanwhile, so that they share one
// batch.
func (r *run) drainRings() {
	for _, done := range r.session.SyncResults.Drain(nil, maxInputsPerStep) {
		r.handleSyncResult(done)
	}
	for _, e := range r.duty.Events.Drain(nil, maxInputsPerStep) {
		r.handleEvent(e)
	}
	for _, in := range r.duty.Inputs.Drain(nil, maxInputsPerStep) {
		r.handleInput(in)
	}
}

// step carries out the work that the inputs have requested.
func (r *run) step(ctx context.Context) error {
	r.propose()
	if err := r.advanceBootstrap(ctx); err != nil {
		return err
	}
	r.answerDrains()
	return r.flush(ctx)
}

func (r *run) tick() {
	r.ticks++
	r.statusAgeTicks++
	r.node.Tick()
	r.updateSilentTicks()
	if r.ticks%reconcileTicks == 0 {
		r.reconcile()
		r.requestPeerStates()
	}
	if r.ticks%findLeaderTicks == 0 {
		r.findLeader()
	}
}

func (r *run) handleInput(in Input) {
	switch {
	case len(in.Propose) > MaxCommandBytes:
		r.duty.options.Log.Error("command dropped: too large", zap.Int("bytes", len(in.Propose)))
	case in.Propose != nil:
		r.proposals = append(r.proposals, in.Propose)
	case in.ReadContext != 0:
		if err := r.node.Read(in.ReadContext); err != nil {
			r.duty.options.Log.Debug("read rejected", zap.Error(err))
		}
	case in.Snapshot != nil:
		r.takeSnapshot(in.Snapshot)
	case in.MemberChange != nil:
		r.changeMembers(*in.MemberChange)
	}
}

// propose appends the commands that have arrived, as one group.
func (r *run) propose() {
	if len(r.proposals) == 0 {
		return
	}
	if !r.readOnly {
		if err := r.node.Propose(r.proposals...); err != nil {
			r.duty.options.Log.Debug("proposals rejected", zap.Int("count", len(r.proposals)), zap.Error(err))
		}
	}
	r.proposals = nil
}

func (r *run) handleEvent(e Event) {
	switch {
	case e.Message != nil:
		r.node.Step(*e.Message)
	case e.State != nil:
		r.handlePeerState(*e.State)
	case e.Up != nil:
		r.seenIncarnations[e.Up.ID] = e.Up.Incarnation
		delete(r.unlinked, *e.Up)
	case e.Down != nil:
		r.unlinked[*e.Down] = true
	case e.Peer != nil:
		r.duty.peers[e.Peer.ID] = e.Peer.Out
	}
}

func (r *run) handleSyncResult(d logwriter.SyncResult) {
	r.readOnly = d.DiskFull
	if d.DiskFull {
		return
	}
	r.synced = d.Sequence
	r.node.MarkSynced(d.Sequence)
}

func (r *run) takeSnapshot(s *SnapshotData) {
	if err := r.node.CreateSnapshot(s.Index, s.Data); err != nil {
		r.duty.options.Log.Warn("snapshot rejected", zap.Error(err))
	}
}

// flush distributes the output of the node: batches to the log writer, messages to
// the peers and updates to the applier.
func (r *run) flush(ctx context.Context) error {
	for r.lastSubmitted-r.synced < logwriter.MaxInFlightBatches {
		out := r.node.TakeOutput()
		if out.Batch != nil {
			r.lastSubmitted = out.Batch.Sequence
			if err := r.duty.writer.Offer(logwriter.Request{Batch: out.Batch}); err != nil {
				return Error.New("step=write: %w", err)
			}
		}
		r.sendAll(out.Messages)
		if done, err := r.sendUpdate(ctx, out); done || err != nil {
			return err
		}
	}
	return nil
}

func (r *run) sendAll(messages []consensus.Message) {
	for i := range messages {
		r.send(messages[i].To.ID, Outgoing{Message: &messages[i]})
	}
}

func (r *run) send(id string, out Outgoing) {
	if to := r.duty.peers[id]; to != nil {
		_ = to.PutLatest(out)
	}
}

// sendUpdate sends an update to the applier. It returns true if there was nothing
// to send.
func (r *run) sendUpdate(ctx context.Context, out consensus.Output) (bool, error) {
	u := r.pendingUpdate
	r.pendingUpdate = Update{}
	if out.InstallSnapshot != nil {
		u.Snapshot = &SnapshotData{Index: out.InstallSnapshot.Index, Data: out.InstallSnapshot.Data}
		r.lastSnapshot, r.appliedBytes = out.InstallSnapshot.Index, 0
	}
	u.Entries = out.Committed
	for _, e := range out.Committed {
		r.appliedBytes += int64(len(e.Data))
	}
	for _, read := range out.Reads {
		u.Reads = append(u.Reads, ReadReady(read))
	}
	u.MemberResults = append(u.MemberResults, r.finishedChanges()...)
	u.Status = r.changedStatus()
	u.SnapshotWanted = r.wantsSnapshot()
	if isEmpty(u) {
		return true, nil
	}
	if err := r.duty.Updates.Put(ctx, u); err != nil {
		return true, nil // ctx has ended
	}
	return false, nil
}

func isEmpty(u Update) bool {
	return u.Snapshot == nil && len(u.Entries) == 0 && len(u.Reads) == 0 &&
		len(u.MemberResults) == 0 && u.Status == nil && !u.SnapshotWanted
}

// wantsSnapshot reports, once for each snapshot, that the log has grown enough, in
// entries or in bytes. The
// members take their first snapshot at different log lengths, so that later ones do
// not coincide either: saving blocks the log writer, and a quorum must be able to
// commit meanwhile.
func (r *run) wantsSnapshot() bool {
	o := r.duty.options
	last := max(r.node.SnapshotIndex(), r.snapshotRequestedAt)
	length := uint64(o.SnapshotEntries)
	size := o.SnapshotBytes
	if last == 0 {
		place := slices.Index(o.Members, o.Self.ID) + 1
		length += length * uint64(place) / 8
		size += size * int64(place) / 8
	}
	isLarge := size > 0 && r.appliedBytes >= size
	if r.node.AppliedIndex() < last+length && !isLarge {
		return false
	}
	r.snapshotRequestedAt, r.appliedBytes = r.node.AppliedIndex(), 0
	return true
}

package replica

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/logwriter"
	"github.com/ibispier/ibispier/datafolder"
)

// Actions of a MemberChange.
const (
	ActionBootstrap = "bootstrap"
	ActionAdmit     = "admit"
	ActionRemove    = "remove"
	ActionTransfer  = "transfer"
)

const (
	// reconcileTicks is how often the leader compares the members with the
	// settings.
	reconcileTicks = 2
	// bootstrapTicks is how long a bootstrap waits for the answers of the other
	// members. A member that has not answered by then counts as not reachable.
	bootstrapTicks = 20
)

// openChange is a request that waits for the entry at index.
type openChange struct {
	context uint64
	index   uint64
	term    uint64
}

// bootstrap is a request to start a group, which waits until every other member
// has answered that it has no state.
type bootstrap struct {
	context  uint64
	deadline int // tick
	waiting  map[string]bool
	err      error
}

func (r *run) changeMembers(c MemberChange) {
	if r.readOnly && c.Action != ActionTransfer {
		r.result(c.Context, Error.New("step=%s: %w", c.Action, datafolder.ErrDiskFull))
		return
	}
	switch c.Action {
	case ActionBootstrap:
		r.startBootstrap(c)
	case ActionAdmit:
		r.finishOrWait(c, func() (uint64, error) { return r.admit(c.ID) })
	case ActionRemove:
		r.finishOrWait(c, func() (uint64, error) { return r.remove(c.ID) })
	case ActionTransfer:
		r.result(c.Context, r.transfer(c.ID))
	default:
		r.result(c.Context, Error.New("step=change: unknown action %q", c.Action))
	}
}

func (r *run) result(context uint64, err error) {
	r.updates.MemberResults = append(r.updates.MemberResults, MemberResult{Context: context, Err: err})
}

func (r *run) finishOrWait(c MemberChange, propose func() (uint64, error)) {
	index, err := propose()
	if err != nil || index == 0 {
		r.result(c.Context, err)
		return
	}
	r.changes = append(r.changes, openChange{context: c.Context, index: index, term: r.node.Term()})
}

// finishedChanges answers the requests whose entry is committed, and all of
// them when the term has ended, because then their outcome is not known here.
func (r *run) finishedChanges() []MemberResult {
	var results []MemberResult
	r.changes = slices.DeleteFunc(r.changes, func(c openChange) bool {
		switch {
		case r.node.Term() != c.term || r.node.Role() != consensus.Leader:
			results = append(results, MemberResult{Context: c.context, Err: consensus.ErrNotLeader})
		case r.node.CommitIndex() >= c.index:
			results = append(results, MemberResult{Context: c.context})
		default:
			return false
		}
		return true
	})
	return results
}

// admit adds the replica that was last seen under the id as a learner. The
// leader promotes it once its log has caught up.
func (r *run) admit(id string) (uint64, error) {
	incarnation, seen := r.seen[id]
	if !seen {
		return 0, Error.New("step=admit peer=%s: no link to it yet", id)
	}
	replica := consensus.ReplicaID{ID: id, Incarnation: incarnation}
	if r.node.Membership().Contains(replica) {
		return 0, nil
	}
	return r.node.ChangeMembership(consensus.Change{Kind: consensus.AddLearner, Replica: replica})
}

func (r *run) remove(id string) (uint64, error) {
	named := r.node.Membership().MembersWithID(id)
	if len(named) == 0 {
		return 0, Error.New("step=remove peer=%s: %w", id, consensus.ErrNoSuchMember)
	}
	return r.node.ChangeMembership(consensus.Change{Kind: consensus.Remove, Replica: named[0].ID, Exclude: true})
}

// transfer hands leadership to the member with the id, or to the best one when
// the id is empty.
func (r *run) transfer(id string) error {
	if id == "" {
		to, found := r.node.Successor()
		if !found {
			return Error.New("step=transfer: no successor: %w", consensus.ErrNoSuchMember)
		}
		return r.node.TransferLeadership(to)
	}
	for _, m := range r.node.Membership().MembersWithID(id) {
		return r.node.TransferLeadership(m.ID)
	}
	return Error.New("step=transfer peer=%s: %w", id, consensus.ErrNoSuchMember)
}

// reconcile proposes the next change that brings the members closer to the
// settings.
func (r *run) reconcile() {
	if r.node.Role() != consensus.Leader || r.readOnly {
		return
	}
	c, needed := r.nextChange()
	if !needed {
		return
	}
	if _, err := r.node.ChangeMembership(c); err != nil {
		return // tried again at the next tick that reconciles
	}
	r.duty.options.Log.Info("membership change proposed",
		zap.Uint8("kind", uint8(c.Kind)), zap.Stringer("replica", c.Replica))
}

// lostAfter is the silence after which a member counts as lost and may be
// replaced. Freezes and partitions of a few seconds are common.
const lostAfter = 4 * time.Second

// countSilence follows for how long each member has not answered.
func (r *run) countSilence() {
	if r.node.Role() != consensus.Leader || r.duty.options.DesiredVoters == 0 {
		clear(r.silent)
		return
	}
	for _, p := range r.node.Members() {
		if p.Active || p.ID == r.duty.options.Self {
			delete(r.silent, p.ID)
		} else {
			r.silent[p.ID]++
		}
	}
}

func (r *run) isLost(id consensus.ReplicaID) bool {
	return time.Duration(r.silent[id])*r.duty.options.Tick >= lostAfter
}

// wanted returns the ids that should be members: those in the settings, and
// where members come and go all that have been seen and answer.
func (r *run) wanted() []string {
	if r.duty.options.DesiredVoters == 0 {
		return r.duty.options.Members
	}
	ids := make([]string, 0, len(r.seen))
	for id := range r.seen {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *run) nextChange() (consensus.Change, bool) {
	return consensus.NextChange(consensus.ReconcileInput{
		DesiredVoters:    r.duty.options.DesiredVoters,
		IsLost:           r.isLost,
		Self:             r.duty.options.Self,
		DesiredIDs:       r.wanted(),
		Membership:       r.node.Membership(),
		SeenIncarnations: r.seen,
		Progress:         r.node.Members(),
		IsCaughtUp:       r.node.IsCaughtUp,
	})
}

// startBootstrap asks the other members for their state.
func (r *run) startBootstrap(c MemberChange) {
	if len(r.node.Membership().Members) > 0 {
		r.result(c.Context, Error.New("step=bootstrap: this member has state already"))
		return
	}
	if r.bootstrap != nil {
		r.result(c.Context, Error.New("step=bootstrap: another one is under way"))
		return
	}
	r.bootstrap = &bootstrap{context: c.Context, deadline: r.ticks + bootstrapTicks, waiting: map[string]bool{}}
	for id := range r.duty.peers {
		r.bootstrap.waiting[id] = true
	}
	r.askForState()
}

// askForState asks the members that have not answered yet. It repeats the
// question, because links drop messages.
func (r *run) askForState() {
	if r.bootstrap == nil {
		return
	}
	for id := range r.bootstrap.waiting {
		r.sendState(id, true)
	}
}

func (r *run) sendState(id string, ask bool) {
	r.send(id, Outgoing{State: &PeerState{
		ID:            r.duty.options.Self,
		Group:         r.node.Membership().Group,
		Bootstrapping: r.bootstrap != nil,
		Ask:           ask,
	}})
}

func (r *run) peerState(s PeerState) {
	r.seen[s.ID.ID] = s.ID.Incarnation
	if s.Ask {
		r.sendState(s.ID.ID, false)
	}
	b := r.bootstrap
	if b == nil {
		return
	}
	delete(b.waiting, s.ID.ID)
	switch {
	case s.Group != 0:
		b.err = Error.New("step=bootstrap peer=%s: it has state of group %x", s.ID, s.Group)
	case s.Bootstrapping:
		b.err = Error.New("step=bootstrap peer=%s: it bootstraps too", s.ID)
	}
}

// advanceBootstrap starts the group once nothing speaks against it.
func (r *run) advanceBootstrap(ctx context.Context) error {
	b := r.bootstrap
	switch {
	case b == nil:
		return nil
	case len(r.node.Membership().Members) > 0:
		b.err = Error.New("step=bootstrap: a group has admitted this member")
	case b.err == nil && len(b.waiting) > 0 && r.ticks < b.deadline:
		return nil
	}
	r.bootstrap = nil
	if b.err != nil {
		r.result(b.context, b.err)
		return nil
	}
	if err := r.formGroup(ctx); err != nil {
		return err
	}
	r.result(b.context, nil)
	return nil
}

// formGroup writes the state of a one-member group and starts the node with it.
func (r *run) formGroup(ctx context.Context) error {
	state := consensus.Bootstrap(r.duty.options.Self)
	sequence := r.inFlight + 1
	batch := &consensus.Batch{Sequence: sequence, HardState: &state.HardState, Entries: state.Entries}
	if err := r.duty.writer.Put(ctx, logwriter.Request{Batch: batch}); err != nil {
		return nil // ctx has ended
	}
	for r.synced < sequence {
		done, err := r.session.SyncResults.Take(ctx)
		if err != nil {
			return nil
		}
		r.readOnly = done.DiskFull
		r.synced = max(r.synced, done.Sequence)
	}
	r.duty.options.Log.Info("group formed", zap.Stringer("replica", r.duty.options.Self))
	return r.start(ctx, state)
}

// answerDrains hands leadership over while somebody waits for that.
func (r *run) answerDrains() {
	if len(r.draining) == 0 {
		return
	}
	if r.node.Role() == consensus.Leader {
		if to, found := r.node.Successor(); found {
			if !r.node.IsTransferring() {
				_ = r.node.TransferLeadership(to)
			}
			return
		}
	}
	for _, reply := range r.draining {
		_ = reply.Offer(nil)
	}
	r.draining = nil
}

package replica

import (
	"context"
	"maps"
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
	// reconcileTicks is the interval, in ticks, at which the leader compares the
	// members with the desired ones.
	reconcileTicks = 2
	// bootstrapTicks is the time, in ticks, that a bootstrap waits for the replies
	// of the other members. A member that has not replied by then counts as
	// unreachable.
	bootstrapTicks = 20
	// yieldTicks is the time, in ticks, that a bootstrap waits for the admission by
	// another member that has state or bootstraps too.
	yieldTicks = 5 * bootstrapTicks
	// findLeaderTicks is the interval, in ticks, at which a replica without a leader
	// asks its peers for the membership.
	findLeaderTicks = 10
)

// pendingChange is a request that waits until the entry at index is committed.
type pendingChange struct {
	context uint64
	index   uint64
	term    uint64
}

// bootstrapRequest is a request to form a group. It waits until every other member
// has replied that it has no state.
type bootstrapRequest struct {
	contexts     []uint64 // of the request and its repetitions
	deadlineTick int
	unanswered   map[string]bool
	yieldedTo    string // member that has formed the group or forms it; this one waits to be admitted
}

func (r *run) changeMembers(c MemberChange) {
	if r.readOnly && c.Action != ActionTransfer {
		r.addResult(c.Context, Error.New("step=%s: %w", c.Action, datafolder.ErrDiskFull))
		return
	}
	switch c.Action {
	case ActionBootstrap:
		r.startBootstrap(c)
	case ActionAdmit:
		r.proposeChange(c, func() (uint64, error) { return r.admit(c.ID) })
	case ActionRemove:
		r.proposeChange(c, func() (uint64, error) { return r.remove(c.ID) })
	case ActionTransfer:
		r.addResult(c.Context, r.transfer(c.ID))
	default:
		r.addResult(c.Context, Error.New("step=change: unknown action %q", c.Action))
	}
}

func (r *run) addResult(context uint64, err error) {
	r.pendingUpdate.MemberResults = append(r.pendingUpdate.MemberResults, MemberResult{Context: context, Err: err})
}

func (r *run) proposeChange(c MemberChange, propose func() (uint64, error)) {
	index, err := propose()
	if err != nil || index == 0 {
		r.addResult(c.Context, err)
		return
	}
	r.pendingChanges = append(r.pendingChanges, pendingChange{context: c.Context, index: index, term: r.node.Term()})
}

// finishedChanges returns the results of the requests whose entry is committed. If
// the term has ended, it fails all requests, because their outcome is not known
// here.
func (r *run) finishedChanges() []MemberResult {
	var results []MemberResult
	r.pendingChanges = slices.DeleteFunc(r.pendingChanges, func(c pendingChange) bool {
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

// admit adds the last seen incarnation of the id as a learner. The leader promotes
// it once its log has caught up.
func (r *run) admit(id string) (uint64, error) {
	incarnation, seen := r.seenIncarnations[id]
	if !seen {
		return 0, Error.New("step=admit peer=%s: no link to this member yet", id)
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

// transfer transfers leadership to the member with the id, or to the best successor
// if the id is empty.
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

// reconcile proposes the next change that brings the members closer to the desired
// ones.
func (r *run) reconcile() {
	if r.node.Role() != consensus.Leader || r.readOnly {
		return
	}
	c, needed := r.nextChange()
	if !needed {
		return
	}
	if _, err := r.node.ChangeMembership(c); err != nil {
		return // retried at the next reconciliation
	}
	if c.Kind == consensus.Remove && r.seenIncarnations[c.Replica.ID] == c.Replica.Incarnation {
		// A lost member is admitted again once it has been heard of.
		delete(r.seenIncarnations, c.Replica.ID)
	}
	r.duty.options.Log.Info("membership change proposed",
		zap.Uint8("kind", uint8(c.Kind)), zap.Stringer("replica", c.Replica))
}

// lostMemberTimeout is the silence after which a member counts as lost and may be
// replaced. Freezes and partitions of a few seconds are common.
const lostMemberTimeout = 4 * time.Second

// updateSilentTicks counts the ticks for which each member has been silent: its link is
// down, or it has not replied to this leader. The count goes on through changes of
// leadership, so that lost members are replaced also where leaders do not last.
func (r *run) updateSilentTicks() {
	if r.duty.options.DesiredVoters == 0 {
		return
	}
	members := r.node.Membership()
	r.forgetLost(members)
	silent := maps.Clone(r.unlinked)
	if r.node.Role() == consensus.Leader {
		for _, p := range r.node.Members() {
			silent[p.ID] = silent[p.ID] || !p.Active
		}
	}
	r.silentTicks = countSilence(r.silentTicks, members, r.duty.options.Self, silent)
}

// forgetLost forgets the replicas whose link is down and that are no members, so that a
// later leader does not admit replaced members again. They are seen again once a link is
// up.
func (r *run) forgetLost(members consensus.Membership) {
	for id := range r.unlinked {
		if members.Contains(id) {
			continue
		}
		delete(r.unlinked, id)
		if r.seenIncarnations[id.ID] == id.Incarnation {
			delete(r.seenIncarnations, id.ID)
		}
	}
}

// countSilence returns the ticks of silence of each silent member after another tick.
// They start anew while this member does not hear a majority of the voters: then it is
// the one that is cut off or was suspended, and its links come up one after another.
func countSilence(before map[consensus.ReplicaID]int, members consensus.Membership, self consensus.ReplicaID, silent map[consensus.ReplicaID]bool) map[consensus.ReplicaID]int {
	after := map[consensus.ReplicaID]int{}
	heard := 0
	for _, m := range members.Members {
		switch {
		case m.ID != self && silent[m.ID]:
			after[m.ID] = before[m.ID] + 1
		case m.Voter:
			heard++
		}
	}
	if heard < members.Quorum() {
		clear(after)
	}
	return after
}

func (r *run) isLost(id consensus.ReplicaID) bool {
	return time.Duration(r.silentTicks[id])*r.duty.options.Tick >= lostMemberTimeout
}

// desiredIDs returns the ids that should be members: those in the settings, or all
// that have been seen if the settings do not name the members.
func (r *run) desiredIDs() []string {
	if r.duty.options.DesiredVoters == 0 {
		return r.duty.options.Members
	}
	ids := make([]string, 0, len(r.seenIncarnations))
	for id := range r.seenIncarnations {
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
		DesiredIDs:       r.desiredIDs(),
		Membership:       r.node.Membership(),
		SeenIncarnations: r.seenIncarnations,
		Progress:         r.node.Members(),
		IsCaughtUp:       r.node.IsCaughtUp,
	})
}

// startBootstrap asks the other members for their state. Operators send the request
// again when its answer is late: a repetition shares the outcome of the first.
func (r *run) startBootstrap(c MemberChange) {
	switch {
	case r.bootstrap != nil:
		r.bootstrap.contexts = append(r.bootstrap.contexts, c.Context)
		return
	case r.bootstrapped:
		r.addResult(c.Context, nil)
		return
	case len(r.node.Membership().Members) > 0:
		r.addResult(c.Context, Error.New("step=bootstrap: this member already has state"))
		return
	}
	r.bootstrap = &bootstrapRequest{contexts: []uint64{c.Context}, deadlineTick: r.ticks + bootstrapTicks, unanswered: map[string]bool{}}
	for id := range r.duty.peers {
		r.bootstrap.unanswered[id] = true
	}
	r.requestPeerStates()
}

// requestPeerStates asks the members that have not replied yet. The request is
// repeated, because links drop messages.
func (r *run) requestPeerStates() {
	if r.bootstrap == nil {
		return
	}
	for id := range r.bootstrap.unanswered {
		r.sendPeerState(id, true)
	}
}

// findLeader asks all linked peers for the membership while this replica knows no
// leader. The peers package opens links to the members that the replies name. A new
// member needs this because its seeds need not include the leader, which alone can
// admit it, and a member that was away because the others may have been replaced.
func (r *run) findLeader() {
	if !r.node.Leader().IsZero() || r.duty.options.DesiredVoters == 0 {
		return
	}
	for id := range r.duty.peers {
		r.sendPeerState(id, true)
	}
}

func (r *run) sendPeerState(id string, ask bool) {
	r.send(id, Outgoing{State: &PeerState{
		ID:            r.duty.options.Self,
		Group:         r.node.Membership().Group,
		Membership:    r.node.Membership(),
		Bootstrapping: r.bootstrap != nil,
		Ask:           ask,
	}})
}

func (r *run) handlePeerState(s PeerState) {
	r.seenIncarnations[s.ID.ID] = s.ID.Incarnation
	if s.Ask {
		r.sendPeerState(s.ID.ID, false)
	}
	b := r.bootstrap
	if b == nil {
		return
	}
	delete(b.unanswered, s.ID.ID)
	// Of two members that bootstrap at the same time, the one with the lower ID forms
	// the group and admits the other.
	if b.yieldedTo == "" && (s.Group != 0 || s.Bootstrapping && s.ID.ID < r.duty.options.Self.ID) {
		b.yieldedTo, b.deadlineTick = s.ID.String(), r.ticks+yieldTicks
	}
}

// advanceBootstrap forms the group once all other members have replied or the
// deadline has passed, unless another member has formed it or forms it.
func (r *run) advanceBootstrap(ctx context.Context) error {
	b := r.bootstrap
	switch {
	case b == nil:
		return nil
	case len(r.node.Membership().Members) > 0:
		r.finishBootstrap(nil) // admitted by the other member
		return nil
	case (b.yieldedTo != "" || len(b.unanswered) > 0) && r.ticks < b.deadlineTick:
		return nil
	case b.yieldedTo != "":
		r.finishBootstrap(Error.New("step=bootstrap peer=%s: the member has state or bootstraps too, and has not admitted this one", b.yieldedTo))
		return nil
	}
	if err := r.formGroup(ctx); err != nil {
		return err
	}
	r.finishBootstrap(nil)
	return nil
}

// finishBootstrap answers the request in progress and its repetitions.
func (r *run) finishBootstrap(err error) {
	for _, c := range r.bootstrap.contexts {
		r.addResult(c, err)
	}
	r.bootstrap, r.bootstrapped = nil, err == nil
}

// formGroup writes the state of a group with one member and starts the node with
// it.
func (r *run) formGroup(ctx context.Context) error {
	state := consensus.Bootstrap(r.duty.options.Self)
	sequence := r.lastSubmitted + 1
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

// answerDrains transfers leadership while drain requests are pending, and answers
// them once this replica does not lead or has no successor.
func (r *run) answerDrains() {
	if len(r.drainReplies) == 0 {
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
	for _, reply := range r.drainReplies {
		_ = reply.Offer(nil)
	}
	r.drainReplies = nil
}

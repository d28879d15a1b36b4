package plan

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlapi"
)

// Error is the class of all errors of this package. Every error is a refusal
// that leaves the Registry unchanged.
var Error = errs.Class("plan")

// refuse returns a refusal with the given wire reason.
func refuse(reason, format string, args ...any) error {
	return Error.Wrap(&controlapi.Error{Reason: reason, Message: fmt.Sprintf(format, args...)})
}

// RequiredSignatures is the number of different owners that must sign a change.
const RequiredSignatures = 2

const (
	// maxOpen limits the proposals that wait for signatures.
	maxOpen = 256
	// maxHistory limits the proposals that are kept: two days at 2,500 changes
	// a day.
	maxHistory = 5000
	// maxRetainedContents limits the decided proposals whose content is kept.
	// Older ones keep their digest, with which a resent change id is compared.
	maxRetainedContents = 64
	// maxDiffLines limits the diff that is kept for a proposal without its
	// content.
	maxDiffLines = 16
)

// Entry is a proposal as stored in the Registry.
type Entry struct {
	controlapi.Proposal
	Force      bool
	ProposedAt time.Time
	DecidedAt  time.Time
}

// Registry holds the configuration and its proposals.
//
// Invariants: the revision grows by one with each accepted change, at most one
// change is accepted on each base revision, and a decided proposal keeps its
// decision.
type Registry struct {
	config     controlapi.Config
	entries    map[string]*Entry
	order      []string          // change ids, oldest first
	acceptedOn map[uint64]string // base revision -> id of the change accepted on it
	decided    []string          // decided proposals whose content is kept, oldest first
	openCount  int
}

// NewRegistry returns a Registry at revision 0 without owners.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*Entry{}, acceptedOn: map[uint64]string{}}
}

// Config returns the accepted configuration. The caller must not modify it.
func (b *Registry) Config() controlapi.Config { return b.config }

// Propose adds a proposal. A change id that is sent again with the same content
// gets the current state of the first proposal; with other content it is
// refused. A proposal whose base is no longer current is in conflict and names
// the change that was accepted instead. The first change of owners needs no
// signatures.
func (b *Registry) Propose(now time.Time, r controlapi.ProposeRequest, offer Offer) (controlapi.Proposal, error) {
	digest := Digest(r)
	if e := b.entries[r.ChangeID]; e != nil {
		if e.Digest != digest {
			return controlapi.Proposal{}, refuse(controlapi.ReasonConflict, "change id %q was used for another change", r.ChangeID)
		}
		return e.Proposal, nil
	}
	if err := b.check(r, offer); err != nil {
		return controlapi.Proposal{}, err
	}
	e := &Entry{Force: r.Force, ProposedAt: now, Proposal: controlapi.Proposal{
		ChangeID: r.ChangeID,
		Base:     r.Base,
		Change:   r.Change,
		Digest:   digest,
		State:    controlapi.ProposalOpen,
		Diff:     Diff(b.config, r.Change),
	}}
	b.add(e)
	switch {
	case r.Base != b.config.Revision:
		b.decide(now, e, controlapi.ProposalConflict)
		e.Winner = b.acceptedOn[r.Base]
		e.Reason = "the base revision is not current"
	case len(b.config.Owners) == 0:
		b.accept(now, e)
	}
	return e.Proposal, nil
}

func (b *Registry) check(r controlapi.ProposeRequest, offer Offer) error {
	switch {
	case r.ChangeID == "" || len(r.ChangeID) > 128:
		return refuse(controlapi.ReasonBadRequest, "a change id has 1 to 128 bytes")
	case r.Base > b.config.Revision:
		return refuse(controlapi.ReasonConflict, "base revision %d is ahead of revision %d", r.Base, b.config.Revision)
	case r.Base < b.config.Revision:
		return nil // in conflict, regardless of the content
	case b.openCount >= maxOpen:
		return refuse("over_limit", "%d proposals are open", b.openCount)
	case len(b.config.Owners) == 0 && r.Change.Kind != controlapi.ChangeOwners:
		return refuse(controlapi.ReasonNotAllowed, "no owners are set, so nobody can sign")
	}
	if err := checkChange(r.Change); err != nil {
		return err
	}
	return b.checkOvercommit(r.Change, r.Force, offer)
}

func (b *Registry) checkOvercommit(c controlapi.Change, force bool, offer Offer) error {
	if c.Kind != controlapi.ChangeLists || force {
		return nil
	}
	return CheckOvercommit(c.Customers, c.Plans, offer)
}

// Sign adds the signature or the rejection of an owner. A proposal that is
// already decided is returned unchanged, so a resent signature has no effect.
func (b *Registry) Sign(now time.Time, r controlapi.SignRequest, offer Offer) (controlapi.Proposal, error) {
	e := b.entries[r.ChangeID]
	if e == nil {
		return controlapi.Proposal{}, refuse(controlapi.ReasonNotFound, "no proposal has change id %q", r.ChangeID)
	}
	if err := verify(b.config.Owners, r, e.Digest); err != nil {
		return controlapi.Proposal{}, err
	}
	if e.State != controlapi.ProposalOpen {
		return e.Proposal, nil
	}
	if r.Reject {
		b.decide(now, e, controlapi.ProposalRejected)
		e.Reason = "rejected by " + r.Owner
		return e.Proposal, nil
	}
	signers := addSigner(e.Signers, r.Owner)
	if len(signers) >= RequiredSignatures {
		// Capacity may have shrunk since the proposal, so it is checked again.
		if err := b.checkOvercommit(e.Change, e.Force, offer); err != nil {
			return controlapi.Proposal{}, err
		}
	}
	e.Signers = signers
	if len(signers) >= RequiredSignatures {
		b.accept(now, e)
	}
	return e.Proposal, nil
}

func addSigner(signers []string, owner string) []string {
	for _, s := range signers {
		if s == owner {
			return signers
		}
	}
	return append(append([]string(nil), signers...), owner)
}

// accept applies a change and closes the other open proposals as conflicts.
func (b *Registry) accept(now time.Time, e *Entry) {
	b.config = apply(b.config, e.Change)
	b.acceptedOn[e.Base] = e.ChangeID
	b.decide(now, e, controlapi.ProposalAccepted)
	e.Revision = b.config.Revision
	for _, id := range b.order {
		if other := b.entries[id]; other.State == controlapi.ProposalOpen {
			b.decide(now, other, controlapi.ProposalConflict)
			other.Winner = e.ChangeID
			other.Reason = "another change with the same base was accepted"
		}
	}
}

func (b *Registry) decide(now time.Time, e *Entry, state controlapi.ProposalState) {
	e.State = state
	e.DecidedAt = now
	b.openCount--
	b.decided = append(b.decided, e.ChangeID)
	if len(b.decided) > maxRetainedContents {
		if old := b.entries[b.decided[0]]; old != nil {
			old.Change = controlapi.Change{Kind: old.Change.Kind, Zone: old.Change.Zone}
			old.Diff = truncateDiff(old.Diff)
		}
		b.decided = b.decided[1:]
	}
}

func truncateDiff(lines []string) []string {
	if len(lines) <= maxDiffLines {
		return lines
	}
	more := fmt.Sprintf("and %d more", len(lines)-maxDiffLines)
	return append(append([]string(nil), lines[:maxDiffLines]...), more)
}

func (b *Registry) add(e *Entry) {
	b.entries[e.ChangeID] = e
	b.order = append(b.order, e.ChangeID)
	b.openCount++
	if len(b.order) > maxHistory {
		b.evictOldestDecided()
	}
}

// evictOldestDecided removes the oldest decided proposal. Its base is no longer
// current, so its change cannot be accepted again.
func (b *Registry) evictOldestDecided() {
	for i, id := range b.order {
		e := b.entries[id]
		if e.State == controlapi.ProposalOpen {
			continue
		}
		if b.acceptedOn[e.Base] == id {
			delete(b.acceptedOn, e.Base)
		}
		delete(b.entries, id)
		b.order = append(b.order[:i], b.order[i+1:]...)
		return
	}
}

// Proposal returns the proposal with the given change id.
func (b *Registry) Proposal(changeID string) (controlapi.Proposal, bool) {
	e := b.entries[changeID]
	if e == nil {
		return controlapi.Proposal{}, false
	}
	return e.Proposal, true
}

// MaxListedProposals limits a list of proposals, so that it fits into one message.
const MaxListedProposals = 500

// Proposals returns at most limit proposals, newest first. MaxListedProposals applies
// if limit is larger or not positive.
func (b *Registry) Proposals(limit int) []controlapi.Proposal {
	if limit <= 0 {
		limit = MaxListedProposals
	}
	limit = min(limit, MaxListedProposals, len(b.order))
	list := make([]controlapi.Proposal, 0, limit)
	for i := len(b.order) - 1; len(list) < limit; i-- {
		list = append(list, b.entries[b.order[i]].Proposal)
	}
	return list
}

// Image is the content of a Registry in a snapshot.
type Image struct {
	Config  controlapi.Config
	Entries []Entry // oldest first
	Decided []string
}

// Image returns the content of the Registry.
func (b *Registry) Image() Image {
	img := Image{Config: b.config, Decided: append([]string(nil), b.decided...)}
	for _, id := range b.order {
		img.Entries = append(img.Entries, *b.entries[id])
	}
	return img
}

// Restore returns a Registry with the content of an image.
func Restore(img Image) *Registry {
	b := NewRegistry()
	b.config = img.Config
	b.decided = append(b.decided, img.Decided...)
	for _, e := range img.Entries {
		b.entries[e.ChangeID] = &e
		b.order = append(b.order, e.ChangeID)
		switch e.State {
		case controlapi.ProposalAccepted:
			b.acceptedOn[e.Base] = e.ChangeID
		case controlapi.ProposalOpen:
			b.openCount++
		}
	}
	return b
}

package plan

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlapi"
)

// Error is the class of all errors of this package. They are refusals: nothing
// has changed.
var Error = errs.Class("plan")

// refuse returns a refusal with a reason of package controlapi.
func refuse(reason, format string, args ...any) error {
	return Error.Wrap(&controlapi.Error{Reason: reason, Message: fmt.Sprintf(format, args...)})
}

// RequiredSignatures is the number of different owners that sign a change.
const RequiredSignatures = 2

const (
	// maxOpen bounds the proposals that wait for signatures.
	maxOpen = 256
	// maxHistory bounds the proposals that are kept: two days at 2,500 changes
	// a day.
	maxHistory = 5000
	// maxRetainedContents bounds the decided proposals whose content is kept. Older ones
	// keep their digest, which is what a resent change id is compared with.
	maxRetainedContents = 64
	// maxDiffLines bounds the difference that is kept of such a proposal.
	maxDiffLines = 16
)

// Entry is a proposal as the Book keeps it.
type Entry struct {
	controlapi.Proposal
	Force      bool
	ProposedAt time.Time
	DecidedAt  time.Time
}

// Registry is the configuration and its proposals.
//
// Invariants: the revision grows by one with each accepted change, at most one
// change is accepted on each base revision, and a decided proposal stays as it
// was decided.
type Registry struct {
	config     controlapi.Config
	entries    map[string]*Entry
	order      []string          // change ids, oldest first
	acceptedOn map[uint64]string // by base revision
	decided    []string          // decided proposals whose content is kept, oldest first
	openCount  int
}

// NewRegistry returns a Book with revision 0 and no owners.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*Entry{}, acceptedOn: map[uint64]string{}}
}

// Config returns the accepted configuration, which the caller must not change.
func (b *Registry) Config() controlapi.Config { return b.config }

// Propose adds a proposal. The same change id with the same content gets the
// first proposal as it stands now; with another content it is refused. A base
// that is no longer current gives a proposal in conflict that names the change
// that won. The first change of owners is accepted without signatures.
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
		return nil // a conflict, whatever the content
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

// Sign adds the signature of an owner or its rejection. A proposal that is
// already decided is returned as it stands, so a resent signature is harmless.
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

// accept puts a change in force and ends the other proposals on its base.
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

// evictOldestDecided drops the oldest decided proposal. Its base is not current, so
// its change can not be accepted again.
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

// Proposal returns the proposal with a change id.
func (b *Registry) Proposal(changeID string) (controlapi.Proposal, bool) {
	e := b.entries[changeID]
	if e == nil {
		return controlapi.Proposal{}, false
	}
	return e.Proposal, true
}

// MaxListSize bounds one listing of proposals, so that it fits into a message.
const MaxListSize = 500

// Proposals returns up to limit and MaxListed proposals, newest first.
func (b *Registry) Proposals(limit int) []controlapi.Proposal {
	if limit <= 0 {
		limit = MaxListSize
	}
	limit = min(limit, MaxListSize, len(b.order))
	list := make([]controlapi.Proposal, 0, limit)
	for i := len(b.order) - 1; len(list) < limit; i-- {
		list = append(list, b.entries[b.order[i]].Proposal)
	}
	return list
}

// Image is the content of a Book, for snapshots.
type Image struct {
	Config  controlapi.Config
	Entries []Entry // oldest first
	Decided []string
}

// Image returns the content of the Book.
func (b *Registry) Image() Image {
	img := Image{Config: b.config, Decided: append([]string(nil), b.decided...)}
	for _, id := range b.order {
		img.Entries = append(img.Entries, *b.entries[id])
	}
	return img
}

// Restore returns the Book with the content of an image.
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
